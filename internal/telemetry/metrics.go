package telemetry

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// namePrefix starts the name of each metric.
const namePrefix = "tarragonbay_"

// Unit suffixes of metric names.
const (
	suffixTotal   = "_total"
	suffixSeconds = "_seconds"
)

// Reservoir of a timer: its size and the weight of recent values.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// Metrics is the registry of one daemon. Its methods may be called at any
// time from any goroutine; the same name gives the same metric.
type Metrics struct {
	reg metrics.Registry
}

// NewMetrics returns an empty registry.
func NewMetrics() *Metrics {
	return &Metrics{reg: metrics.NewRegistry()}
}

// Counter returns the counter tarragonbay_PART_NAME_total.
func (m *Metrics) Counter(part, name string) metrics.Counter {
	full := namePrefix + part + "_" + name + suffixTotal
	return m.reg.GetOrRegister(full, metrics.NewCounter).(metrics.Counter)
}

// Gauge returns the gauge tarragonbay_PART_NAME. The name ends with the unit
// where there is one, such as queue_bytes.
func (m *Metrics) Gauge(part, name string) metrics.Gauge {
	full := namePrefix + part + "_" + name
	return m.reg.GetOrRegister(full, metrics.NewGauge).(metrics.Gauge)
}

// GaugeFunc registers a gauge that is computed when it is read.
func (m *Metrics) GaugeFunc(part, name string, read func() int64) {
	full := namePrefix + part + "_" + name
	m.reg.GetOrRegister(full, func() metrics.Gauge { return metrics.NewFunctionalGauge(read) })
}

// Timer returns the timer tarragonbay_PART_NAME_seconds.
func (m *Metrics) Timer(part, name string) *Timer {
	full := namePrefix + part + "_" + name + suffixSeconds
	return m.reg.GetOrRegister(full, newTimer).(*Timer)
}

// Timer records durations: their count and sum exactly, their quantiles from
// a sample that favours recent ones. It is a histogram of nanoseconds.
type Timer struct {
	metrics.Histogram
	sum metrics.Counter
}

func newTimer() *Timer {
	return &Timer{
		Histogram: metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha)),
		sum:       metrics.NewCounter(),
	}
}

// Observe records one duration.
func (t *Timer) Observe(d time.Duration) {
	t.Update(int64(d))
	t.sum.Inc(int64(d))
}

var quantiles = []float64{0.5, 0.95, 0.99}

// WriteText writes every metric in the Prometheus text format, sorted by name.
func (m *Metrics) WriteText(w io.Writer) error {
	var lines []string
	m.reg.Each(func(name string, metric any) {
		lines = append(lines, describe(name, metric))
	})
	slices.Sort(lines)
	out := bufio.NewWriter(w)
	for _, l := range lines {
		out.WriteString(l) //nolint:errcheck // Flush returns the first error
	}
	return out.Flush()
}

func describe(name string, metric any) string {
	var b strings.Builder
	switch v := metric.(type) {
	case metrics.Counter:
		fmt.Fprintf(&b, "# TYPE %s counter\n%s %d\n", name, name, v.Count())
	case metrics.Gauge:
		fmt.Fprintf(&b, "# TYPE %s gauge\n%s %d\n", name, name, v.Value())
	case *Timer:
		fmt.Fprintf(&b, "# TYPE %s summary\n", name)
		for i, q := range v.Snapshot().Percentiles(quantiles) {
			fmt.Fprintf(&b, "%s{quantile=\"%g\"} %g\n", name, quantiles[i], seconds(q))
		}
		fmt.Fprintf(&b, "%s_sum %g\n", name, seconds(float64(v.sum.Count())))
		fmt.Fprintf(&b, "%s_count %d\n", name, v.Count())
	}
	return b.String()
}

func seconds(nanos float64) float64 { return nanos / float64(time.Second) }
