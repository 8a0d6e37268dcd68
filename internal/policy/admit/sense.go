package admit

import (
	"slices"
	"time"
)

const (
	// freshFor is how long a measurement of the target's speed counts. Spells of a slow VM last about a tenth of
	// a second, so that one begins within this time in about one of 50 cases.
	freshFor = 5 * time.Millisecond
	// measureGap is the time between two measurements while calls are held because the target is slow.
	measureGap = 10 * time.Millisecond
	// measureTimeout is how long a measurement may take before the calls are dispatched without it.
	measureTimeout = 30 * time.Millisecond
	// measureRate and measureBurst bound the measurements per second. The platform allows 60 for each target.
	measureRate  = 45
	measureBurst = 30
	// slowFrom is how many times slower than its floor a target counts as slow.
	slowFrom = 1.5
	// floorWindow is how far back the floor looks, and floorSpan the least time between the first and the last
	// measurement that make a new one. Spells that follow one another last that long in one of 200 cases where a
	// third of the time is slow.
	floorWindow = 1200 * time.Millisecond
	floorSpan   = 800 * time.Millisecond
	// coldFloor is the highest floor of a target that has just started, before it is measured for floorSpan. Targets of
	// the users work at half their speed then.
	coldFloor = 3
	// elsewhereCost is what it takes to start a call beside another target: the way back and there, on slow VMs.
	elsewhereCost = 20 * time.Millisecond
	// elsewhereFactor is how many times faster another target has to be for a call to leave one that is slow for long.
	// A target at half its speed is still used, since the others may not have the slots for its calls.
	elsewhereFactor = 2.5
	// unknownCost is how long calls of a kind are taken to run of which none has ended yet.
	unknownCost = 100 * time.Millisecond
	// usualSpell is how long a spell is expected to last before one was seen.
	usualSpell = 100 * time.Millisecond
	// longSpell is the length from which spells are reported as long as they usually last. A call waits for the end of
	// a shorter one beside the target, so that it is reported as shortSpell. Reported at their usual length, spells of
	// 50 to 100 ms sent calls to farther and fuller targets, which cost 0.01 of the worth of a day.
	longSpell  = 200 * time.Millisecond
	shortSpell = 75 * time.Millisecond
	// spellSmoothing weighs a new spell in the usual length of spells.
	spellSmoothing = 0.2
)

// A reading is a measurement of the slowness.
type reading struct {
	at       time.Time
	slowness float64
}

// A sensor holds how slow the target's VM is at the moment, as the target tells it. Whoever shares the VM makes
// it slow in spells, and a call that starts in one takes several times as long.
type sensor struct {
	// works is true as long as the target tells its slowness, or has not been asked.
	works    bool
	slowness float64
	at       time.Time
	asked    time.Time
	tokens   float64
	refilled time.Time
	// floor is how slow the target is at its best at the moment: more than 1 for one that is slow for long, such as
	// after its start. readings are those of the last floorWindow.
	floor    float64
	readings []reading
	// slowSince is since when the floor is that of a slow target, and zero when it is not.
	slowSince time.Time
	coldUntil time.Time
	// since is when the current spell began, and zero when there is none.
	since time.Time
	spell time.Duration
}

func newSensor() sensor {
	return sensor{slowness: 1, floor: 1, tokens: measureBurst, spell: usualSpell}
}

// WithSensor makes the gate ask for the slowness of the target from the first call on.
func WithSensor() Option { return func(g *Gate) { g.sensor.works = true } }

// Sense takes the slowness that the target tells: 1 as usual, 0 when it tells none.
func (g *Gate) Sense(slowness float64, now time.Time) {
	s := &g.sensor
	s.asked = time.Time{}
	if slowness <= 0 {
		s.works = false
		return
	}
	s.works, s.slowness, s.at = true, slowness, now
	s.setFloor(now)
	switch slow := s.slow(); {
	case slow && s.since.IsZero():
		s.since = now
	case !slow && !s.since.IsZero():
		s.spell += time.Duration(spellSmoothing * float64(now.Sub(s.since)-s.spell))
		s.since = time.Time{}
	}
}

// SetCold says until when a target that has just started is slow.
func (g *Gate) SetCold(until time.Time) { g.sensor.coldUntil = until }

// slow reports whether the target is slower than at its best.
func (s *sensor) slow() bool { return s.slowness >= slowFrom*s.floor }

// setFloor takes the last measurement into the floor.
func (s *sensor) setFloor(now time.Time) {
	s.readings = append(s.readings, reading{now, s.slowness})
	old := 0
	for now.Sub(s.readings[old].at) > floorWindow {
		old++
	}
	s.readings = slices.Delete(s.readings, 0, old)
	lowest := s.slowness
	for _, r := range s.readings {
		lowest = min(lowest, r.slowness)
	}
	switch {
	case lowest < s.floor, now.Sub(s.readings[0].at) >= floorSpan:
		s.floor = lowest
	case now.Before(s.coldUntil):
		s.floor = min(lowest, coldFloor)
	}
	s.floor = max(1, s.floor)
	switch slow := s.floor >= slowFrom; {
	case slow && s.slowSince.IsZero():
		s.slowSince = now
	case !slow:
		s.slowSince = time.Time{}
	}
}

// SlowFor returns how long the target is expected to stay slow, from its last measurement on. One that is slow at
// its best may be so for as long as it has been, which is floorSpan at least.
func (g *Gate) SlowFor(now time.Time) time.Duration {
	s := &g.sensor
	switch {
	case !s.works || s.slowness < slowFrom:
		return 0
	case s.slow() && s.spell < longSpell:
		return shortSpell
	case s.slow():
		return s.spell
	case now.Before(s.coldUntil):
		return 0
	}
	return max(floorSpan, now.Sub(s.slowSince))
}

// fasterElsewhere reports whether this target is slow for long and another one may be so much faster that a call
// gains by the way there. A target that has just started does not count as slow: those that were started together
// need each other's slots.
func (s *sensor) fasterElsewhere(w *waiting, now time.Time) bool {
	elsewhere := max(1, w.Elsewhere)
	if !s.works || w.Elsewhere <= 0 || s.floor < elsewhereFactor*elsewhere || now.Before(s.coldUntil) {
		return false
	}
	cost := w.cost
	if cost == 0 {
		cost = time.Duration(s.floor * float64(unknownCost))
	}
	return time.Duration(float64(cost)*(1-elsewhere/s.floor)) > elsewhereCost
}

// Slowness returns the slowness that was told last, and when.
func (g *Gate) Slowness() (float64, time.Time) { return g.sensor.slowness, g.sensor.at }

func (s *sensor) known(now time.Time) bool { return !s.works || now.Sub(s.at) <= freshFor }

func (s *sensor) asking(now time.Time) bool {
	return !s.asked.IsZero() && now.Sub(s.asked) < measureTimeout
}

// ask reports whether a measurement is to be made now.
func (s *sensor) ask(now time.Time) bool {
	if s.asking(now) {
		return false
	}
	if !s.refilled.IsZero() {
		s.tokens = min(measureBurst, s.tokens+measureRate*now.Sub(s.refilled).Seconds())
	}
	s.refilled = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	s.asked = now
	return true
}

// next returns when the state of the sensor has to be looked at again while calls wait for it.
func (s *sensor) next(now time.Time) time.Time {
	if s.asking(now) {
		return s.asked.Add(measureTimeout)
	}
	return now.Add(measureGap)
}

// remaining returns how long the current spell is expected to last. One that has lasted much longer than
// usual is of another kind, such as a cold start, and may last as long again.
func (s *sensor) remaining(now time.Time) time.Duration {
	elapsed := now.Sub(s.since)
	if elapsed > 3*s.spell {
		return elapsed
	}
	return s.spell
}

// A startTime says when a call may start.
type startTime string

const (
	startNow startTime = "Now"
	// startMeasured is after a measurement of the target's speed.
	startMeasured startTime = "Measured"
	// startLater is when the target is fast again.
	startLater startTime = "Later"
)

// starts reports when a call starts that has a slot. In a slow spell a call waits if it would end earlier by
// starting after the spell, or beside another target.
func (g *Gate) starts(w *waiting, now time.Time) startTime {
	s := &g.sensor
	switch {
	case !s.works || w.Kind == "":
		return startNow
	case !s.known(now):
		if s.asked.IsZero() || now.Sub(s.asked) < measureTimeout {
			return startMeasured
		}
		return startNow
	case w.held() && s.fasterElsewhere(w, now):
		return startLater
	case !s.slow():
		return startNow
	}
	cost := w.cost
	if cost == 0 {
		cost = unknownCost
	}
	longer := time.Duration(float64(cost) * (s.slowness/s.floor - 1))
	if w.held() && longer > elsewhereCost || longer > s.remaining(now) {
		return startLater
	}
	return startNow
}
