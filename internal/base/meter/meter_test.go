package meter_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/meter"
)

// recordings calls each recording method of a Meter once.
var recordings = []struct {
	method string
	record func(*meter.Meter)
}{
	{"RecordCall", func(m *meter.Meter) { m.RecordCall("summaries", errs.Answered, time.Millisecond) }},
	{"RecordControlBytes", func(m *meter.Meter) { m.RecordControlBytes(meter.Sent, 1) }},
	{"RecordEvent", func(m *meter.Meter) { m.RecordEvent("DaemonStarted") }},
	{"RecordHedge", func(m *meter.Meter) { m.RecordHedge(true) }},
	{"RecordLimit", func(m *meter.Meter) { m.RecordLimit("MaxConnections", 1) }},
	{"RecordProbe", func(m *meter.Meter) { m.RecordProbe() }},
	{"RecordRefusal", func(m *meter.Meter) { m.RecordRefusal(errs.Busy) }},
	{"RecordRetry", func(m *meter.Meter) { m.RecordRetry("LinkLost") }},
	{"RecordWaitingBody", func(m *meter.Meter) { m.RecordWaitingBody(netip.MustParseAddrPort("127.0.0.1:7000"), 1) }},
}

// TestPageListsAllMetrics guards against a metrics reference whose names, types or labels differ from /metrics.
func TestPageListsAllMetrics(t *testing.T) {
	m, err := meter.New()
	qt.Assert(t, err, qt.IsNil)
	var recorded, methods []string
	for _, r := range recordings {
		r.record(m)
		recorded = append(recorded, r.method)
	}
	// A new method records a new metric, so it must be added to recordings.
	for mt := range reflect.TypeFor[*meter.Meter]().Methods() {
		if mt.Name != "Handler" {
			methods = append(methods, mt.Name)
		}
	}
	qt.Assert(t, recorded, qt.DeepEquals, methods)
	response := httptest.NewRecorder()
	m.Handler().ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	qt.Assert(t, documentedMetrics(t), qt.DeepEquals, exposedMetrics(response.Body.String()))
}

// documentedMetrics returns the metrics of the reference page, as "name type labels".
func documentedMetrics(t *testing.T) []string {
	t.Helper()
	page, err := os.ReadFile("../../../docs/reference/metrics.md")
	qt.Assert(t, err, qt.IsNil)
	var out []string
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| ([a-z]+) \\| [a-z]+ \\| ([^|]*)\\|").FindAllStringSubmatch(string(page), -1) {
		labels := strings.TrimSpace(strings.ReplaceAll(strings.ReplaceAll(row[3], "`", ""), ",", ""))
		out = append(out, fmt.Sprintf("%s %s [%s]", row[1], row[2], labels))
	}
	slices.Sort(out)
	return out
}

var (
	typeLine = regexp.MustCompile(`(?m)^# TYPE (\S+) (\S+)$`)
	label    = regexp.MustCompile(`([a-z_]+)="`)
)

// exposedMetrics returns the metrics in a text in the Prometheus format, as "name type labels".
func exposedMetrics(text string) []string {
	var out []string
	for _, found := range typeLine.FindAllStringSubmatch(text, -1) {
		var labels []string
		for line := range strings.Lines(text) {
			if !strings.HasPrefix(line, found[1]+"{") && !strings.HasPrefix(line, found[1]+"_bucket{") {
				continue
			}
			for _, l := range label.FindAllStringSubmatch(line, -1) {
				if l[1] != "le" && !slices.Contains(labels, l[1]) {
					labels = append(labels, l[1])
				}
			}
		}
		slices.Sort(labels)
		out = append(out, fmt.Sprintf("%s %s [%s]", found[1], found[2], strings.Join(labels, " ")))
	}
	slices.Sort(out)
	return out
}
