package retry

import (
	"container/list"
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	// tokensPerCall bounds the retries to a tenth of the calls.
	tokensPerCall = .1
	// callerTokens bounds the retries that a caller may save up. A caller starts with firstTokens,
	// so that the first call of a rare caller can be tried again.
	callerTokens = 10
	firstTokens  = 1
	// totalTokens bounds the retries of all callers together. This bucket starts with initialTokens, so that
	// the first calls of a new daemon can be tried again, while many new callers together do not add up to
	// more than a tenth of their calls plus initialTokens.
	totalTokens   = 100
	initialTokens = 5
	// maxCallers bounds the table of callers. The caller that was not seen for longest is forgotten.
	maxCallers = 4096
	// hedgesPerCall and hedgeTokens are the budget of hedges.
	hedgesPerCall = .02
	hedgeTokens   = 4
)

// Delays double with each retry or reattachment and vary by half. A reattachment waits for a new connection.
const (
	firstDelay      = 2 * time.Millisecond
	longestDelay    = 100 * time.Millisecond
	firstReattach   = 5 * time.Millisecond
	longestReattach = 250 * time.Millisecond
)

// A Policy decides on retries and hedges under the budgets of a daemon.
type Policy struct {
	random *rand.Rand
	// shares replaces the budgets of callers and of the daemon where the platform sets a bound, or is nil.
	shares  *Shares
	total   float64
	hedges  float64
	callers map[netip.Addr]*list.Element
	// recent orders the callers by the time of their last call, latest first.
	recent *list.List
}

type caller struct {
	address netip.Addr
	tokens  float64
}

// An Option sets a property of a Policy.
type Option func(*Policy)

// WithRandom sets the source of the jitter.
func WithRandom(r *rand.Rand) Option { return func(p *Policy) { p.random = r } }

// WithShares makes the platform's bound the budget of all retries.
func WithShares(s *Shares) Option { return func(p *Policy) { p.shares = s } }

// NewPolicy returns a Policy without callers.
func NewPolicy(options ...Option) *Policy {
	p := &Policy{total: initialTokens, callers: map[netip.Addr]*list.Element{}, recent: list.New()}
	for _, o := range options {
		o(p)
	}
	if p.random == nil {
		p.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return p
}

// Called counts a call of a caller, which earns a part of a retry and of a hedge.
func (p *Policy) Called(address netip.Addr) {
	p.total = min(totalTokens, p.total+tokensPerCall)
	p.hedges = min(hedgeTokens, p.hedges+hedgesPerCall)
	e, ok := p.callers[address]
	if !ok {
		if len(p.callers) >= maxCallers {
			oldest := p.recent.Back()
			delete(p.callers, oldest.Value.(*caller).address)
			p.recent.Remove(oldest)
		}
		p.callers[address] = p.recent.PushFront(&caller{address, firstTokens})
		return
	}
	p.recent.MoveToFront(e)
	c := e.Value.(*caller)
	c.tokens = min(callerTokens, c.tokens+tokensPerCall)
}

// take reports whether the budgets allow a retry, and pays for it.
func (p *Policy) take(a Attempt, now time.Time) bool {
	if p.shares != nil {
		return p.shares.Take(a.Service, now)
	}
	e, ok := p.callers[a.Caller]
	if !ok || p.total < 1 {
		return false
	}
	c := e.Value.(*caller)
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	p.total--
	return true
}

// Hedge reports whether the budget allows a hedge, and pays for it.
func (p *Policy) Hedge() bool {
	if p.hedges < 1 {
		return false
	}
	p.hedges--
	return true
}

// delay returns a random time around first, doubled n times, and at most 1.5 times longest.
func (p *Policy) delay(first, longest time.Duration, n int) time.Duration {
	d := min(longest, first<<min(n, 20))
	return d/2 + time.Duration(p.random.Int64N(int64(d)))
}
