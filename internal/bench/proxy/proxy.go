// Package proxy forwards TCP connections, simulates the delay between data centres and injects network faults.
package proxy

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/bench/bind"
	"jacinthcross/internal/super/tree"
)

// A Message is received by a Task.
type Message interface{ message() }

// SilenceConnections makes all open connections silent: they stay open, but carry no more bytes. New connections work.
type SilenceConnections struct{}

// RefuseConnections with Enabled closes all open connections, and each new one as soon as it is accepted, until a
// message without Enabled.
type RefuseConnections struct{ Enabled bool }

// SilenceOrigins makes open and new connections from the data centres in From silent. The set replaces that of an
// earlier message: connections from data centres that are no longer in it are closed.
type SilenceOrigins struct{ From map[ident.DataCentre]bool }

// ResetConnections resets all open connections. New connections work.
type ResetConnections struct{}

// BlockBytes holds back the bytes in each direction whose field is true, on open and new connections. They are forwarded
// once a later message no longer blocks the direction.
type BlockBytes struct{ ToServer, ToClient bool }

// An originFound message reports the data centre that a new connection comes from.
type originFound struct {
	pair *pair
	from ident.DataCentre
}

type accepted struct{ conn *net.TCPConn }

type pairClosed struct{ pair *pair }

// A probeResult message reports whether the server accepts connections.
type probeResult struct{ up bool }

func (SilenceConnections) message() {}
func (RefuseConnections) message()  {}
func (SilenceOrigins) message()     {}
func (ResetConnections) message()   {}
func (BlockBytes) message()         {}
func (originFound) message()        {}
func (accepted) message()           {}
func (pairClosed) message()         {}
func (probeResult) message()        {}

// An OriginFunc returns the data centre of the process that opened a connection, or "" if it is unknown.
type OriginFunc func(from netip.AddrPort) ident.DataCentre

// A DelayFunc returns the delay in each direction of a connection from a data centre.
type DelayFunc func(from ident.DataCentre) time.Duration

// A Task is a proxy. It owns a listening socket and its connections.
type Task struct {
	*tree.Loop
	inbox           *mail.Box[Message]
	listener        net.Listener
	listenAddress   netip.AddrPort
	serverAddress   netip.AddrPort
	origin          OriginFunc
	delay           DelayFunc
	openDelay       time.Duration
	pairs           map[*pair]bool
	toServer        gate
	toClient        gate
	silencedOrigins map[ident.DataCentre]bool
	refusing        bool
	probing         bool
	// serverDown is true while the proxy does not listen because the server does not accept connections.
	serverDown bool
}

const (
	inboxSize     = 256
	dialTimeout   = time.Second
	probeInterval = 20 * time.Millisecond
)

// NewInbox returns a mailbox for a proxy. It can be used again when the proxy restarts.
func NewInbox() *mail.Box[Message] { return mail.NewBox[Message](inboxSize) }

// An Option sets a property of a Task.
type Option func(*Task)

// WithOpenDelay delays the connection to the server, and thus the first bytes of each new connection, by d.
func WithOpenDelay(d time.Duration) Option { return func(t *Task) { t.openDelay = d } }

// New starts a proxy that accepts connections at listen and forwards them to server.
func New(inbox *mail.Box[Message], listen, server netip.AddrPort, origin OriginFunc, delay DelayFunc, options ...Option) (*Task, error) {
	t := &Task{Loop: tree.NewLoop(), inbox: inbox, listenAddress: listen, serverAddress: server, origin: origin, delay: delay, pairs: map[*pair]bool{}}
	for _, o := range options {
		o(t)
	}
	if err := t.listen(); err != nil {
		return nil, err
	}
	go func() {
		t.Run(t.loop)
	}()
	return t, nil
}

func (t *Task) listen() error {
	l, err := bind.Listen(t.listenAddress)
	if err != nil {
		return errors.Trace(err)
	}
	t.listener = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.inbox.Put(accepted{c.(*net.TCPConn)}, t.Done())
		}
	}()
	return nil
}

func (t *Task) loop() error {
	defer func() {
		t.listener.Close()
		t.closeAll()
	}()
	for {
		select {
		case m := <-t.inbox.C():
			if err := t.receive(m); err != nil {
				return err
			}
		case <-t.Stopping():
			return nil
		}
	}
}

func (t *Task) receive(m Message) error {
	switch m := m.(type) {
	case accepted:
		if t.refusing {
			m.conn.Close()
			return nil
		}
		t.pairs[t.newPair(m.conn)] = true
	case pairClosed:
		delete(t.pairs, m.pair)
		if !t.probing {
			t.probing = true
			t.probe(0)
		}
	case probeResult:
		return t.handleProbe(m.up)
	case originFound:
		m.pair.from = m.from
		if t.silencedOrigins[m.from] {
			m.pair.silence()
		}
		close(m.pair.originKnown)
	case SilenceConnections:
		for p := range t.pairs {
			p.silence()
		}
	case SilenceOrigins:
		t.silenceOrigins(m.From)
	case ResetConnections:
		for p := range t.pairs {
			p.reset()
		}
	case BlockBytes:
		t.toServer.setBlocked(m.ToServer)
		t.toClient.setBlocked(m.ToClient)
	case RefuseConnections:
		t.refusing = m.Enabled
		if t.refusing {
			t.closeAll()
		}
	}
	return nil
}

func (t *Task) silenceOrigins(from map[ident.DataCentre]bool) {
	for p := range t.pairs {
		switch {
		case from[p.from]:
			p.silence()
		case t.silencedOrigins[p.from]:
			p.close()
		}
	}
	t.silencedOrigins = from
}

// handleProbe stops listening while the server does not accept connections, and listens again once it does. Clients
// thus see refused connections, as they would without the proxy.
func (t *Task) handleProbe(up bool) error {
	if !up {
		t.listener.Close()
		t.serverDown = true
		t.probe(probeInterval)
		return nil
	}
	t.probing = false
	if !t.serverDown {
		return nil
	}
	t.serverDown = false
	return t.listen()
}

// probe starts a goroutine that checks after a delay whether the server accepts connections.
func (t *Task) probe(after time.Duration) {
	go func() {
		time.Sleep(after)
		c, err := net.DialTimeout("tcp", t.serverAddress.String(), dialTimeout)
		if err == nil {
			c.Close()
		}
		t.inbox.Put(probeResult{err == nil}, t.Done())
	}()
}

func (t *Task) closeAll() {
	for p := range t.pairs {
		p.close()
	}
}

// A pair is a connection from a client and the corresponding connection to the server.
type pair struct {
	client *net.TCPConn
	// from is the data centre of the client. It is set before originKnown is closed.
	from        ident.DataCentre
	originKnown chan struct{}
	stop        chan struct{}
	closeOnce   sync.Once
	silent      chan struct{}
	silenceOnce sync.Once
}

func (p *pair) close() { p.closeOnce.Do(func() { close(p.stop) }) }

// reset closes the client's connection with a TCP reset. An error of SetLinger means that it is already closed.
func (p *pair) reset() {
	_ = p.client.SetLinger(0)
	p.close()
}

func (p *pair) silence() { p.silenceOnce.Do(func() { close(p.silent) }) }

// wait waits for d. It returns false if the pair is closed first.
func (p *pair) wait(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.stop:
		return false
	}
}

// newPair starts the goroutine that dials the server and forwards both directions.
func (t *Task) newPair(client *net.TCPConn) *pair {
	p := &pair{client: client, originKnown: make(chan struct{}), stop: make(chan struct{}), silent: make(chan struct{})}
	go func() {
		defer t.inbox.Put(pairClosed{p}, t.Done())
		defer client.Close()
		if !p.wait(t.openDelay) {
			return
		}
		c, err := net.DialTimeout("tcp", t.serverAddress.String(), dialTimeout)
		if err != nil {
			return
		}
		server := c.(*net.TCPConn)
		defer server.Close()
		address, _ := netip.ParseAddrPort(client.RemoteAddr().String())
		from := t.origin(address)
		t.inbox.Put(originFound{p, from}, t.Done())
		// No bytes are forwarded before the task has checked whether connections from this origin are silenced.
		select {
		case <-p.originKnown:
		case <-p.stop:
			return
		}
		delay := t.delay(from)
		done := make(chan struct{}, 2)
		go func() { p.forward(server, client, delay, &t.toServer); done <- struct{}{} }()
		go func() { p.forward(client, server, delay, &t.toClient); done <- struct{}{} }()
		select {
		case <-done:
		case <-p.stop:
		}
	}()
	return p
}

// A chunk holds the bytes of one read and the time at which they are due at the other side.
type chunk struct {
	due   time.Time
	bytes []byte
}

// maxChunksInFlight limits the chunks in flight in each direction, and thereby the bandwidth.
const maxChunksInFlight = 1024

// forward copies bytes until one side fails or is closed. Bytes read before the end of the stream are still delivered.
func (p *pair) forward(to, from *net.TCPConn, delay time.Duration, g *gate) {
	chunks := make(chan chunk, maxChunksInFlight)
	go func() {
		defer close(chunks)
		for {
			b := make([]byte, 16<<10)
			n, err := from.Read(b)
			if n > 0 {
				select {
				case chunks <- chunk{time.Now().Add(delay), b[:n]}:
				case <-p.stop:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		select {
		case <-p.silent:
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		if d := time.Until(c.due); d > 0 {
			time.Sleep(d)
		}
		if !g.wait(p.stop) {
			return
		}
		if _, err := to.Write(c.bytes); err != nil {
			return
		}
	}
}
