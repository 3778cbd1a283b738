package policybench

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"time"

	"github.com/juju/errors"

	"tarragonbay.example/tarragonbay/internal/plot"
)

// metric is a figure that is plotted.
type metric struct {
	name  string
	value func(Row) float64
}

var metrics = []metric{
	{"p95 latency, seconds", func(r Row) float64 { return float64(r.P95) / float64(time.Second) }},
	{"cost per answer, micros", func(r Row) float64 { return r.CostPerAnswer }},
	{"goodput, answers per second", func(r Row) float64 { return r.Goodput }},
	{"exposed requests", func(r Row) float64 { return float64(r.Exposed) }},
}

// group is the rows of one load, with their plots as SVG.
type group struct {
	Title string
	Rows  []Row
	Plots []template.HTML
}

// WriteReport writes the rows as one HTML page, with a table and SVG plots for
// each load.
func WriteReport(w io.Writer, rows []Row) error {
	var groups []group
	for _, r := range rows {
		title := r.Bench + ": " + r.Load
		if len(groups) == 0 || groups[len(groups)-1].Title != title {
			groups = append(groups, group{Title: title})
		}
		g := &groups[len(groups)-1]
		g.Rows = append(g.Rows, r)
	}
	for i := range groups {
		if err := groups[i].plot(); err != nil {
			return errors.Trace(err)
		}
	}
	return errors.Trace(page.Execute(w, groups))
}

// plot draws each metric that differs from zero for some policy.
func (g *group) plot() error {
	for _, m := range metrics {
		bars := make([]plot.Bar, len(g.Rows))
		greatest := 0.0
		for i, r := range g.Rows {
			bars[i] = plot.Bar{Label: r.Policy, Value: m.value(r)}
			greatest = max(greatest, bars[i].Value)
		}
		if greatest == 0 || len(bars) < 2 {
			continue
		}
		var svg bytes.Buffer
		if err := plot.Bars(&svg, m.name, bars); err != nil {
			return errors.Trace(err)
		}
		g.Plots = append(g.Plots, template.HTML(svg.String()))
	}
	return nil
}

var page = template.Must(template.New("report").Funcs(template.FuncMap{
	"ms": func(d time.Duration) string { return fmt.Sprintf("%.1f", millis(d)) },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Policy bench</title>
<style>body{font-family:sans-serif}table{border-collapse:collapse}td,th{padding:2px 8px;text-align:right}</style>
</head><body><h1>Policy bench</h1>
{{range .}}<h2>{{.Title}}</h2>
<table><tr><th>policy</th><th>requests</th><th>answered</th><th>cost/answer</th><th>at quality</th><th>p50 ms</th><th>p95 ms</th><th>p99 ms</th><th>misses</th><th>exposed</th><th>goodput</th></tr>
{{range .Rows}}<tr><td>{{.Policy}}</td><td>{{.Requests}}</td><td>{{.Answered}}</td><td>{{printf "%.1f" .CostPerAnswer}}</td><td>{{printf "%.4f" .AtQuality}}</td><td>{{ms .P50}}</td><td>{{ms .P95}}</td><td>{{ms .P99}}</td><td>{{.DeadlineMisses}}</td><td>{{.Exposed}}</td><td>{{printf "%.1f" .Goodput}}</td></tr>
{{end}}</table>
{{range .Plots}}{{.}}
{{end}}{{end}}</body></html>
`))
