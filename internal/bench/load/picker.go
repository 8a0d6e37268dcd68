package load

import (
	"math/rand/v2"
	"time"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/bench/deploy"
	"jacinthcross/internal/bench/setup"
	"jacinthcross/internal/super/tree"
)

// A policy selects targets for calls that bypass the daemons: random, roundRobin, staleLeast or oracle.
type policy interface{ policy() }

type random struct{}

type roundRobin struct{}

// A staleLeast policy chooses the target with the fewest calls in flight, by counts that may be as old as interval.
type staleLeast struct{ interval time.Duration }

// An oracle policy chooses by the current number of calls in flight at each target, which no distributed
// balancer can know.
type oracle struct{}

func (random) policy()     {}
func (roundRobin) policy() {}
func (staleLeast) policy() {}
func (oracle) policy()     {}

// reportInterval is the time between load reports, and so their greatest age, under the staleLeast policy.
const reportInterval = 100 * time.Millisecond

func policyFor(b setup.Balancer) (policy, bool) {
	switch b {
	case setup.Random:
		return random{}, true
	case setup.RoundRobin:
		return roundRobin{}, true
	case setup.StaleLeast:
		return staleLeast{reportInterval}, true
	case setup.Oracle:
		return oracle{}, true
	case setup.Daemon:
	}
	return nil, false
}

type pickMessage interface{ pickMessage() }

type pickRequest struct {
	service string
	from    ident.DataCentre
	reply   *mail.Box[*deploy.Member]
}

type callDone struct{ member *deploy.Member }

func (pickRequest) pickMessage() {}
func (callDone) pickMessage()    {}

// A picker chooses targets for calls that bypass the daemons by its policy and counts the calls in flight.
type picker struct {
	*tree.Loop
	inbox    *mail.Box[pickMessage]
	policy   policy
	random   *rand.Rand
	members  map[string][]*deploy.Member
	next     map[string]int
	inFlight map[*deploy.Member]int
	reported map[*deploy.Member]int
}

const pickerInboxSize = 4096

func newPicker(pol policy, seed uint64, members []*deploy.Member) *picker {
	p := &picker{
		Loop: tree.NewLoop(), inbox: mail.NewBox[pickMessage](pickerInboxSize), policy: pol,
		random: rand.New(rand.NewPCG(seed, 2)), members: map[string][]*deploy.Member{}, next: map[string]int{},
		inFlight: map[*deploy.Member]int{}, reported: map[*deploy.Member]int{},
	}
	for _, m := range members {
		p.members[m.Service.Name] = append(p.members[m.Service.Name], m)
	}
	go func() {
		p.Run(p.loop)
	}()
	return p
}

func (p *picker) loop() error {
	var reports <-chan time.Time
	if stale, ok := p.policy.(staleLeast); ok {
		ticker := time.NewTicker(stale.interval)
		defer ticker.Stop()
		reports = ticker.C
	}
	for {
		select {
		case m := <-p.inbox.C():
			switch m := m.(type) {
			case pickRequest:
				chosen := p.choose(m.service, m.from)
				p.inFlight[chosen]++
				m.reply.TryPut(chosen)
			case callDone:
				p.inFlight[m.member]--
			}
		case <-reports:
			for m, n := range p.inFlight {
				p.reported[m] = n
			}
		case <-p.Stopping():
			return nil
		}
	}
}

func (p *picker) choose(service string, from ident.DataCentre) *deploy.Member {
	members := p.members[service]
	switch p.policy.(type) {
	case roundRobin:
		p.next[service]++
		return members[p.next[service]%len(members)]
	case staleLeast:
		return p.leastLoaded(members, p.reported, from)
	case oracle:
		return p.leastLoaded(members, p.inFlight, from)
	}
	return members[p.random.IntN(len(members))]
}

// leastLoaded returns the member with the fewest calls. Ties go to the data centre of the caller, then to a random
// member.
func (p *picker) leastLoaded(members []*deploy.Member, calls map[*deploy.Member]int, from ident.DataCentre) *deploy.Member {
	best, bestScore := members[0], -1.0
	for _, m := range members {
		score := float64(calls[m]) + p.random.Float64()/4
		if m.DataCentre != from {
			score += 0.5
		}
		if bestScore < 0 || score < bestScore {
			best, bestScore = m, score
		}
	}
	return best
}
