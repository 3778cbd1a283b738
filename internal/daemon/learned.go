package daemon

import (
	"context"
	"time"

	"tarragonbay.example/tarragonbay/internal/learned"
)

// rate reads ratings, after what other entries learned is taken over.
func (r *entryRole) rate(ctx context.Context) error {
	d := r.daemon
	source := &learned.Source{
		Table: d.ports.Table,
		Self:  d.settings.Link.Address(),
		Peers: d.settings.Peers,
		Fetch: learned.NewFetchFunc(d.dial()),
		Now:   time.Now,
		Log:   d.log.Part("learned"),
	}
	return r.entry.Rate(ctx, d.ports.Ratings, source.Load)
}

// saveLearned keeps the platform's copy of what was learned while this entry
// holds the lease, until ctx ends.
func (r *entryRole) saveLearned(ctx context.Context) error {
	d := r.daemon
	saver := &learned.Saver{
		Table:   d.ports.Table,
		Address: d.settings.Link.Address(),
		Memory:  r.entry.Memory,
	}
	return r.leases.Run(ctx, learned.LeaseItem, saver.Run)
}
