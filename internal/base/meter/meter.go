// Package meter counts what a daemon does. docs/reference/metrics.md lists the metrics.
package meter

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
)

// A Direction tells whether bytes were sent or received.
type Direction string

// The directions.
const (
	Sent     Direction = "Sent"
	Received Direction = "Received"
)

// A Meter holds the instruments of one daemon. Its methods are safe for concurrent use.
type Meter struct {
	handler  http.Handler
	calls    metric.Int64Counter
	latency  metric.Float64Histogram
	refusals metric.Int64Counter
	retries  metric.Int64Counter
	hedges   metric.Int64Counter
	probes   metric.Int64Counter
	control  metric.Int64Counter
	events   metric.Int64Counter
	labels   labels
}

// latencyBounds are the bounds of the latency histogram in seconds.
var latencyBounds = []float64{.0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5}

// New returns a Meter with its own registry, so that several daemons of one process do not mix.
func New() (*Meter, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, errors.Annotate(err, "create metrics exporter")
	}
	b := builder{meter: sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("jacinthcross")}
	m := &Meter{
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		calls:    b.counter("jacinthcross.calls", "calls that entered at this daemon, by service and outcome"),
		refusals: b.counter("jacinthcross.refusals", "refusals, by error kind"),
		retries:  b.counter("jacinthcross.retries", "retries, by reason"),
		hedges:   b.counter("jacinthcross.hedges", "hedged attempts, by whether the hedge won"),
		probes:   b.counter("jacinthcross.probes", "probes of load"),
		control:  b.counter("jacinthcross.control.bytes", "bytes of control messages, by direction"),
		events:   b.counter("jacinthcross.events", "log events of the process, by name"),
	}
	m.latency, err = b.meter.Float64Histogram("jacinthcross.call.duration",
		metric.WithDescription("duration of calls that entered at this daemon, by service"),
		metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(latencyBounds...))
	if b.err != nil || err != nil {
		return nil, errors.Annotate(errors.Errorf("%v %v", b.err, err), "create metrics")
	}
	return m, nil
}

type builder struct {
	meter metric.Meter
	err   error
}

func (b *builder) counter(name, description string) metric.Int64Counter {
	c, err := b.meter.Int64Counter(name, metric.WithDescription(description))
	if err != nil {
		b.err = err
	}
	return c
}

// Handler serves the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler { return m.handler }

// Called counts a call and its duration.
func (m *Meter) Called(service ident.Service, outcome errs.Outcome, d time.Duration) {
	l := m.labels.of(labelKey{service, outcome})
	m.calls.Add(context.Background(), 1, l.call...)
	m.latency.Record(context.Background(), d.Seconds(), l.duration...)
}

// Refused counts a refusal.
func (m *Meter) Refused(kind errs.Kind) { add(m.refusals, "kind", string(kind), 1) }

// Retried counts a retry.
func (m *Meter) Retried(reason string) { add(m.retries, "reason", reason, 1) }

// Hedged counts a hedged attempt.
func (m *Meter) Hedged(won bool) {
	m.hedges.Add(context.Background(), 1, metric.WithAttributes(attribute.Bool("won", won)))
}

// Probed counts a probe of load.
func (m *Meter) Probed() { m.probes.Add(context.Background(), 1) }

// Control counts bytes of control messages.
func (m *Meter) Control(d Direction, bytes int) { add(m.control, "direction", string(d), int64(bytes)) }

// Event counts a log event.
func (m *Meter) Event(name string) { add(m.events, "name", name, 1) }

func add(c metric.Int64Counter, key, value string, n int64) {
	c.Add(context.Background(), n, metric.WithAttributes(attribute.String(key, value)))
}
