// Package plot draws figures as SVG.
package plot

import (
	"io"

	"github.com/juju/errors"
	"github.com/wcharczuk/go-chart/v2"
)

// Size of one plot, in pixels.
const (
	width    = 640
	height   = 320
	barWidth = 48
	// barGap is the room beside a bar, which its label needs.
	barGap = 40
)

// Bar is one labelled value, zero or more.
type Bar struct {
	Label string
	Value float64
}

// Bars writes a bar chart from zero to the greatest value. It is an error when
// no value is above zero.
func Bars(w io.Writer, title string, bars []Bar) error {
	greatest := 0.0
	values := make([]chart.Value, len(bars))
	for i, b := range bars {
		values[i] = chart.Value{Label: b.Label, Value: b.Value}
		greatest = max(greatest, b.Value)
	}
	if greatest == 0 {
		return errors.Errorf("plot %q: no value is above zero", title)
	}
	c := chart.BarChart{
		Title: title, Width: max(width, len(bars)*(barWidth+barGap)), Height: height, BarWidth: barWidth, Bars: values,
		YAxis: chart.YAxis{Range: &chart.ContinuousRange{Min: 0, Max: greatest}},
	}
	return errors.Annotatef(c.Render(chart.SVG, w), "plot %q", title)
}

// Line is a named row of values.
type Line struct {
	Name   string
	Values []float64
}

// dotWidth is the size of the mark of each value, in pixels.
const dotWidth = 3

// Lines writes a line chart with a legend: the values of each line in order,
// evenly spaced, from least to most. A line of fewer than two values is an
// error.
func Lines(w io.Writer, title string, least, most float64, lines []Line) error {
	c := chart.Chart{
		Title: title, Width: width, Height: height,
		YAxis: chart.YAxis{Range: &chart.ContinuousRange{Min: least, Max: most}},
	}
	for i, l := range lines {
		if len(l.Values) < 2 {
			return errors.Errorf("plot %q: %s has %d values, want two or more", title, l.Name, len(l.Values))
		}
		x := make([]float64, len(l.Values))
		for n := range x {
			x[n] = float64(n + 1)
		}
		colour := chart.GetDefaultColor(i)
		c.Series = append(c.Series, chart.ContinuousSeries{
			Name: l.Name, XValues: x, YValues: l.Values,
			Style: chart.Style{StrokeColor: colour, DotColor: colour, DotWidth: dotWidth},
		})
	}
	c.Elements = []chart.Renderable{chart.Legend(&c)}
	return errors.Annotatef(c.Render(chart.SVG, w), "plot %q", title)
}
