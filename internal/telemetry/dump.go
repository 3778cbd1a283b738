package telemetry

import (
	"encoding/json"
	"io"
	"slices"
	"strings"
	"sync"
)

// Dumper is a part of a daemon that can show its state.
type Dumper interface {
	// Dump returns a value that encodes to JSON. It must not block for long,
	// must return a copy, and must hold no secret.
	Dump() any
}

// DumperFunc makes a function a Dumper.
type DumperFunc func() any

// Dump calls the function.
func (f DumperFunc) Dump() any { return f() }

// PartState is the state of one part in a dump.
type PartState struct {
	Part  string `json:"part"`
	State any    `json:"state"`
}

// Dumps holds the parts of a daemon by name. The zero value is empty.
type Dumps struct {
	mu    sync.Mutex // guards parts
	parts map[string]Dumper
}

// Register adds a part, or replaces the one with the same name.
func (d *Dumps) Register(part string, dumper Dumper) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.parts == nil {
		d.parts = map[string]Dumper{}
	}
	d.parts[part] = dumper
}

// All returns the state of every part, sorted by name. The parts are asked
// without the lock, so a part may register others.
func (d *Dumps) All() []PartState {
	d.mu.Lock()
	dumpers := make(map[string]Dumper, len(d.parts))
	for name, p := range d.parts {
		dumpers[name] = p
	}
	d.mu.Unlock()
	out := make([]PartState, 0, len(dumpers))
	for name, p := range dumpers {
		out = append(out, PartState{Part: name, State: p.Dump()})
	}
	slices.SortFunc(out, func(a, b PartState) int { return strings.Compare(a.Part, b.Part) })
	return out
}

// WriteJSON writes the dump as one indented JSON object {"parts": […]}.
func (d *Dumps) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(struct {
		Parts []PartState `json:"parts"`
	}{d.All()})
}
