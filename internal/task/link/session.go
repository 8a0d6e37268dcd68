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

// Limits of a session. writeTimeout ends a write that waits for others on a busy connection. When the peer reads nothing,
// the task that owns the session ends it much earlier.
const (
	maxStreamWindow = 1 << 20
	writeTimeout    = MaxTransferTime
	acceptBacklog   = 1024
)

// Messages to a peer that has not sent its Hello within helloTimeout are refused. The connection stays for maxHelloTime,
// since the Hello may wait behind bodies on other connections over the same network link.
const (
	helloTimeout = time.Second
	maxHelloTime = 3 * time.Second
)

// maxHelloSize limits the size of a Hello in bytes. Nothing larger is read from a peer before it has sent its Hello.
const maxHelloSize = 4096

// A Session is one multiplexed connection. It records when it last received bytes.
type Session struct {
	*yamux.Session
	conn      *frameConn
	goingAway atomic.Bool
	// requests counts the requests of the peer in progress. The number of open streams may be higher, since idle streams
	// stay open.
	requests atomic.Int64
	// keptCalls counts the calls of the peer in progress that may not be repeated, and keepUntil is the latest deadline of
	// such a call so far, in nanoseconds after the start of conn.
	keptCalls atomic.Int64
	keepUntil atomic.Int64
	// Transit measures delays of the calls that the peer sends.
	Transit *TransitClock
	// silenced is closed and replaced each time the peer is found silent.
	silenced atomic.Pointer[chan struct{}]
}

// BeginKeptCall counts the start of a call of the peer that may not be repeated, which EndKeptCall ends.
func (s *Session) BeginKeptCall(deadline time.Time) {
	s.keptCalls.Add(1)
	until := int64(deadline.Add(replyGrace).Sub(s.conn.start))
	for {
		old := s.keepUntil.Load()
		if until <= old || s.keepUntil.CompareAndSwap(old, until) {
			return
		}
	}
}

// EndKeptCall counts the end of a call of the peer that may not be repeated.
func (s *Session) EndKeptCall() { s.keptCalls.Add(-1) }

// HasKeptCalls reports whether a call of the peer that may not be repeated is in progress before its deadline. Its reply
// is lost if the connection is closed.
func (s *Session) HasKeptCalls(now time.Time) bool {
	return s.keptCalls.Load() > 0 && int64(now.Sub(s.conn.start)) < s.keepUntil.Load()
}

// Silenced returns a channel that is closed when the peer is found silent, at which the calls of the peer that may be
// repeated end.
func (s *Session) Silenced() <-chan struct{} { return *s.silenced.Load() }

// EndRepeatableCalls ends the calls of a silent peer that may be repeated.
func (s *Session) EndRepeatableCalls() {
	next := make(chan struct{})
	close(*s.silenced.Swap(&next))
}

// OpenStream opens a stream. It returns an error when so many streams are open that yamux might wait until the peer has
// acknowledged some of them, since the tasks that open streams must not wait.
func (s *Session) OpenStream() (*yamux.Stream, error) {
	if n := s.NumStreams(); n >= acceptBacklog {
		return nil, errors.Errorf("%d streams are open on the connection", n)
	}
	return s.Session.OpenStream()
}

// GoAway tells the peer to open no more streams. From then on no calls on open streams are accepted either. The returned
// channel is closed when the message was written or has failed, for which it may have to wait for other messages.
func (s *Session) GoAway() <-chan struct{} {
	s.goingAway.Store(true)
	written := make(chan struct{})
	go func() {
		defer close(written)
		// This fails only if the session ends.
		_ = s.Session.GoAway()
	}()
	return written
}

// GoingAway reports whether GoAway was called.
func (s *Session) GoingAway() bool { return s.goingAway.Load() }

// BeginRequest counts the start of a request of the peer, which EndRequest ends.
func (s *Session) BeginRequest() { s.requests.Add(1) }

// EndRequest counts the end of a request of the peer.
func (s *Session) EndRequest() { s.requests.Add(-1) }

// ActiveRequests returns the number of requests of the peer in progress.
func (s *Session) ActiveRequests() int { return int(s.requests.Load()) }

// NewSession starts multiplexing on a connection. The keepalive timer of yamux is off: the task that owns the session
// checks the peer while calls are in flight, so that an idle connection carries no traffic.
func NewSession(c net.Conn, dialled bool) (*Session, error) {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = writeTimeout
	// The task that owns the session checks the peer. yamux would close a connection that is only busy, or that calls
	// which may not be repeated still need.
	config.StreamOpenTimeout = 0
	config.MaxStreamWindowSize = maxStreamWindow
	config.AcceptBacklog = acceptBacklog
	config.LogOutput = io.Discard
	if t, ok := c.(*net.TCPConn); ok {
		if err := t.SetNoDelay(true); err != nil {
			return nil, errors.Annotate(err, "set TCP_NODELAY")
		}
		limitUnsent(t)
	}
	conn := &frameConn{Conn: c, start: time.Now()}
	open := yamux.Server
	if dialled {
		open = yamux.Client
	}
	s, err := open(conn, config)
	if err != nil {
		return nil, errors.Annotate(err, "open session")
	}
	session, silenced := &Session{Session: s, conn: conn, Transit: NewTransitClock()}, make(chan struct{})
	session.silenced.Store(&silenced)
	return session, nil
}

// Ping sends a ping and waits for its answer. One ping may be pending at a time.
func (s *Session) Ping() (time.Duration, error) {
	s.conn.pingEnd.Store(0)
	return s.Session.Ping()
}

// LastReceived returns when the connection last received bytes.
func (s *Session) LastReceived() time.Time {
	return s.conn.start.Add(time.Duration(s.conn.received.Load()))
}

// A frameConn records the time of the last read that returned bytes, and writes the header of a frame together with a
// body of up to maxCoalescedBody.
type frameConn struct {
	net.Conn
	start time.Time
	// received is the time of the last read that returned bytes, in nanoseconds after start.
	received atomic.Int64
	// receivedBytes and written count the bytes read and written.
	receivedBytes atomic.Int64
	written       atomic.Int64
	// pingEnd is the number of bytes written up to the end of the last ping, or 0 if it was not written yet.
	pingEnd atomic.Int64
	// pendingHeader holds a frame header whose body is the next write. Only the sending goroutine of yamux writes.
	pendingHeader []byte
}

// Read implements net.Conn.
func (c *frameConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received.Store(int64(time.Since(c.start)))
		c.receivedBytes.Add(int64(n))
	}
	return n, err
}

// Layout of the frame header of yamux: version, type, flags, stream, and the length of the body of a data frame.
const (
	frameHeaderSize   = 12
	frameTypeOffset   = 1
	frameFlagsOffset  = 2
	frameLengthOffset = 8
	dataFrame         = 0
	pingFrame         = 2
	// pingRequest is the flag of a ping that is no answer.
	pingRequest = 1
	// maxCoalescedBody is the largest body in bytes that is copied behind its header.
	maxCoalescedBody = 64 << 10
)

// Write implements net.Conn. yamux writes the header and the body of a frame separately. Coalesced into one write, they
// take one system call and one packet instead of two.
func (c *frameConn) Write(b []byte) (int, error) {
	if len(c.pendingHeader) > 0 {
		header := c.pendingHeader
		c.pendingHeader = c.pendingHeader[:0]
		if len(b) > maxCoalescedBody {
			if _, err := c.write(header); err != nil {
				return 0, err
			}
			return c.write(b)
		}
		c.pendingHeader = append(header, b...)
		n, err := c.write(c.pendingHeader)
		c.pendingHeader = c.pendingHeader[:0]
		return max(0, n-frameHeaderSize), err
	}
	if len(b) == frameHeaderSize && b[frameTypeOffset] == dataFrame && binary.BigEndian.Uint32(b[frameLengthOffset:]) > 0 {
		c.pendingHeader = append(c.pendingHeader, b...)
		return len(b), nil
	}
	n, err := c.write(b)
	if len(b) == frameHeaderSize && b[frameTypeOffset] == pingFrame && b[frameFlagsOffset+1]&pingRequest != 0 {
		c.pingEnd.Store(c.written.Load())
	}
	return n, err
}

func (c *frameConn) write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// InitiateHello exchanges Hello messages on the first stream, as the side that dialled.
func (s *Session) InitiateHello(own codec.Hello) (codec.Hello, error) {
	stream, err := s.OpenStream()
	if err != nil {
		return codec.Hello{}, errors.Annotate(err, "open first stream")
	}
	defer stream.Close()
	if err := stream.SetDeadline(time.Now().Add(maxHelloTime)); err != nil {
		return codec.Hello{}, errors.Trace(err)
	}
	if _, err := codec.Write(stream, own, time.Now()); err != nil {
		return codec.Hello{}, errors.Trace(err)
	}
	return readHello(stream, own.Protocol)
}

// AcceptHello exchanges Hello messages on the first stream, as the side that accepted. It sends its Hello even when the
// peer's version differs, so that both sides can report the mismatch.
func (s *Session) AcceptHello(own codec.Hello) (codec.Hello, error) {
	timer := time.AfterFunc(maxHelloTime, func() { s.Close() })
	defer timer.Stop()
	stream, err := s.AcceptStream()
	if err != nil {
		return codec.Hello{}, errors.Annotate(err, "accept first stream")
	}
	defer stream.Close()
	hello, err := readHello(stream, own.Protocol)
	if err != nil && !errors.Is(err, ErrProtocolVersion) {
		return hello, err
	}
	if _, writeErr := codec.Write(stream, own, time.Now()); writeErr != nil {
		return hello, errors.Trace(writeErr)
	}
	return hello, err
}

// ErrProtocolVersion says that the peer uses another version of the peer protocol.
var ErrProtocolVersion = errors.ConstError("the peer uses another protocol version; install the same version of jacinthcross on both VMs")

func readHello(r io.Reader, protocol int) (codec.Hello, error) {
	m, _, err := codec.Read(r, maxHelloSize, time.Now)
	if err != nil {
		return codec.Hello{}, errors.Annotate(err, "read hello")
	}
	hello, ok := m.(codec.Hello)
	if !ok {
		// NotValidf appends " not valid".
		return codec.Hello{}, errors.NotValidf("first message of the peer, %T instead of a Hello, is", m)
	}
	if hello.Protocol != protocol {
		return hello, errors.Annotatef(ErrProtocolVersion, "the peer has protocol version %d and this daemon %d", hello.Protocol, protocol)
	}
	return hello, nil
}
