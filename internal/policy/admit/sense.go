package admit

import "time"

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
	// slowFrom is the slowness from which a target counts as slow.
	slowFrom = 1.5
	// usualSpell is how long a spell is expected to last before one was seen.
	usualSpell = 100 * time.Millisecond
	// spellSmoothing weighs a new spell in the usual length of spells.
	spellSmoothing = 0.2
)

// A sensor holds how slow the target's VM is at the moment, as the target tells it. Whoever shares the VM makes
// it slow in spells, and a call that starts in one takes several times as long.
type sensor struct {
	// works is true once the target has told its slowness.
	works    bool
	slowness float64
	at       time.Time
	asked    time.Time
	tokens   float64
	refilled time.Time
	// since is when the current spell began, and zero when there is none.
	since time.Time
	spell time.Duration
}

func newSensor() sensor { return sensor{slowness: 1, tokens: measureBurst, spell: usualSpell} }

// Sense takes the slowness that the target tells: 1 as usual, 0 when it tells none.
func (g *Gate) Sense(slowness float64, now time.Time) {
	s := &g.sensor
	s.asked = time.Time{}
	if slowness <= 0 {
		s.works = false
		return
	}
	s.works, s.slowness, s.at = true, slowness, now
	switch slow := slowness >= slowFrom; {
	case slow && s.since.IsZero():
		s.since = now
	case !slow && !s.since.IsZero():
		s.spell += time.Duration(spellSmoothing * float64(now.Sub(s.since)-s.spell))
		s.since = time.Time{}
	}
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

// starts reports when a call starts that has a slot. In a slow spell a call waits if it would end
// earlier by starting after the spell.
func (g *Gate) starts(w *waiting, now time.Time) startTime {
	s := &g.sensor
	switch {
	case !s.works || w.cost == 0:
		return startNow
	case !s.known(now):
		if s.asked.IsZero() || now.Sub(s.asked) < measureTimeout {
			return startMeasured
		}
		return startNow
	case s.slowness < slowFrom:
		return startNow
	case time.Duration(float64(w.cost)*(s.slowness-1)) < s.remaining(now):
		return startNow
	}
	return startLater
}
