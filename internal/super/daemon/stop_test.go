package daemon_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/cli/conf"
	"jacinthcross/internal/super/daemon"
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/wire/header"
)

// TestStopIsBounded guards against a planned stop that takes longer than StopTimeout, after which the platform would
// kill the process. The supervisors stop one after the other, each with its own timeout, and these can add up to more
// than StopTimeout.
func TestStopIsBounded(t *testing.T) {
	const stopTimeout = 2 * time.Second
	for _, test := range []struct {
		name  string
		stuck bool
	}{
		{"all tasks end", false},
		{"a task does not end", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			d, err := daemon.New(&conf.Settings{
				VM: ident.VM("vm-0"), DataCentre: "catania-1", Source: conf.ConfigServiceSource{ConfigURL: "http://" + freePort(t).String()},
				MaxBody: 1 << 20, MaxBodyMemory: 32 << 20, MaxHeader: 64 << 10, KeyEpoch: 5 * time.Minute,
				Callers: freePort(t), Peers: freePort(t), Admin: freePort(t),
			}, "test", daemon.WithPlatform(daemon.Platform{Dialect: header.DefaultDialect(), StopTimeout: stopTimeout}))
			qt.Assert(t, err, qt.IsNil)
			release := make(chan struct{})
			if test.stuck {
				loop := tree.NewLoop()
				go loop.Run(func() error {
					<-release
					return nil
				})
				d.AddTask(tree.Child{Name: "stuck", Start: func() (tree.Task, error) { return loop, nil }})
			}
			time.Sleep(100 * time.Millisecond)
			began := time.Now()
			err = d.Shutdown()
			qt.Check(t, time.Since(began) < stopTimeout, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
			qt.Check(t, errors.Is(err, errors.Timeout), qt.Equals, test.stuck)
			close(release)
			<-d.Done()
		})
	}
}
