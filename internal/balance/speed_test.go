package balance

import (
	"fmt"
	"testing"
	"time"
)

const baseTokenTime = 30 * time.Millisecond

// reportSpeeds reports baseTokenTime for all upstreams in three rounds up to now;
// in the last two the first slow upstreams report it multiplied by factor.
func reportSpeeds(p *Picker, slow int, factor time.Duration, now time.Time) {
	for round := range 3 {
		for i := range 20 {
			l := Load{TokenTime: baseTokenTime}
			if i < slow && round > 0 {
				l.TokenTime *= factor
			}
			p.Observe(fmt.Sprintf("u%04d", i), l, now.Add(time.Duration(round-2)*typicalSpeedInterval))
		}
	}
}

func TestASlowUpstreamIsEjectedAndComesBackWhenFast(t *testing.T) {
	p := newPicker(t, 20)
	req := Request{Target: target}
	reportSpeeds(p, 1, slowFactor+1, start)
	if n := pickMany(t, p, req, start, 500)["u0000"]; n != 0 {
		t.Fatalf("a slow upstream was picked %d times", n)
	}
	finishAttempts(t, p, "u0000", Answered, start, 5)
	if n := pickMany(t, p, req, start, 500)["u0000"]; n != 0 {
		t.Fatalf("picked %d times after answers that were slow as well", n)
	}
	reportSpeeds(p, 0, 1, start)
	if n := pickMany(t, p, req, start.Add(DefaultSlowStart), 500)["u0000"]; n == 0 {
		t.Fatal("the upstream did not come back")
	}
}

func TestAProbeWithoutSpeedBringsASlowUpstreamBack(t *testing.T) {
	p := newPicker(t, 20)
	reportSpeeds(p, 1, slowFactor+1, start)
	later := start.Add(2 * DefaultEjectFor)
	p.Observe("u0000", Load{}, later)
	for i := range uint64(500) {
		c, err := p.Pick(&Request{Target: target}, later, i)
		if err != nil {
			t.Fatal(err)
		}
		if !c.Probe {
			continue
		}
		p.Started(c)
		p.Finished(c, Observation{Outcome: Answered}, later)
		if s := p.States(later)[0]; !s.EjectedUntil.IsZero() || s.Slow {
			t.Fatalf("after a probe: %+v", s)
		}
		return
	}
	t.Fatal("no probe in 500 choices")
}

func TestSlownessIsRelativeToThePool(t *testing.T) {
	tests := []struct {
		name   string
		slow   int
		factor time.Duration
		want   int
	}{
		{"one as slow as a full batch", 1, 2, 0},
		{"some slow", 5, slowFactor + 1, 5},
		{"most slow, so the version is", 15, slowFactor + 1, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPicker(t, 20)
			reportSpeeds(p, tt.slow, tt.factor, start)
			out := 0
			for _, s := range p.States(start) {
				if s.Slow && !s.EjectedUntil.IsZero() {
					out++
				}
			}
			if out != tt.want {
				t.Fatalf("%d ejected, want %d", out, tt.want)
			}
		})
	}
}

// TestAMixOfVersionsIsNotSlow guards against ejecting upstreams that serve a
// large version besides the small one: four of 20 do and report longer times.
func TestAMixOfVersionsIsNotSlow(t *testing.T) {
	p := New(Settings{Entry: "e1", Domain: "d0"})
	small, large := fleetOf(t, 20, "m@1"), fleetOf(t, 20, "m@1", "m@2")
	for _, name := range []string{"u0000", "u0001", "u0002", "u0003"} {
		small.Upstreams[name] = large.Upstreams[name]
	}
	p.Rebuild(small, start)
	reportSpeeds(p, 4, slowFactor+1, start)
	if s := p.States(start)[0]; s.Slow {
		t.Fatal("slow compared with the pool of the small version, though as fast as the pool of the large one")
	}
}

func TestTokenMeterIgnoresConcurrentPromptProcessing(t *testing.T) {
	var m TokenMeter
	now := start
	run := func(gap, span time.Duration) {
		for end := now.Add(span); now.Before(end); {
			now = now.Add(gap)
			m.Add(1, gap, now)
		}
	}
	if got := m.Best(now); got != 0 {
		t.Fatalf("%v without a token", got)
	}
	run(baseTokenTime, 3*time.Second)
	run(5*baseTokenTime, 2*time.Second)
	if got := m.Best(now); got != baseTokenTime {
		t.Fatalf("%v while a prompt is processed, want %v", got, baseTokenTime)
	}
	run(5*baseTokenTime, 6*time.Second)
	if got := m.Best(now); got != 5*baseTokenTime {
		t.Fatalf("%v after six slow seconds, want %v", got, 5*baseTokenTime)
	}
	if got := m.Best(now.Add(time.Minute)); got != 0 {
		t.Fatalf("%v after an idle minute", got)
	}
}
