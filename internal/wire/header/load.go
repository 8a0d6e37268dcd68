package header

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"jacinthcross/internal/base/call"
)

// TargetLoad parses the load of a target from its response, and reports whether the response has a valid load. The
// field is a comma-separated list: the number of running calls, of waiting calls and of slots and, optionally, how long
// work currently takes on the target's VM, in percent of the usual time.
func (d *Dialect) TargetLoad(h http.Header) (call.TargetLoad, bool) {
	if d.Load == "" {
		return call.TargetLoad{}, false
	}
	var numbers [4]int
	parts := strings.Split(h.Get(d.Load), ",")
	if len(parts) < 3 || len(parts) > len(numbers) {
		return call.TargetLoad{}, false
	}
	for i, p := range parts {
		n, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil || n < 0 {
			return call.TargetLoad{}, false
		}
		numbers[i] = n
	}
	return call.TargetLoad{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2], Slowness: float64(numbers[3]) / 100}, true
}

// maxUntilWarm is the longest time for which a target may say that it stays cold. It takes seconds.
const maxUntilWarm = time.Hour

// UntilWarmOf parses how long a target stays cold from the response to a health check, and reports whether the response
// tells. Targets send the field only while they are cold, so a response without it is that of a warm target.
func (d *Dialect) UntilWarmOf(h http.Header) (time.Duration, bool) {
	if d.UntilWarm == "" {
		return 0, false
	}
	if len(h.Values(d.UntilWarm)) == 0 {
		return 0, true
	}
	milliseconds, err := strconv.ParseFloat(strings.TrimSpace(h.Get(d.UntilWarm)), 64)
	if err != nil || !(milliseconds >= 0 && milliseconds <= float64(maxUntilWarm.Milliseconds())) {
		return 0, false
	}
	return time.Duration(milliseconds * float64(time.Millisecond)), true
}
