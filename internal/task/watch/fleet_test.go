package watch_test

import (
	"context"
	"crypto/sha256"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/base/meter"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/fleet/relay"
	"jacinthcross/internal/task/dialer"
	"jacinthcross/internal/task/gossip"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/watch"
	"jacinthcross/internal/wire/codec"
)

// TestMain silences the event log, which package event writes with klog.
func TestMain(m *testing.M) {
	klog.InitFlags(nil)
	_ = flag.Set("logtostderr", "false")
	_ = flag.Set("alsologtostderr", "false")
	_ = flag.Set("stderrthreshold", "FATAL")
	klog.SetOutput(devNull{})
	os.Exit(m.Run())
}

type devNull struct{}

func (devNull) Write(b []byte) (int, error) { return len(b), nil }

// A service is a fake configuration service. Its mode selects how it fails.
type service struct {
	mutex      sync.Mutex
	values     map[string]watch.Value
	version    uint64
	mode       string
	reads      atomic.Int64
	changed    chan struct{}
	lastDigest string
	serial     int
}

func newService() *service {
	return &service{values: map[string]watch.Value{}, changed: make(chan struct{})}
}

func (s *service) update(change func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *service) put(key, text string) {
	s.version++
	s.values[key] = watch.Value{Text: []byte(text), Version: s.version}
}

func (s *service) publish(body string) {
	s.update(func() {
		s.serial++
		text := fmt.Sprintf("Serial = %d\nPrevious = %q\n%s", s.serial, s.lastDigest, body)
		s.lastDigest = fmt.Sprintf("%x", sha256.Sum256([]byte(text)))
		s.put(fmt.Sprintf("note/%d", s.serial), text)
		s.put("head", fmt.Sprintf("Serial = %d\nDigest = %q\n", s.serial, s.lastDigest))
	})
}

// Read implements watch.Reader.
func (s *service) Read(ctx context.Context, key string, after uint64, wait time.Duration) (watch.Value, error) {
	s.reads.Add(1)
	timeout := time.After(wait)
	for {
		s.mutex.Lock()
		mode, changed := s.mode, s.changed
		v, ok := s.values[key]
		s.mutex.Unlock()
		switch {
		case mode == "down":
			return watch.Value{}, errors.New("connection refused")
		case mode == "silent":
			select {
			case <-time.After(wait + time.Second):
				return watch.Value{}, errors.New("timeout")
			case <-ctx.Done():
				return watch.Value{}, ctx.Err()
			}
		case mode == "malformed":
			return watch.Value{Text: []byte("<html>{{{"), Version: 1 << 40}, nil
		case ok && v.Version > after:
			return v, nil
		}
		select {
		case <-changed:
		case <-timeout:
			if ok {
				return watch.Value{}, watch.ErrUnchanged
			}
			return watch.Value{}, errors.NotFoundf("value %q", key)
		case <-ctx.Done():
			return watch.Value{}, ctx.Err()
		}
	}
}

// A fleet is a set of daemons on a network that the test can partition. Each daemon consists of a gossip task and a
// watch task.
type fleet struct {
	mutex       sync.Mutex
	service     *service
	daemons     []*daemon
	unreachable func(from, to int) bool
}

type daemon struct {
	n              int
	gossipInbox    *mail.Box[gossip.Message]
	links          *mail.Box[dialer.Message]
	watchInbox     *mail.Box[watch.Message]
	gossipTask     *gossip.Task
	watchTask      *watch.Task
	bytes          atomic.Int64
	serial         atomic.Uint64
	announcedOlder atomic.Bool
	rejectNext     atomic.Bool
	done           chan struct{}
}

const dataCentres = 2

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000)
}

func vm(n int) ident.VM { return ident.VM(fmt.Sprintf("vm-%d", n)) }

func dataCentre(n int) ident.DataCentre { return ident.DataCentre(fmt.Sprintf("d-%d", n%dataCentres)) }

func targetsNote(count int) string {
	var b strings.Builder
	b.WriteString("[[AddService]]\nName = \"s\"\n")
	for i := range count {
		fmt.Fprintf(&b, "[[AddTarget]]\nName = \"t-%d\"\nService = \"s\"\nVM = %q\nDataCentre = %q\nDaemon = %q\nAddress = \"10.0.1.%d:80\"\nSlots = 1\n",
			i, vm(i), dataCentre(i), address(i), i)
	}
	return b.String()
}

func newFleet(t *testing.T, count int) *fleet {
	f := &fleet{service: newService(), unreachable: func(_, _ int) bool { return false }}
	for n := range count {
		f.daemons = append(f.daemons, &daemon{n: n})
	}
	for _, d := range f.daemons {
		f.start(d)
	}
	t.Cleanup(func() {
		for _, d := range f.daemons {
			f.stop(d)
		}
	})
	return f
}

// start starts a daemon with empty memory.
func (f *fleet) start(d *daemon) {
	f.mutex.Lock()
	d.gossipInbox, d.links, d.watchInbox = mail.NewBox[gossip.Message](256), mail.NewBox[dialer.Message](256), mail.NewBox[watch.Message](256)
	d.done = make(chan struct{})
	f.mutex.Unlock()
	f.startGossip(d)
	d.watchTask = watch.New(d.watchInbox, f.service, d.gossipInbox, watch.WithVMList(f.service))
	go f.forward(d, d.links, d.done)
}

func (f *fleet) startGossip(d *daemon) {
	var seeds []netip.AddrPort
	for n := range 3 {
		seeds = append(seeds, address(n))
	}
	watchInbox := d.watchInbox
	d.serial.Store(0)
	d.gossipTask = gossip.New(gossip.Config{
		VM: vm(d.n), DataCentre: dataCentre(d.n), Daemon: address(d.n), Seeds: seeds, Inbox: d.gossipInbox, Dialer: d.links,
		Announce: func(r *note.Release) bool {
			if d.rejectNext.Swap(false) {
				return false
			}
			if uint64(r.Head.Serial) < d.serial.Swap(uint64(r.Head.Serial)) {
				d.announcedOlder.Store(true)
			}
			return true
		},
		AnnounceDuty: func(duty gossip.ReadDuty) { watchInbox.TryPut(watch.SetDuty{Duty: duty}) },
		CountBytes:   func(_ meter.Direction, n int) { d.bytes.Add(int64(n)) },
	})
}

func (f *fleet) stop(d *daemon) {
	close(d.done)
	d.watchTask.Stop()
	d.gossipTask.Stop()
	<-d.watchTask.Done()
	<-d.gossipTask.Done()
}

// forward delivers the messages that a daemon sends, encoded and decoded as on a connection.
func (f *fleet) forward(d *daemon, box *mail.Box[dialer.Message], done chan struct{}) {
	for {
		select {
		case message := <-box.C():
			go f.deliver(d, message)
		case <-done:
			return
		}
	}
}

func (f *fleet) deliver(d *daemon, message dialer.Message) {
	exchange := message.Message.(link.Exchange)
	to := int(message.Peer.Addr().As4()[3])
	f.mutex.Lock()
	cut := f.unreachable(d.n, to) || f.unreachable(to, d.n)
	var inbox *mail.Box[gossip.Message]
	if to < len(f.daemons) {
		inbox = f.daemons[to].gossipInbox
	}
	f.mutex.Unlock()
	reply := mail.NewBox[relay.Message](1)
	if cut || inbox == nil || !inbox.TryPut(gossip.PeerMessage{Message: roundTrip(exchange.Message).Message, Reply: reply}) {
		exchange.Reply.TryPut(link.Answer{Err: errors.New("unreachable")})
		return
	}
	select {
	case answer := <-reply.C():
		exchange.Reply.TryPut(link.Answer{Message: roundTrip(codec.Control{Message: answer})})
	case <-time.After(time.Second):
		exchange.Reply.TryPut(link.Answer{Err: errors.New("timeout")})
	}
}

func roundTrip(m codec.Message) codec.Control {
	var b strings.Builder
	if _, err := codec.Write(&b, m, time.Now()); err != nil {
		panic(err)
	}
	back, _, err := codec.Read(strings.NewReader(b.String()), 2<<20, time.Now)
	if err != nil {
		panic(err)
	}
	return back.(codec.Control)
}

// awaitSerial waits until the given daemons, or all daemons when none are given, hold the serial. It returns how long
// that took.
func (f *fleet) awaitSerial(t *testing.T, serial uint64, limit time.Duration, daemons ...int) time.Duration {
	t.Helper()
	began := time.Now()
	for {
		missing := -1
		for _, d := range f.daemons {
			if d.serial.Load() != serial && (len(daemons) == 0 || slices.Contains(daemons, d.n)) {
				missing = d.n
			}
		}
		if missing < 0 {
			return time.Since(began)
		}
		if time.Since(began) > limit {
			t.Fatalf("daemon %d holds serial %d after %s, want %d", missing, f.daemons[missing].serial.Load(), limit, serial)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (f *fleet) status(t *testing.T, n int) gossip.Status {
	t.Helper()
	reply := mail.NewBox[gossip.Status](1)
	f.daemons[n].gossipInbox.TryPut(gossip.StatusRequest{Reply: reply})
	select {
	case s := <-reply.C():
		return s
	case <-time.After(5 * time.Second):
		t.Fatalf("daemon %d returned no status", n)
	}
	return gossip.Status{}
}

func (f *fleet) setUnreachable(unreachable func(from, to int) bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.unreachable = unreachable
}

func extraService(n int) string { return fmt.Sprintf("[[AddService]]\nName = \"extra-%d\"\n", n) }
