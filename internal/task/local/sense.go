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

// A sensed is what came of a measurement.
type sensed struct {
	target netip.AddrPort
	answer answer
}

func (sensed) message() {}

// An answer is what a target said when it was asked for its load: told, untold or silent.
type answer interface{ answer() }

// told has the load that the target told.
type told struct{ load call.TargetLoad }

// untold is an answer without a load.
type untold struct{}

// silent is no answer in time.
type silent struct{}

func (told) answer()   {}
func (untold) answer() {}
func (silent) answer() {}

// newSensor starts the goroutine that measures the load of the target over a connection of its own.
func newSensor(asks *mail.Box[sense], d *header.Dialect, owner *mail.Box[Message], done <-chan struct{}) {
	s := &sensor{dialect: d}
	go func() {
		defer s.close()
		for {
			select {
			case a := <-asks.C():
				owner.Put(sensed{a.target, s.measure(a)}, done)
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
func (s *sensor) measure(a sense) answer {
	kept := s.stream != nil && s.target == a.target
	h, err := s.ask(a)
	if err != nil && kept {
		h, err = s.ask(a)
	}
	if err != nil {
		return silent{}
	}
	if load, ok := s.dialect.TargetLoad(h); ok {
		return told{load}
	}
	return untold{}
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

// sense takes the answer of the target. One that tells no load is not asked again until a response to a call has one:
// its health path may wait for a slot, and each call would wait for it.
func (t *Task) sense(m sensed) {
	if !t.present || m.target != t.target.Address {
		return
	}
	now := t.clock.Now()
	switch a := m.answer.(type) {
	case told:
		t.gate.Sense(a.load.Slowness, now)
	case untold:
		t.gate.Sense(0, now)
	case silent:
		// The calls do not wait for a target that does not answer its health path.
		t.gate.Sense(1, now)
	}
	t.advanceGate(now)
}
