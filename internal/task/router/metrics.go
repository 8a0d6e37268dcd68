package router

import (
	"slices"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/policy/retry"
)

// countCall records a concluded call in the metrics.
func (t *Task) countCall(p *pendingCall, o call.Outcome) {
	if t.meter == nil {
		return
	}
	outcome := errs.Unknown
	switch o := o.(type) {
	case call.Answered:
		outcome = errs.Answered
	case call.Refused:
		outcome = errs.ResponseFor(o.Kind).Outcome
		t.meter.RecordRefusal(o.Kind)
	case call.Unknown:
	}
	// Callers must not be able to create metric labels, so unknown service names are dropped.
	service := p.Request.Service
	if _, ok := t.release.Services[service]; !ok {
		service = ""
	}
	t.meter.RecordCall(service, outcome, t.clock.Now().Sub(p.arrived))
}

func (t *Task) countRetry(reason retry.Reason) {
	if t.meter != nil {
		t.meter.RecordRetry(string(reason))
	}
}

func (t *Task) countHedge(won bool) {
	if t.meter != nil {
		t.meter.RecordHedge(won)
	}
}

func (t *Task) countProbe() {
	if t.meter != nil {
		t.meter.RecordProbe()
	}
}

func (t *Task) status() Status {
	s := Status{Calls: len(t.calls) + len(t.heldCalls), Services: len(t.tables), Holding: !t.holdUntil.IsZero()}
	now := t.clock.Now()
	for name, table := range t.tables {
		s.InUse = append(s.InUse, ServiceStatus{Service: name, Candidates: table.Status(now)})
	}
	slices.SortFunc(s.InUse, func(a, b ServiceStatus) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	return s
}
