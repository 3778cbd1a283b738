package daemon

import (
	"sync/atomic"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
)

// counted numbers charges and keeps none.
type counted struct{ n atomic.Uint64 }

// Charge implements agent.Charger.
func (c *counted) Charge(charge *linkv1.Charge) { charge.Number = c.n.Add(1) }

// Durable implements agent.Charger.
func (c *counted) Durable() uint64 { return 0 }

// HandIn implements agent.Charger.
func (c *counted) HandIn(charges []*linkv1.Charge) int { return len(charges) }

func (d *Daemon) charger() *counted { return &counted{} }
func (d *Daemon) copies() uncopied  { return uncopied{} }

// uncopied keeps no copies.
type uncopied struct{}

// Keep implements entry.Copies.
func (uncopied) Keep(string, *linkv1.Charge) {}

// Durable implements entry.Copies.
func (uncopied) Durable(string, uint64, uint64) {}

// Alive implements entry.Copies.
func (uncopied) Alive(string, uint64) {}

// Gone implements entry.Copies.
func (uncopied) Gone(string) {}
