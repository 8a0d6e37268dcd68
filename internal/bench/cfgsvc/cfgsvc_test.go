package cfgsvc_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/bench/cfgsvc"
	"jacinthcross/internal/task/watch"
)

// Guards against failure modes that do not take effect, which would leave the daemon's handling of them untested.
func TestModes(t *testing.T) {
	for _, test := range []struct {
		name string
		mode cfgsvc.Mode
		text string
		fail bool
	}{
		{"normal", cfgsvc.Normal{}, "new", false},
		{"down", cfgsvc.Down{}, "", true},
		{"slow", cfgsvc.Slow{Delay: 20 * time.Millisecond}, "new", false},
		{"stale", cfgsvc.Stale{}, "old", false},
		{"malformed", cfgsvc.Malformed{}, "\x00\xff not a value = [", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := start(c)
			s.Send(cfgsvc.Put{Key: "k", Text: "old"})
			s.Send(cfgsvc.SetMode{Mode: test.mode})
			s.Send(cfgsvc.Put{Key: "k", Text: "new"})
			v, err := watch.NewHTTPReader(s.URL()).Read(context.Background(), "k", 0, 0)
			if test.fail {
				c.Assert(err, qt.IsNotNil)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(string(v.Text), qt.Equals, test.text)
		})
	}
}

func start(c *qt.C) *cfgsvc.Task {
	s, err := cfgsvc.New(netip.MustParseAddrPort("127.0.0.1:0"))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		s.Stop()
		<-s.Done()
	})
	return s
}

// Guards against a mode PreviousHead that answers with the newest head: tests that use it to show that daemons keep a
// release that the service has lost would pass without testing anything.
func TestPreviousHead(t *testing.T) {
	c := qt.New(t)
	s := start(c)
	s.Publish("# one\n")
	s.Publish("# two\n")
	s.Send(cfgsvc.SetMode{Mode: cfgsvc.PreviousHead{}})
	reader := watch.NewHTTPReader(s.URL())
	v, err := reader.Read(context.Background(), "head", 0, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(string(v.Text), qt.Contains, "Serial = 1\n")
	_, err = reader.Read(context.Background(), "head", 4, 0)
	c.Assert(err, qt.ErrorIs, watch.ErrUnchanged)
}

// Guards against a watch that misses a change or counts as several reads, which would falsify the cost of watching.
func TestWatch(t *testing.T) {
	c := qt.New(t)
	s := start(c)
	reader := watch.NewHTTPReader(s.URL())
	s.Send(cfgsvc.Put{Key: "k", Text: "one"})
	first, err := reader.Read(context.Background(), "k", 0, 0)
	c.Assert(err, qt.IsNil)
	_, err = reader.Read(context.Background(), "k", first.Version, 10*time.Millisecond)
	c.Assert(err, qt.ErrorIs, watch.ErrUnchanged)
	s.Send(cfgsvc.Put{Key: "k", Text: "two", Delay: 20 * time.Millisecond})
	second, err := reader.Read(context.Background(), "k", first.Version, time.Minute)
	c.Assert(err, qt.IsNil)
	c.Assert(string(second.Text), qt.Equals, "two")
	c.Assert(s.Reads(), qt.Equals, 3)
}
