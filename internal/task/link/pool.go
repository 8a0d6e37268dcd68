package link

import (
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"
)

// To open and close a stream for each call takes two more frames in each direction, each a system
// call of its own, so the stream of a complete call is kept for another.
const (
	// maxIdle bounds the idle streams of a link, each of which holds goroutines and buffers at both ends.
	maxIdle = 64
	// trimInterval is the time after which idle streams that no call needed are closed.
	trimInterval = 5 * time.Second
	// MaxKeptBuffer is the largest receive buffer in bytes that an idle stream keeps.
	MaxKeptBuffer = 16 << 10
)

// A callStream carries one call at a time. Its carrier reads from sends, to which only the task writes.
type callStream struct {
	*yamux.Stream
	sends chan Send
}

func newCallStream(s *yamux.Stream) *callStream {
	return &callStream{Stream: s, sends: make(chan Send, 1)}
}

// next returns the next call, or false when the stream carries no more.
func (s *callStream) next(t *Task) (Send, bool) {
	select {
	case m, ok := <-s.sends:
		return m, ok
	case <-t.Done():
	}
	// The task writes no more, but a call may wait.
	select {
	case m, ok := <-s.sends:
		return m, ok
	default:
		return Send{}, false
	}
}

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

// quiet reports whether the stream is open and holds no bytes, so that what is read from now on answers what is now sent.
func (s *callStream) quiet() bool {
	if err := s.SetReadDeadline(expired); err != nil {
		return false
	}
	var b [1]byte
	_, err := s.Read(b[:])
	return errors.Is(err, yamux.ErrTimeout)
}

// A pool holds the idle streams of a link. It is a value of the task and not safe for concurrent use.
type pool struct {
	idle []*callStream
	// spare is the lowest number of idle streams since the last trim.
	spare int
}

// take returns the stream that became idle last, or nil.
func (p *pool) take() *callStream {
	n := len(p.idle) - 1
	if n < 0 {
		return nil
	}
	s := p.idle[n]
	p.idle[n] = nil
	p.idle = p.idle[:n]
	p.spare = min(p.spare, n)
	return s
}

// put keeps an idle stream, or closes it when enough are kept.
func (p *pool) put(s *callStream) {
	if len(p.idle) >= maxIdle {
		close(s.sends)
		return
	}
	p.idle = append(p.idle, s)
}

// trim closes the streams that no call needed since the last trim.
func (p *pool) trim() {
	for _, s := range p.idle[:p.spare] {
		close(s.sends)
	}
	p.idle = append([]*callStream(nil), p.idle[p.spare:]...)
	p.spare = len(p.idle)
}
