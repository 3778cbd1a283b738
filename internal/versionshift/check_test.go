package versionshift

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"
)

func TestCheck(t *testing.T) {
	sound := Start(Order{Service: "s", To: "v2", Rev: 5}, 1, State{})
	if err := sound.Check("s", 6); err != nil {
		t.Error(err)
	}
	for name, change := range map[string]func(*State){
		"another service": func(s *State) { s.Service = "t" }, "no service": func(s *State) { s.Service = "" },
		"no order": func(s *State) { s.Order = 0 }, "an order of its own transaction": func(s *State) { s.Order = 6 },
		"an order to come": func(s *State) { s.Order = math.MaxUint64 }, "no phase": func(s *State) { s.Phase = "" },
		"a phase of no name": func(s *State) { s.Phase = "TRIAL" },
	} {
		odd := sound
		change(&odd)
		if err := odd.Check("s", 6); err == nil {
			t.Errorf("%s: %+v", name, odd)
		}
	}
}

// FuzzState checks that no row makes a gateway end: a state that is taken can be stepped.
func FuzzState(f *testing.F) {
	for _, text := range []string{
		"null", "{}", `{"service":"s","to":"v2","phase":"pressed","order":1,"within":-9223372036854775808,"started":9223372036854775807}`,
		`{"service":"s","to":"v2","phase":"moved","order":18446744073709551615}`, `{"service":"s","order":1e999}`, strings.Repeat("[", 20_000),
	} {
		f.Add([]byte(text), int64(5))
	}
	f.Fuzz(func(t *testing.T, value []byte, now int64) {
		var s State
		if json.Unmarshal(value, &s) != nil || s.Check("s", 1<<40) != nil {
			return
		}
		_ = Next(s, EvidenceByClass{}, time.Duration(now))
		if n := s.Upstreams(0.15, 3); n < 0 || n > 3 || s.LoadTestUpstreams(3) > 3 {
			t.Errorf("%d upstreams of 3", n)
		}
		_ = s.ExposureExhausted(Evidence{Sent: 1}, 0.15, time.Duration(now))
	})
}
