// Package meter records the metrics of a daemon, which docs/reference/metrics.md lists.
package meter

import (
	"context"
	"net/http"
	"net/netip"
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

// A Direction is the direction of control traffic.
type Direction string

// Sent and Received are as seen from this daemon.
const (
	Sent     Direction = "Sent"
	Received Direction = "Received"
)

// A Meter holds the instruments of one daemon. Its methods are safe for concurrent use.
type Meter struct {
	handler      http.Handler
	calls        metric.Int64Counter
	durations    metric.Float64Histogram
	refusals     metric.Int64Counter
	retries      metric.Int64Counter
	hedges       metric.Int64Counter
	probes       metric.Int64Counter
	controlBytes metric.Int64Counter
	events       metric.Int64Counter
	bodyBytes    metric.Int64UpDownCounter
	limits       metric.Int64Counter
	attributes   attributeCache
}

// durationBounds are the bucket boundaries of the histogram of call durations, in seconds.
var durationBounds = []float64{.0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5}

// New returns a Meter with its own registry, so that the metrics of several daemons in one process stay separate.
func New() (*Meter, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, errors.Annotate(err, "create metrics exporter")
	}
	b := instrumentBuilder{meter: sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("jacinthcross")}
	m := &Meter{
		handler:      promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		calls:        b.counter("jacinthcross.calls", "calls that entered at this daemon, by service and outcome"),
		refusals:     b.counter("jacinthcross.refusals", "refusals, by error kind"),
		retries:      b.counter("jacinthcross.retries", "retries, by reason"),
		hedges:       b.counter("jacinthcross.hedges", "hedged attempts, by whether the hedge won"),
		probes:       b.counter("jacinthcross.probes", "probes of load"),
		controlBytes: b.counter("jacinthcross.control.bytes", "bytes of control messages, by direction"),
		limits:       b.counter("jacinthcross.limits", "connections closed and requests refused because clients reached a limit, by limit"),
		events:       b.counter("jacinthcross.events", "log events of the process, by name"),
	}
	m.durations, err = b.meter.Float64Histogram("jacinthcross.call.duration",
		metric.WithDescription("duration of calls that entered at this daemon, by service"),
		metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(durationBounds...))
	var bodyErr error
	m.bodyBytes, bodyErr = b.meter.Int64UpDownCounter("jacinthcross.body.bytes.waiting",
		metric.WithDescription("bytes of large bodies that wait to be sent to a peer, by peer"))
	if bodyErr != nil {
		b.err = bodyErr
	}
	if b.err != nil || err != nil {
		return nil, errors.Annotate(errors.Errorf("counters: %v, call duration histogram: %v", b.err, err), "create metrics")
	}
	return m, nil
}

// An instrumentBuilder creates instruments and keeps the last error, so that New checks for errors once.
type instrumentBuilder struct {
	meter metric.Meter
	err   error
}

func (b *instrumentBuilder) counter(name, description string) metric.Int64Counter {
	c, err := b.meter.Int64Counter(name, metric.WithDescription(description))
	if err != nil {
		b.err = err
	}
	return c
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler { return m.handler }

// RecordCall counts a call and records its duration.
func (m *Meter) RecordCall(service ident.Service, outcome errs.Outcome, d time.Duration) {
	a := m.attributes.get(attributeKey{service, outcome})
	m.calls.Add(context.Background(), 1, a.call...)
	m.durations.Record(context.Background(), d.Seconds(), a.duration...)
}

// RecordRefusal counts a refusal.
func (m *Meter) RecordRefusal(kind errs.Kind) { addWithAttribute(m.refusals, "kind", string(kind), 1) }

// RecordRetry counts a retry.
func (m *Meter) RecordRetry(reason string) { addWithAttribute(m.retries, "reason", reason, 1) }

// RecordHedge counts a hedge. won reports whether the answer to the caller came from the hedge.
func (m *Meter) RecordHedge(won bool) {
	m.hedges.Add(context.Background(), 1, metric.WithAttributes(attribute.Bool("won", won)))
}

// RecordProbe counts a load probe.
func (m *Meter) RecordProbe() { m.probes.Add(context.Background(), 1) }

// RecordControlBytes counts bytes of control messages.
func (m *Meter) RecordControlBytes(d Direction, bytes int) {
	addWithAttribute(m.controlBytes, "direction", string(d), int64(bytes))
}

// RecordWaitingBody adds to the bytes of large bodies that wait to be sent to a peer, or subtracts from them.
func (m *Meter) RecordWaitingBody(peer netip.AddrPort, bytes int) {
	m.bodyBytes.Add(context.Background(), int64(bytes), metric.WithAttributes(attribute.String("peer", peer.String())))
}

// RecordLimit counts connections that were closed, or requests or connections that were refused, because of a limit.
func (m *Meter) RecordLimit(name string, n int) { addWithAttribute(m.limits, "limit", name, int64(n)) }

// RecordEvent counts a log event.
func (m *Meter) RecordEvent(name string) { addWithAttribute(m.events, "name", name, 1) }

func addWithAttribute(c metric.Int64Counter, key, value string, n int64) {
	c.Add(context.Background(), n, metric.WithAttributes(attribute.String(key, value)))
}
