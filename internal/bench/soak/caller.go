package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"jacinthcross/internal/base/mail"
	"jacinthcross/platform/fake"
)

const (
	callersPerDaemon = 2
	// meanThinkTime is the mean pause of a caller between two calls. With callersPerDaemon and
	// targetWorkTime it gives about 20 calls per second at each daemon.
	meanThinkTime          = 40 * time.Millisecond
	meanCallsPerConnection = 40
	callerTimeout          = 2 * time.Second
	// redialDelay is the pause after a failed dial.
	redialDelay = 50 * time.Millisecond
)

// newestVersion holds the config version that was published last.
type newestVersion struct{ version atomic.Int64 }

// callers are goroutines that send requests to the daemons over persistent connections.
type callers struct {
	stopping chan struct{}
	running  sync.WaitGroup
}

func newCallers(nodes []*node, newest *newestVersion, seed uint64, inbox *mail.Box[message]) *callers {
	c := &callers{stopping: make(chan struct{})}
	for i, n := range nodes {
		for j := range callersPerDaemon {
			r := rand.New(rand.NewPCG(seed, uint64(1+i*callersPerDaemon+j)))
			c.running.Go(func() {
				for c.useConnection(n, r, newest, inbox) {
				}
			})
		}
	}
	return c
}

// stop stops the callers and waits until their calls in flight have ended.
func (c *callers) stop() {
	close(c.stopping)
	c.running.Wait()
}

// useConnection sends requests over one connection and reports whether the caller should open another one. A caller
// uses a connection for a random number of calls, or until a call fails or the daemon closes it, even while the daemon
// reports that it is not ready.
func (c *callers) useConnection(n *node, r *rand.Rand, newest *newestVersion, inbox *mail.Box[message]) bool {
	process := int(n.processNumber.Load())
	ctx := context.Background()
	conn, err := fake.Dial(ctx, n.vm.Settings.Callers)
	if err != nil {
		return c.pause(redialDelay)
	}
	defer conn.Close()
	if int(n.processNumber.Load()) != process {
		return true
	}
	for range 1 + r.IntN(2*meanCallsPerConnection) {
		if !c.pause(time.Duration(r.ExpFloat64() * float64(meanThinkTime))) {
			return false
		}
		call := randomCall(n.number, r, int(newest.version.Load()))
		call.Process, call.StartedAt = process, time.Now()
		ctx, cancel := context.WithTimeout(ctx, callerTimeout)
		call.Response = conn.Send(ctx, call.Request, callerTimeout)
		cancel()
		inbox.Put(call, n.ended)
		if call.Response.Err != nil || call.Response.Close {
			return true
		}
	}
	return true
}

// pause waits for d. It returns false if the callers are stopped first.
func (c *callers) pause(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-c.stopping:
		return false
	}
}

// randomCall returns a call with a random request: half are reads, a quarter are bookings, and a quarter use a route
// of one of the three newest config versions.
func randomCall(vm int, r *rand.Rand, newest int) Call {
	q := fake.Request{Method: http.MethodGet, Host: host, Path: fmt.Sprintf("/read/%d?x=%%20", r.Uint32()), Timeout: callerTimeout}
	switch r.IntN(4) {
	case 0, 1:
		return Call{VM: vm, Request: q, Timeout: baseRoutes[0].Timeout}
	case 2:
		q.Method, q.Path, q.Body, q.Unsafe = http.MethodPost, "/book/1", fmt.Sprintf("booking %d", r.Uint32()), true
		return Call{VM: vm, Request: q, Timeout: baseRoutes[1].Timeout}
	default:
		version := max(1, newest-r.IntN(3))
		q.Path = versionPrefix(version) + "1"
		return Call{VM: vm, Request: q, Timeout: baseRoutes[0].Timeout, Version: version}
	}
}
