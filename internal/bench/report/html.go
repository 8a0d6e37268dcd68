package report

import (
	"html/template"
	"io"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Sizes of a plot and its margins, in pixels.
const (
	plotWidth, plotHeight                            = 640.0, 300.0
	marginLeft, marginRight, marginTop, marginBottom = 60.0, 110.0, 14.0, 40.0
)

// colours are distinguishable with red-green colour blindness.
var colours = []string{"#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9"}

// A plot shows the latency curves of one load, one per balancer.
type plot struct {
	Title  string
	Curves []curve
	YTicks []tick
	XTicks []tick
}

type curve struct {
	Name   string
	Colour string
	Points []xy
	// LabelY is the vertical position of the name in the legend.
	LabelY float64
}

type xy struct{ X, Y float64 }

type tick struct {
	At    float64
	Label string
}

// percentileX returns the horizontal position of a percentile on a logarithmic scale, on which 0, 90, 99 and 99.9
// are equally spaced.
func percentileX(percent float64) float64 {
	const right = 99.9
	nines := -math.Log10(1 - min(percent, right)/100)
	return marginLeft + nines/3*(plotWidth-marginLeft-marginRight)
}

func newPlot(title string, loads []namedLoad) plot {
	p := plot{Title: title, XTicks: []tick{
		{percentileX(0), "0"}, {percentileX(50), "50"}, {percentileX(90), "90"}, {percentileX(99), "99"}, {percentileX(99.9), "99.9"},
	}}
	low, high := math.Inf(1), 0.0
	for _, l := range loads {
		for _, v := range l.load.Curve {
			if v.Millis > 0 {
				low, high = min(low, v.Millis), max(high, v.Millis)
			}
		}
	}
	if high == 0 {
		return p
	}
	bottom, top := math.Floor(math.Log10(low)), math.Ceil(math.Log10(high))
	if top == bottom {
		top++
	}
	y := func(millis float64) float64 {
		share := (math.Log10(max(millis, low)) - bottom) / (top - bottom)
		return plotHeight - marginBottom - share*(plotHeight-marginBottom-marginTop)
	}
	for e := bottom; e <= top; e++ {
		p.YTicks = append(p.YTicks, tick{y(math.Pow(10, e)), formatNumber(math.Pow(10, e))})
	}
	for i, l := range loads {
		c := curve{Name: l.name, Colour: colours[i%len(colours)], LabelY: marginTop + 16*float64(i+1)}
		for _, v := range l.load.Curve {
			if v.Percent <= 99.9 {
				c.Points = append(c.Points, xy{percentileX(v.Percent), y(v.Millis)})
			}
		}
		p.Curves = append(p.Curves, c)
	}
	return p
}

// A namedLoad is a load with the name of its balancer.
type namedLoad struct {
	name string
	load Load
}

func plots(r *Result) []plot {
	byLoad := map[string][]namedLoad{}
	for _, run := range r.Runs {
		for _, l := range run.Loads {
			byLoad[l.Name] = append(byLoad[l.Name], namedLoad{string(run.Balancer), l})
		}
	}
	var list []plot
	for _, name := range slices.Sorted(maps.Keys(byLoad)) {
		list = append(list, newPlot(name, byLoad[name]))
	}
	return list
}

func reasonsText(r Run) string {
	var b strings.Builder
	PrintReasons(&b, r)
	return b.String()
}

// HTML writes a self-contained page with the plots and tables of results. It loads nothing over the network.
func HTML(out io.Writer, results []*Result) error {
	return errors.Annotate(pageTemplate.Execute(out, results), "write page")
}

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"plots": plots, "total": Total, "reasons": reasonsText,
	"width": func() float64 { return plotWidth }, "height": func() float64 { return plotHeight },
	"left": func() float64 { return marginLeft }, "right": func() float64 { return plotWidth - marginRight },
	"bottom": func() float64 { return plotHeight - marginBottom },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>jcbench results</title>
<style>
body{font:15px/1.5 sans-serif;margin:2em auto;max-width:70em;padding:0 1em}
table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ddd}
td:first-child,th:first-child,td:nth-child(2),th:nth-child(2){text-align:left}
svg text{font:12px sans-serif;fill:#222}figure{margin:1em 0}
</style></head><body>
<h1>jcbench results</h1>
{{range .}}<h2>{{.Scenario}}, {{.Deployment}}</h2>
<p>Seed {{.Seed}}, started {{.Started.Format "2006-01-02 15:04:05"}}.</p>
{{range plots .}}<figure><figcaption>Latency of {{.Title}} in ms by percentile</figcaption>
<svg viewBox="0 0 {{width}} {{height}}" width="{{width}}" height="{{height}}" role="img" aria-label="latency of {{.Title}}">
{{range .YTicks}}<line x1="{{left}}" x2="{{right}}" y1="{{.At}}" y2="{{.At}}" stroke="#ddd"/><text x="{{left}}" y="{{.At}}" dx="-6" dy="4" text-anchor="end">{{.Label}}</text>
{{end}}{{range .XTicks}}<text x="{{.At}}" y="{{bottom}}" dy="18" text-anchor="middle">{{.Label}}</text>
{{end}}{{range .Curves}}<polyline fill="none" stroke="{{.Colour}}" stroke-width="2" points="{{range .Points}}{{printf "%.1f,%.1f " .X .Y}}{{end}}"/><text x="{{right}}" y="{{.LabelY}}" dx="10" style="fill:{{.Colour}}">{{.Name}}</text>
{{end}}</svg></figure>
{{end}}<table><tr><th>Balancer</th><th>Load</th><th>Calls</th><th>Answered</th><th>Failed</th><th>Refused</th><th>Unknown</th><th>Good/s</th><th>p50 ms</th><th>p99 ms</th><th>p99.9 ms</th></tr>
{{range $run := .Runs}}{{range .Loads}}<tr><td>{{$run.Balancer}}</td><td>{{.Name}}</td><td>{{.Calls}}</td><td>{{.Answered}}</td><td>{{.Failed}}</td><td>{{total .Refused}}</td><td>{{total .Unknown}}</td><td>{{printf "%.1f" .Goodput}}</td><td>{{printf "%.1f" .P50}}</td><td>{{printf "%.1f" .P99}}</td><td>{{printf "%.1f" .P999}}</td></tr>
{{end}}{{end}}</table>
{{/* Runs are runs of calls by targets, and platform calls are calls to the configuration service. */ -}}
<table><tr><th>Balancer</th><th>Deployment</th><th>Sent</th><th>Late</th><th>Runs</th><th>Amplification</th><th>Probes/call</th><th>Control B/call</th><th>Platform calls</th><th>Second runs</th><th>False refusals</th><th>Foreign answers</th></tr>
{{$d := .Deployment}}{{range .Runs}}<tr><td>{{.Balancer}}</td><td>{{$d}}</td><td>{{.Sent}}</td><td>{{.Late}}</td><td>{{.TargetRuns}}</td><td>{{printf "%.3f" .Amplification}}</td><td>{{printf "%.4f" .ProbesPerCall}}</td><td>{{printf "%.1f" .ControlBytesPerCall}}</td><td>{{.PlatformCalls}}</td><td>{{.SecondRuns}}</td><td>{{.FalseRefusals}}</td><td>{{.Foreign}}</td></tr>
{{end}}</table>
{{range .Runs}}<pre>{{reasons .}}</pre>
{{end}}{{end}}</body></html>
`))
