package link

import (
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"

	"jacinthcross/internal/wire/codec"
)

// Bounds of a session. The write timeout ends a write whose peer accepts nothing.
const (
	maxStreamWindow   = 1 << 20
	writeTimeout      = time.Second
	streamOpenTimeout = time.Second
	acceptBacklog     = 1024
)

// HelloTimeout bounds the exchange of Hello messages at the start of a connection.
const HelloTimeout = time.Second

// maxHello bounds the size of a Hello in bytes. Nothing larger is read from an unknown peer.
const maxHello = 4096

// A Session is one multiplexed connection. It records when it last received bytes.
type Session struct {
	*yamux.Session
	conn    *watchedConn
	leaving atomic.Bool
	// exchanges counts what the serving end has under way. The streams do not tell, since idle ones stay open.
	exchanges atomic.Int64
}

// GoAway tells the peer to open no more streams. From then on no call of an open stream is accepted either.
func (s *Session) GoAway() error {
	s.leaving.Store(true)
	return s.Session.GoAway()
}

// Leaving reports whether GoAway was called.
func (s *Session) Leaving() bool { return s.leaving.Load() }

// Begin counts an exchange with the peer that End ends.
func (s *Session) Begin() { s.exchanges.Add(1) }

// End ends an exchange.
func (s *Session) End() { s.exchanges.Add(-1) }

// Exchanges returns how many exchanges are under way.
func (s *Session) Exchanges() int { return int(s.exchanges.Load()) }

// NewSession starts multiplexing on a connection. Liveness is checked by the
// owning task while calls wait, not by the library's own timer, so that an idle
// connection carries no traffic.
func NewSession(c net.Conn, dialled bool) (*Session, error) {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = writeTimeout
	config.StreamOpenTimeout = streamOpenTimeout
	config.MaxStreamWindowSize = maxStreamWindow
	config.AcceptBacklog = acceptBacklog
	config.LogOutput = io.Discard
	if t, ok := c.(*net.TCPConn); ok {
		if err := t.SetNoDelay(true); err != nil {
			return nil, errors.Annotate(err, "set no delay")
		}
	}
	w := &watchedConn{Conn: c, start: time.Now()}
	open := yamux.Server
	if dialled {
		open = yamux.Client
	}
	s, err := open(w, config)
	if err != nil {
		return nil, errors.Annotate(err, "open session")
	}
	return &Session{Session: s, conn: w}, nil
}

// LastReceived returns when the connection last received bytes.
func (s *Session) LastReceived() time.Time {
	return s.conn.start.Add(time.Duration(s.conn.received.Load()))
}

// A watchedConn records the time of the last read that returned bytes, and writes a frame at once.
type watchedConn struct {
	net.Conn
	start    time.Time
	received atomic.Int64
	// frame holds a header whose body is the next write. Only yamux's sending goroutine writes.
	frame []byte
}

// Read implements net.Conn.
func (c *watchedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received.Store(int64(time.Since(c.start)))
	}
	return n, err
}

// The form of a frame header of yamux: version, type, flags, stream, and the length of the body of a data frame.
const (
	frameHeader = 12
	frameType   = 1
	frameLength = 8
	dataFrame   = 0
	// maxJoined is the largest body that is copied behind its header.
	maxJoined = 64 << 10
)

// Write implements net.Conn. The library writes the header and the body of a frame one after the
// other; joined they cost one system call and one packet instead of two.
func (c *watchedConn) Write(b []byte) (int, error) {
	if len(c.frame) > 0 {
		header := c.frame
		c.frame = c.frame[:0]
		if len(b) > maxJoined {
			if _, err := c.Conn.Write(header); err != nil {
				return 0, err
			}
			return c.Conn.Write(b)
		}
		c.frame = append(header, b...)
		n, err := c.Conn.Write(c.frame)
		c.frame = c.frame[:0]
		return max(0, n-frameHeader), err
	}
	if len(b) == frameHeader && b[frameType] == dataFrame && binary.BigEndian.Uint32(b[frameLength:]) > 0 {
		c.frame = append(c.frame, b...)
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Greet exchanges Hello messages on the first stream, as the end that dialled.
func (s *Session) Greet(own codec.Hello) (codec.Hello, error) {
	stream, err := s.OpenStream()
	if err != nil {
		return codec.Hello{}, errors.Annotate(err, "open first stream")
	}
	defer stream.Close()
	if err := stream.SetDeadline(time.Now().Add(HelloTimeout)); err != nil {
		return codec.Hello{}, errors.Trace(err)
	}
	if _, err := codec.Write(stream, own, time.Now()); err != nil {
		return codec.Hello{}, errors.Trace(err)
	}
	return readHello(stream, own.Protocol)
}

// AnswerGreeting exchanges Hello messages on the first stream, as the end that accepted.
// The peer gets the own Hello also when its version differs, so that both ends can report it.
func (s *Session) AnswerGreeting(own codec.Hello) (codec.Hello, error) {
	timer := time.AfterFunc(HelloTimeout, func() { s.Close() })
	defer timer.Stop()
	stream, err := s.AcceptStream()
	if err != nil {
		return codec.Hello{}, errors.Annotate(err, "accept first stream")
	}
	defer stream.Close()
	hello, err := readHello(stream, own.Protocol)
	if err != nil && !errors.Is(err, ErrVersion) {
		return hello, err
	}
	if _, writeErr := codec.Write(stream, own, time.Now()); writeErr != nil {
		return hello, errors.Trace(writeErr)
	}
	return hello, err
}

// ErrVersion says that the peer uses another version of the protocol between daemons.
var ErrVersion = errors.ConstError("the peer uses another protocol version; run the same release of jacinthcross on both")

func readHello(r io.Reader, protocol int) (codec.Hello, error) {
	m, _, err := codec.Read(r, maxHello, time.Now)
	if err != nil {
		return codec.Hello{}, errors.Annotate(err, "read hello")
	}
	hello, ok := m.(codec.Hello)
	if !ok {
		return codec.Hello{}, errors.NotValidf("first message %T of a connection", m)
	}
	if hello.Protocol != protocol {
		return hello, errors.Annotatef(ErrVersion, "version %d, own version %d", hello.Protocol, protocol)
	}
	return hello, nil
}
