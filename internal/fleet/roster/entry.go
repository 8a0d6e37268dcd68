package roster

import (
	"slices"
	"time"

	"jacinthcross/internal/fleet/note"
)

// maxWriteDelay is the longest time between the moment at which a target sends a report and the moment at which this
// daemon reads it. The platform applies a delayed write up to 6 s late, and a change reaches each daemon within 2 s.
const maxWriteDelay = 8 * time.Second

// maxEndedProcesses limits the ended processes that are recorded for each target.
const maxEndedProcesses = 8

// An entry is what is known of the target with a name.
type entry struct {
	// The embedded report is the one in use. It is empty while registered is false.
	TargetRegistered
	registered bool
	// revision is that of the newest change of the entry in the store, which may be one that is not used.
	revision Revision
	// unusable is set while the newest report does not describe a usable target.
	unusable bool
	// dropAt is the time at which a lapsed entry is dropped, or zero if the entry has not lapsed.
	dropAt time.Time
	// ended holds the processes that were replaced by another one or whose entry was removed.
	ended []process
	// pending is a report of another process than the one in use that may have been written late, or nil.
	pending *pendingReport
}

// A process is a process of a target that has ended.
type process struct {
	startedAt time.Time
	draining  bool
	endedAt   time.Time
}

// A pendingReport is a report whose process has either ended already, so that the store applied it late, or has started
// after the one in use although its clock says otherwise. Start times cannot decide this, since clocks step. The process
// that runs keeps reporting: either it reports again, or its report stays the newest one.
type pendingReport struct {
	TargetRegistered
	// settleAt is when no report of an ended process can arrive any more.
	settleAt time.Time
	// ended is true if the process is known to have ended.
	ended bool
	// contradictions counts the later reports of the process in use.
	contradictions int
}

// maxContradictions is the number of later reports of the process in use that show that it still runs. A single one may
// itself have been applied late.
const maxContradictions = 2

// newEntry returns the entry for the first report after the given processes have ended, or nil if the report is that of
// a process that will not accept calls again.
func newEntry(c TargetRegistered, ended []process, now time.Time) *entry {
	e := &entry{revision: c.Revision, ended: ended}
	if len(ended) == 0 {
		e.use(c)
		return e
	}
	last := ended[len(ended)-1]
	if p, ok := e.endedProcess(c.Target.StartedAt); ok {
		if p.draining {
			return nil
		}
		last = p
	} else if c.Target.StartedAt.After(last.startedAt) {
		e.use(c)
		return e
	}
	settleAt := last.endedAt.Add(maxWriteDelay)
	if !now.Before(settleAt) {
		e.use(c)
		return e
	}
	e.pending = &pendingReport{TargetRegistered: c, settleAt: settleAt}
	return e
}

// use puts a report into use.
func (e *entry) use(c TargetRegistered) {
	e.TargetRegistered, e.registered = c, true
	e.unusable, e.dropAt, e.pending = false, time.Time{}, nil
}

// replace puts the report of another process into use.
func (e *entry) replace(c TargetRegistered, now time.Time) {
	if p, ok := e.endedProcess(c.Target.StartedAt); ok {
		c.Target.Draining = c.Target.Draining || p.draining
	}
	if e.registered {
		e.recordEnd(e.TargetRegistered, now)
	}
	e.use(c)
}

// report applies a report that is newer than the entry and reports whether the target in the release changes.
func (e *entry) report(c TargetRegistered, now time.Time) bool {
	before, usable := e.target(), e.inUse() && e.dropAt.IsZero()
	e.revision = c.Revision
	switch {
	case e.registered && c.Target.StartedAt.Equal(e.Target.StartedAt):
		e.merge(c, now)
	case e.succeeds(c, now):
		e.replace(c, now)
	default:
		e.hold(c, now)
	}
	return e.target() != before || e.inUse() != usable
}

// merge applies a report of the process in use.
func (e *entry) merge(c TargetRegistered, now time.Time) {
	pending := e.pending
	if c.Sequence < e.Sequence {
		// A delayed report may be written to the store after a later report of the same process.
		c.Target, c.Sequence = e.Target, e.Sequence
	}
	// A process that is draining never accepts calls again.
	c.Target.Draining = c.Target.Draining || e.Target.Draining
	e.use(c)
	if pending == nil {
		return
	}
	if pending.contradictions++; pending.contradictions < maxContradictions {
		e.pending = pending
	} else if !pending.ended {
		e.recordEnd(pending.TargetRegistered, now)
	}
}

// succeeds reports whether a report is that of a process that has started after the one in use.
func (e *entry) succeeds(c TargetRegistered, now time.Time) bool {
	if p := e.pending; p != nil && !p.ended && c.Target.StartedAt.Equal(p.Target.StartedAt) {
		return c.Sequence > p.Sequence
	}
	if p, ok := e.endedProcess(c.Target.StartedAt); ok && now.Before(p.endedAt.Add(maxWriteDelay)) {
		return false
	}
	latest := e.Target.StartedAt
	if !e.registered {
		latest = e.pending.Target.StartedAt
	}
	return c.Target.StartedAt.After(latest)
}

// hold keeps a report pending.
func (e *entry) hold(c TargetRegistered, now time.Time) {
	p := &pendingReport{TargetRegistered: c, settleAt: now.Add(maxWriteDelay)}
	if old := e.pending; old != nil && old.Target.StartedAt.Equal(c.Target.StartedAt) {
		p.settleAt, p.ended = old.settleAt, old.ended
	} else if e.registered {
		_, p.ended = e.endedProcess(c.Target.StartedAt)
	}
	e.pending = p
}

// settle decides on the pending report once no report of an ended process can arrive any more, and reports whether the
// target in the release changes.
func (e *entry) settle(now time.Time) bool {
	p := e.pending
	if p == nil || now.Before(p.settleAt) {
		return false
	}
	before, usable := e.target(), e.inUse()
	e.pending = nil
	if p.contradictions == 0 {
		e.replace(p.TargetRegistered, now)
	}
	return e.target() != before || e.inUse() != usable
}

// inUse reports whether the release has the target.
func (e *entry) inUse() bool { return e.registered && !e.unusable }

// target returns the target as the release has it. It is draining if either of the processes that may run is.
func (e *entry) target() note.Target {
	t := e.Target
	if p := e.pending; p != nil && !p.ended && p.Target.Draining {
		t.Draining = true
	}
	return t
}

func (e *entry) endedProcess(startedAt time.Time) (process, bool) {
	i := slices.IndexFunc(e.ended, func(p process) bool { return p.startedAt.Equal(startedAt) })
	if i < 0 {
		return process{}, false
	}
	return e.ended[i], true
}

// recordEnd records that the process of a report has ended.
func (e *entry) recordEnd(c TargetRegistered, now time.Time) {
	p := process{startedAt: c.Target.StartedAt, draining: c.Target.Draining, endedAt: now}
	if old, ok := e.endedProcess(p.startedAt); ok {
		p.draining = p.draining || old.draining
	}
	e.ended = slices.DeleteFunc(slices.Clone(e.ended), func(o process) bool { return o.startedAt.Equal(p.startedAt) })
	e.ended = append(e.ended, p)
	if len(e.ended) > maxEndedProcesses {
		e.ended = e.ended[1:]
	}
}

// newerThan reports whether the target of e has taken over the address of the target of other.
func (e *entry) newerThan(other *entry) bool {
	if !e.Target.StartedAt.Equal(other.Target.StartedAt) {
		return e.Target.StartedAt.After(other.Target.StartedAt)
	}
	return e.revision > other.revision
}
