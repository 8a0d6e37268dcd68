package load

import (
	"net/http"
	"net/netip"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// ReadCounters returns each counter of a daemon, summed over its labels. The map is empty when the counters cannot be
// read.
func ReadCounters(client *http.Client, address netip.AddrPort) map[string]float64 {
	sums := map[string]float64{}
	r, err := client.Get("http://" + address.String() + "/metrics")
	if err != nil {
		return sums
	}
	defer r.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(r.Body)
	if err != nil {
		return sums
	}
	for name, f := range families {
		for _, m := range f.GetMetric() {
			sums[name] += m.GetCounter().GetValue()
		}
	}
	return sums
}
