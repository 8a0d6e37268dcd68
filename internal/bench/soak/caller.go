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
	// callersEach is the number of callers of each daemon, and thinkTime the mean time between two calls of one:
	// together some 40 calls a second for each daemon.
	callersEach = 2
	thinkTime   = 40 * time.Millisecond
	// callsEach is the mean number of calls on a connection.
	callsEach = 40
	allowed   = 2 * time.Second
	// redialTime is the pause after a connection that was not made.
	redialTime = 50 * time.Millisecond
)

// newest is the number of the newest config.
type newest struct{ number atomic.Int64 }

// callers are goroutines that send requests to daemons over kept connections.
type callers struct {
	end  chan struct{}
	done sync.WaitGroup
}

func newCallers(nodes []*node, newest *newest, seed uint64, inbox *mail.Box[message]) *callers {
	c := &callers{end: make(chan struct{})}
	for i, n := range nodes {
		for j := range callersEach {
			r := rand.New(rand.NewPCG(seed, uint64(1+i*callersEach+j)))
			c.done.Go(func() {
				for c.connection(n, r, newest, inbox) {
				}
			})
		}
	}
	return c
}

// stop ends the callers once their calls have ended.
func (c *callers) stop() {
	close(c.end)
	c.done.Wait()
}

// connection sends requests over one connection, and reports whether another one has to follow. A caller goes on
// using a connection until it ends, also while the daemon says that it is not ready.
func (c *callers) connection(n *node, r *rand.Rand, newest *newest, inbox *mail.Box[message]) bool {
	process := int(n.process.Load())
	ctx := context.Background()
	conn, err := fake.Dial(ctx, n.vm.Settings.Callers)
	if err != nil {
		return c.pause(redialTime)
	}
	defer conn.Close()
	if int(n.process.Load()) != process {
		return true
	}
	for range 1 + r.IntN(2*callsEach) {
		if !c.pause(time.Duration(r.ExpFloat64() * float64(thinkTime))) {
			return false
		}
		call := request(n.number, r, int(newest.number.Load()))
		call.Process, call.At = process, time.Now()
		ctx, cancel := context.WithTimeout(ctx, allowed)
		call.Answer = conn.Do(ctx, call.Request, allowed)
		cancel()
		inbox.Put(call, n.ended)
		if call.Answer.Err != nil || call.Answer.Close {
			return true
		}
	}
	return true
}

// pause waits, or reports false when the callers end.
func (c *callers) pause(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-c.end:
		return false
	}
}

// request draws a request: half of them read, a quarter book and a quarter need one of the newest configs.
func request(vm int, r *rand.Rand, newest int) Call {
	q := fake.Request{Method: http.MethodGet, Host: host, Path: fmt.Sprintf("/read/%d?x=%%20", r.Uint32()), Allowed: allowed}
	switch r.IntN(4) {
	case 0, 1:
		return Call{VM: vm, Request: q, Timeout: routes[0].Timeout}
	case 2:
		q.Method, q.Path, q.Body, q.Unsafe = http.MethodPost, "/book/1", fmt.Sprintf("booking %d", r.Uint32()), true
		return Call{VM: vm, Request: q, Timeout: routes[1].Timeout}
	default:
		number := max(1, newest-r.IntN(3))
		q.Path = versionPrefix(number) + "1"
		return Call{VM: vm, Request: q, Timeout: routes[0].Timeout, Version: number}
	}
}
