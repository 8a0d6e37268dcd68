package header

import (
	"net/http"
	"strconv"
	"strings"

	"jacinthcross/internal/base/call"
)

// TargetLoad reads what a response tells of the load of its target, and whether it tells any: the calls that
// run, those that wait, the slots and, in percent, how long work takes on the target's VM at the moment.
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
