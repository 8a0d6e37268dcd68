package local

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/wire/header"
)

// senseTimeout bounds a measurement. The target answers its health path at once, in about 1 ms.
const senseTimeout = 30 * time.Millisecond

// maxHealth bounds the answer to a measurement in bytes.
const maxHealth = 64 << 10

// A sense asks a sensor for the load of the target.
type sense struct {
	target netip.AddrPort
	path   string
}

// A sensed is what the target told of its load, unless ok is false.
type sensed struct {
	target netip.AddrPort
	load   call.TargetLoad
	ok     bool
}

func (sensed) message() {}

// newSensor starts the goroutine that measures the load of the target over a connection of its own.
func newSensor(asks *mail.Box[sense], d *header.Dialect, owner *mail.Box[Message], done <-chan struct{}) {
	s := &sensor{dialect: d}
	go func() {
		defer s.close()
		for {
			select {
			case a := <-asks.C():
				load, ok := s.measure(a)
				owner.Put(sensed{a.target, load, ok}, done)
			case <-done:
				return
			}
		}
	}()
}

// A sensor is the connection over which a target tells its load. Its goroutine owns it.
type sensor struct {
	dialect *header.Dialect
	target  netip.AddrPort
	stream  net.Conn
	reader  *bufio.Reader
}

// measure asks for the load, on a new connection when the target has closed the one that was kept.
func (s *sensor) measure(a sense) (call.TargetLoad, bool) {
	kept := s.stream != nil && s.target == a.target
	h, err := s.ask(a)
	if err != nil && kept {
		h, err = s.ask(a)
	}
	if err != nil {
		return call.TargetLoad{}, false
	}
	return s.dialect.TargetLoad(h)
}

func (s *sensor) ask(a sense) (http.Header, error) {
	if s.stream == nil || s.target != a.target {
		if err := s.dial(a.target); err != nil {
			return nil, err
		}
	}
	h, err := s.exchange(a)
	if err != nil {
		s.close()
	}
	return h, err
}

func (s *sensor) dial(target netip.AddrPort) error {
	s.close()
	ctx, cancel := context.WithTimeout(context.Background(), senseTimeout)
	defer cancel()
	var d net.Dialer
	stream, err := d.DialContext(ctx, "tcp", target.String())
	if err != nil {
		return errors.Trace(err)
	}
	s.target, s.stream, s.reader = target, stream, bufio.NewReader(stream)
	return nil
}

func (s *sensor) exchange(a sense) (http.Header, error) {
	if err := s.stream.SetDeadline(time.Now().Add(senseTimeout)); err != nil {
		return nil, errors.Trace(err)
	}
	if _, err := s.stream.Write([]byte("GET " + a.path + " HTTP/1.1\r\nHost: " + a.target.String() + "\r\n\r\n")); err != nil {
		return nil, errors.Trace(err)
	}
	r, err := http.ReadResponse(s.reader, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer r.Body.Close()
	if r.ContentLength < 0 || r.ContentLength > maxHealth || r.Close {
		s.close()
		return r.Header, nil
	}
	_, err = s.reader.Discard(int(r.ContentLength))
	return r.Header, errors.Trace(err)
}

func (s *sensor) close() {
	if s.stream != nil {
		// The connection carries no call, so that nothing is lost with it.
		_ = s.stream.Close()
		s.stream = nil
	}
}

// measure asks the sensor for the load of the target, if the service has a path for it.
func (t *Task) measure() {
	if t.target.HealthPath == "" || !t.senses.TryPut(sense{t.target.Address, t.target.HealthPath}) {
		t.gate.Sense(0, t.clock.Now())
		return
	}
	t.measured()
}

// sense takes the load that the target told.
func (t *Task) sense(m sensed) {
	if !t.present || m.target != t.target.Address {
		return
	}
	now := t.clock.Now()
	slowness := m.load.Slowness
	if !m.ok {
		// The calls do not wait for a target that does not answer its health path.
		slowness = 1
	}
	t.gate.Sense(slowness, now)
	t.advanceGate(now)
}
