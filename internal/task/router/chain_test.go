package router

import (
	"net/http"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/local"
)

// A chain has one daemon per level. The calls at a level make parallel calls to the next, and any attempt may fail.
type chain struct {
	t       *rapid.T
	levels  []*harness
	tokens  int
	retries int
}

// serve runs a request on the target of a level and returns the number of retries that its daemon reports.
func (c *chain) serve(level int, r call.Request) int {
	if level == len(c.levels) {
		return 0
	}
	h := c.levels[level]
	c.tokens++
	token := strconv.Itoa(c.tokens)
	h.receive(ContextChanged{local.CallContext{Token: token, Deadline: r.Deadline, Rank: ident.Urgent, Depth: r.Depth, RetryAllowance: r.RetryAllowance}})
	c.calls(level, token)
	h.receive(ContextChanged{local.CallContext{Token: token, Ended: true}})
	used := 0
	for {
		select {
		case m := <-h.toLocal.C():
			if s, ok := m.(local.RetryUsed); ok && s.Token == token {
				used++
			}
			continue
		default:
		}
		return used
	}
}

// calls makes calls at a level and runs them until all have an outcome.
func (c *chain) calls(level int, token string) {
	h := c.levels[level]
	made, sends := rapid.IntRange(1, 2).Draw(c.t, "parallel"), 0
	var open []call.ID
	for range made {
		id, _ := h.submit(http.MethodGet, "", token)
		open = append(open, id)
	}
	for len(open) > 0 {
		if s, ok := h.nextSent().(link.Send); ok {
			sends++
			h.handleResult(c.attempt(level, s))
			continue
		}
		id := open[0]
		open = open[1:]
		if _, ok := h.calls[id]; ok {
			open = append(open, id)
			h.handleTimer(retryTimer{id})
		}
	}
	c.retries += sends - made
}

// attempt simulates an attempt that succeeds or fails, before or after it ran, with or without a report.
func (c *chain) attempt(level int, s link.Send) call.Result {
	r := call.Result{Attempt: s.ID, Outcome: call.Answered{Status: 200}}
	r.Load.Incarnation = testIncarnation
	switch rapid.IntRange(0, 3).Draw(c.t, "outcome") {
	case 0:
		r.Outcome = call.Refused{Kind: errs.PeerUnreachable}
		r.Load.Incarnation = ident.Incarnation{}
	case 1:
		c.serve(level+1, s.Request)
		return call.Result{Attempt: s.ID, Outcome: call.Unknown{Kind: errs.PeerLost}}
	case 2:
		r.Outcome = call.Unknown{Kind: errs.TargetFailed}
		r.RetriesUsed = c.serve(level+1, s.Request)
	default:
		r.RetriesUsed = c.serve(level+1, s.Request)
	}
	return r
}

// Guards against retries that multiply along a chain of calls when attempts fail at several levels or calls are made in
// parallel.
func TestRetriesDoNotMultiplyAlongChain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &chain{t: t}
		for range maxDepth {
			c.levels = append(c.levels, newHarness(3))
		}
		h := c.levels[0]
		id, _ := h.submit(http.MethodGet, "", "")
		sends := 0
		for {
			if s, ok := h.nextSent().(link.Send); ok {
				sends++
				h.handleResult(c.attempt(0, s))
			} else if _, ok := h.calls[id]; ok {
				h.handleTimer(retryTimer{id})
			} else {
				break
			}
		}
		if c.retries += sends - 1; c.retries > initialAllowance {
			t.Fatalf("%d retries of one call", c.retries)
		}
	})
}
