package plot

import (
	"bytes"
	"strings"
	"testing"
)

func TestBars(t *testing.T) {
	var b bytes.Buffer
	if err := Bars(&b, "losses", []Bar{{"models", 0.06}, {"machines", 0.01}}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<svg", "losses", "models", "machines"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("%q is missing", want)
		}
	}
	if err := Bars(&b, "nothing", []Bar{{"zero", 0}}); err == nil {
		t.Error("a plot without a value was drawn")
	}
	if err := Bars(&b, "nothing", nil); err == nil {
		t.Error("a plot without bars was drawn")
	}
}

func TestLines(t *testing.T) {
	var b bytes.Buffer
	lines := []Line{{"one site", []float64{0.1, 0.9, 0.5}}, {"another", []float64{0.2, 0.3}}}
	if err := Lines(&b, "rounds", 0, 1, lines); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<svg", "rounds", "one site", "another"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("%q is missing", want)
		}
	}
	if err := Lines(&b, "rounds", 0, 1, []Line{{"short", []float64{1}}}); err == nil {
		t.Error("a line of one value was drawn")
	}
}
