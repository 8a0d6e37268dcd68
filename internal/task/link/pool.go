package link

import (
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"
)

// Opening and closing a stream for each call would take two more frames in each direction, each with its own system
// call, so the stream of a completed call is kept for other calls.
const (
	// maxIdleStreams limits the idle streams of a link, each of which holds goroutines and buffers at both ends.
	maxIdleStreams = 64
	// trimInterval is the time after which idle streams that no call needed are closed.
	trimInterval = 5 * time.Second
	// MaxKeptBuffer is the largest receive buffer in bytes that an idle stream keeps.
	MaxKeptBuffer = 16 << 10
)

// A callStream is a stream for one call at a time. Its goroutine opens it, since that may wait on a busy connection, and
// reads from calls, to which only the task writes.
type callStream struct {
	*yamux.Stream
	// opened is closed when Stream is set or could not be opened.
	opened chan struct{}
	calls  chan *pendingCall
}

func newCallStream() *callStream {
	return &callStream{opened: make(chan struct{}), calls: make(chan *pendingCall, 1)}
}

func (s *callStream) open(session *Session) error {
	defer close(s.opened)
	var err error
	s.Stream, err = session.OpenStream()
	return errors.Trace(err)
}

// next waits for the next call. It returns false when there will be none.
func (s *callStream) next(t *Task) (*pendingCall, bool) {
	select {
	case p, ok := <-s.calls:
		return p, ok
	case <-t.Done():
	}
	// The task has ended, but may have left a call in the channel.
	select {
	case p, ok := <-s.calls:
		return p, ok
	default:
		return nil, false
	}
}

// closeSoon closes the stream in a goroutine, since the close waits until the connection takes its frame.
func (s *callStream) closeSoon() {
	go func() {
		<-s.opened
		if s.Stream != nil {
			s.Close()
		}
	}()
}

// pastDeadline is a deadline in the past.
var pastDeadline = time.Unix(1, 0)

// reusable reports whether the stream is open and has no unread bytes, so that the next bytes read from it belong to
// the reply to the next call.
func (s *callStream) reusable() bool {
	if err := s.SetReadDeadline(pastDeadline); err != nil {
		return false
	}
	var b [1]byte
	_, err := s.Read(b[:])
	return errors.Is(err, yamux.ErrTimeout)
}

// A streamPool holds the idle streams of a link. It is owned by the task and not safe for concurrent use.
type streamPool struct {
	idle []*callStream
	// unused is the lowest number of idle streams since the last trim, which is the number that no call needed.
	unused int
}

// take removes and returns the stream that became idle last, or returns nil.
func (p *streamPool) take() *callStream {
	n := len(p.idle) - 1
	if n < 0 {
		return nil
	}
	s := p.idle[n]
	p.idle[n] = nil
	p.idle = p.idle[:n]
	p.unused = min(p.unused, n)
	return s
}

// put adds an idle stream to the pool, or closes it when the pool is full.
func (p *streamPool) put(s *callStream) {
	if len(p.idle) >= maxIdleStreams {
		close(s.calls)
		return
	}
	p.idle = append(p.idle, s)
}

// trim closes the streams that no call has needed since the last trim.
func (p *streamPool) trim() {
	for _, s := range p.idle[:p.unused] {
		close(s.calls)
	}
	p.idle = append([]*callStream(nil), p.idle[p.unused:]...)
	p.unused = len(p.idle)
}
