package retry

import (
	"container/list"
	"math/rand/v2"
	"net/netip"
	"time"

	"jacinthcross/internal/policy/shed"
)

const (
	// retryTokensPerCall limits retries to a tenth of the calls.
	retryTokensPerCall = .1
	// maxCallerTokens is the capacity of a caller's token bucket. A caller starts with initialCallerTokens, so
	// that the first call of an infrequent caller can be retried.
	maxCallerTokens     = 10
	initialCallerTokens = 1
	// maxTotalTokens is the capacity of the token bucket that all callers share. It starts with
	// initialTotalTokens, so that the first calls of a new daemon can be retried, while the retries of many new
	// callers together stay within a tenth of their calls plus initialTotalTokens.
	maxTotalTokens     = 100
	initialTotalTokens = 5
	// maxCallers bounds the number of callers with a bucket. The least recently seen caller is evicted.
	maxCallers = 4096
	// hedgeTokensPerCall and maxHedgeTokens define the token bucket for hedges.
	hedgeTokensPerCall = .02
	maxHedgeTokens     = 4
)

// Delays double with each retry or reattachment and are multiplied by a random factor between 0.5 and 1.5.
// Reattachments take longer, because they wait for a new connection.
const (
	baseRetryDelay    = 2 * time.Millisecond
	maxRetryDelay     = 100 * time.Millisecond
	baseReattachDelay = 5 * time.Millisecond
	maxReattachDelay  = 250 * time.Millisecond
)

// A Policy decides on retries and hedges within the budgets of a daemon.
type Policy struct {
	random *rand.Rand
	// platformBudget replaces the token buckets of the callers and of the daemon if the platform limits retries.
	// Otherwise it is nil.
	platformBudget *PlatformBudget
	// mode says how the retries of platformBudget are shared.
	mode        shed.Mode
	totalTokens float64
	hedgeTokens float64
	callers     map[netip.Addr]*list.Element
	// recentCallers lists the callers by their last call, most recent first.
	recentCallers *list.List
}

type caller struct {
	address netip.Addr
	tokens  float64
}

// An Option sets a property of a Policy.
type Option func(*Policy)

// WithRandom sets the source of the jitter.
func WithRandom(r *rand.Rand) Option { return func(p *Policy) { p.random = r } }

// WithPlatformBudget makes the platform's limit the budget for all retries.
func WithPlatformBudget(s *PlatformBudget) Option { return func(p *Policy) { p.platformBudget = s } }

// WithShedding sets how the retries of the platform's limit are shared. The default is shed.Equal.
func WithShedding(m shed.Mode) Option { return func(p *Policy) { p.mode = m } }

// NewPolicy returns a Policy without callers.
func NewPolicy(options ...Option) *Policy {
	p := &Policy{totalTokens: initialTotalTokens, callers: map[netip.Addr]*list.Element{}, recentCallers: list.New()}
	for _, o := range options {
		o(p)
	}
	if p.random == nil {
		p.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return p
}

// RecordCall counts a call from a caller, which earns fractions of a retry and of a hedge.
func (p *Policy) RecordCall(address netip.Addr) {
	p.totalTokens = min(maxTotalTokens, p.totalTokens+retryTokensPerCall)
	p.hedgeTokens = min(maxHedgeTokens, p.hedgeTokens+hedgeTokensPerCall)
	e, ok := p.callers[address]
	if !ok {
		if len(p.callers) >= maxCallers {
			oldest := p.recentCallers.Back()
			delete(p.callers, oldest.Value.(*caller).address)
			p.recentCallers.Remove(oldest)
		}
		p.callers[address] = p.recentCallers.PushFront(&caller{address, initialCallerTokens})
		return
	}
	p.recentCallers.MoveToFront(e)
	c := e.Value.(*caller)
	c.tokens = min(maxCallerTokens, c.tokens+retryTokensPerCall)
}

// takeRetry reports whether the budgets allow a retry. If so, it deducts the retry from them.
func (p *Policy) takeRetry(a Attempt, now time.Time) bool {
	if p.platformBudget != nil {
		share := 1.
		if p.mode == shed.ByCost {
			share = shed.RetryShare(a.Claim)
		}
		return p.platformBudget.TakeRetry(a.Service, share, now)
	}
	e, ok := p.callers[a.Caller]
	if !ok || p.totalTokens < 1 {
		return false
	}
	c := e.Value.(*caller)
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	p.totalTokens--
	return true
}

// TakeHedge reports whether the budget allows a hedge. If so, it deducts the hedge from the budget.
func (p *Policy) TakeHedge() bool {
	if p.hedgeTokens < 1 {
		return false
	}
	p.hedgeTokens--
	return true
}

// jitteredBackoff returns a random delay between 0.5 and 1.5 times the base delay, which doubles with each earlier
// retry or reattachment, up to maxDelay.
func (p *Policy) jitteredBackoff(base, maxDelay time.Duration, earlier int) time.Duration {
	d := min(maxDelay, base<<min(earlier, 20))
	return d/2 + time.Duration(p.random.Int64N(int64(d)))
}
