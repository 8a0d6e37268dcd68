// Package delay relays TCP connections with the delay between two data centres.
package delay

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

// A Message is what the task receives.
type Message interface{ message() }

// A Silence makes all open connections silent: they stay open and carry no more bytes. New ones work.
type Silence struct{}

// A Partition closes all connections and refuses new ones while Closed is true.
type Partition struct{ Closed bool }

// A Cut makes the connections from data centres silent, open ones and new ones. Those that an earlier Cut
// made silent and this one does not name are closed.
type Cut struct{ From map[ident.DataCentre]bool }

// A Reset resets all open connections. New ones work.
type Reset struct{}

// A Block holds back the bytes of a direction, of open connections and new ones, while it is true. They are
// carried afterwards.
type Block struct{ ToServer, ToClient bool }

// An opened message tells where a new connection comes from.
type opened struct {
	pair *pair
	from ident.DataCentre
}

type accepted struct{ conn *net.TCPConn }

type ended struct{ pair *pair }

// A probed message says whether the server accepts connections.
type probed struct{ up bool }

func (Silence) message()   {}
func (Partition) message() {}
func (Cut) message()       {}
func (Reset) message()     {}
func (Block) message()     {}
func (opened) message()    {}
func (accepted) message()  {}
func (ended) message()     {}
func (probed) message()    {}

// An Origin returns the data centre of the process that opened a connection, or none when it is not known.
type Origin func(from netip.AddrPort) ident.DataCentre

// A OneWay returns the delay of each direction of a connection from a data centre.
type OneWay func(from ident.DataCentre) time.Duration

// A Task owns a listening socket and its connections.
type Task struct {
	*tree.Loop
	inbox    *mail.Box[Message]
	listener net.Listener
	at       netip.AddrPort
	to       netip.AddrPort
	origin   Origin
	oneWay   OneWay
	opening  time.Duration
	pairs    map[*pair]bool
	toServer gate
	toClient gate
	cut      map[ident.DataCentre]bool
	closed   bool
	probing  bool
	// down is true while the relay does not listen because the server does not.
	down bool
}

const (
	mailbox     = 256
	dialTimeout = time.Second
	probeGap    = 20 * time.Millisecond
)

// NewBox returns a mailbox of a relay. It outlives restarts of the relay.
func NewBox() *mail.Box[Message] { return mail.NewBox[Message](mailbox) }

// An Option sets a property of a Task.
type Option func(*Task)

// WithOpening makes each new connection carry its first bytes only after a time, as if it took so long to open.
func WithOpening(d time.Duration) Option { return func(t *Task) { t.opening = d } }

// New starts a relay from one address to another.
func New(inbox *mail.Box[Message], at, to netip.AddrPort, origin Origin, oneWay OneWay, options ...Option) (*Task, error) {
	t := &Task{Loop: tree.NewLoop(), inbox: inbox, at: at, to: to, origin: origin, oneWay: oneWay, pairs: map[*pair]bool{}}
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
	l, err := bind.Listen(t.at)
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
		if t.closed {
			m.conn.Close()
			return nil
		}
		t.pairs[t.newPair(m.conn)] = true
	case ended:
		delete(t.pairs, m.pair)
		if !t.probing {
			t.probing = true
			t.probe(0)
		}
	case probed:
		return t.probed(m.up)
	case opened:
		m.pair.from = m.from
		if t.cut[m.from] {
			m.pair.silence()
		}
		close(m.pair.known)
	case Silence:
		for p := range t.pairs {
			p.silence()
		}
	case Cut:
		t.cutOff(m.From)
	case Reset:
		for p := range t.pairs {
			p.reset()
		}
	case Block:
		t.toServer.set(m.ToServer)
		t.toClient.set(m.ToClient)
	case Partition:
		t.closed = m.Closed
		if t.closed {
			t.closeAll()
		}
	}
	return nil
}

func (t *Task) cutOff(from map[ident.DataCentre]bool) {
	for p := range t.pairs {
		switch {
		case from[p.from]:
			p.silence()
		case t.cut[p.from]:
			p.close()
		}
	}
	t.cut = from
}

// probed stops listening while the server does not accept connections, so that clients see a
// refused connection as they would without the relay, and listens again when it does.
func (t *Task) probed(up bool) error {
	if !up {
		t.listener.Close()
		t.down = true
		t.probe(probeGap)
		return nil
	}
	t.probing = false
	if !t.down {
		return nil
	}
	t.down = false
	return t.listen()
}

// probe starts a goroutine that tells after a time whether the server accepts connections.
func (t *Task) probe(after time.Duration) {
	go func() {
		time.Sleep(after)
		c, err := net.DialTimeout("tcp", t.to.String(), dialTimeout)
		if err == nil {
			c.Close()
		}
		t.inbox.Put(probed{err == nil}, t.Done())
	}()
}

func (t *Task) closeAll() {
	for p := range t.pairs {
		p.close()
	}
}

// A pair is a connection from a client and the one to the server.
type pair struct {
	client *net.TCPConn
	// from is where the connection comes from, once known is closed.
	from   ident.DataCentre
	known  chan struct{}
	stop   chan struct{}
	once   sync.Once
	silent chan struct{}
	hush   sync.Once
}

func (p *pair) close() { p.once.Do(func() { close(p.stop) }) }

// reset closes the side of the client with a reset. An error means that it is closed already.
func (p *pair) reset() {
	_ = p.client.SetLinger(0)
	p.close()
}

func (p *pair) silence() { p.hush.Do(func() { close(p.silent) }) }

// wait waits for a time, or reports false when the pair is closed before.
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

// newPair starts the goroutine that dials the server and carries both directions.
func (t *Task) newPair(client *net.TCPConn) *pair {
	p := &pair{client: client, known: make(chan struct{}), stop: make(chan struct{}), silent: make(chan struct{})}
	go func() {
		defer t.inbox.Put(ended{p}, t.Done())
		defer client.Close()
		if !p.wait(t.opening) {
			return
		}
		c, err := net.DialTimeout("tcp", t.to.String(), dialTimeout)
		if err != nil {
			return
		}
		server := c.(*net.TCPConn)
		defer server.Close()
		address, _ := netip.ParseAddrPort(client.RemoteAddr().String())
		from := t.origin(address)
		t.inbox.Put(opened{p, from}, t.Done())
		// No byte is carried before the task has compared the origin with a cut.
		select {
		case <-p.known:
		case <-p.stop:
			return
		}
		delay := t.oneWay(from)
		done := make(chan struct{}, 2)
		go func() { p.carry(server, client, delay, &t.toServer); done <- struct{}{} }()
		go func() { p.carry(client, server, delay, &t.toClient); done <- struct{}{} }()
		select {
		case <-done:
		case <-p.stop:
		}
	}()
	return p
}

// A chunk is what was read at once, and when it is due at the other side.
type chunk struct {
	due   time.Time
	bytes []byte
}

// chunksInFlight bounds what is on the way in one direction, and so its bandwidth.
const chunksInFlight = 1024

// carry copies until one side fails. Bytes that were read before the end of the stream still arrive.
func (p *pair) carry(to, from *net.TCPConn, delay time.Duration, g *gate) {
	chunks := make(chan chunk, chunksInFlight)
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
		if !g.pass(p.stop) {
			return
		}
		if _, err := to.Write(c.bytes); err != nil {
			return
		}
	}
}
