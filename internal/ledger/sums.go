package ledger

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/ports"
)

// Sum is the usage and cost of one organisation for one version or service.
type Sum struct {
	Organisation string `json:"organisation"`
	// Version has the form "model@version" and is empty for a service.
	Version string `json:"version,omitempty"`
	Service string `json:"service,omitempty"`
	// Charges counts the billed steps of requests.
	Charges      uint64 `json:"charges"`
	InputTokens  uint64 `json:"inputTokens"`
	OutputTokens uint64 `json:"outputTokens"`
	// Micros is the cost in millionths of the accounting unit.
	Micros uint64 `json:"micros"`
}

// Model returns the model of the version, or "" for a service.
func (s Sum) Model() string {
	model, _, _ := strings.Cut(s.Version, "@")
	return model
}

func (e entry) sum() Sum {
	s := Sum{
		Organisation: e.organisation, Charges: e.count,
		InputTokens: e.input, OutputTokens: e.output, Micros: e.micros,
	}
	if name, ok := strings.CutPrefix(e.target, servicePrefix); ok {
		s.Service = name
	} else {
		s.Version = e.target
	}
	return s
}

// Billed is one charge that has been folded.
type Billed struct {
	// RequestID is the generated part of the request ID; see GeneratedID.
	RequestID string `json:"requestId"`
	Step      uint32 `json:"step"`
	Sum
}

// Sums returns the sums of requests whose IDs were generated in [from, to),
// with both times truncated to the minute.
func (f *Folder) Sums(ctx context.Context, from, to time.Time) ([]Sum, error) {
	var all []entry
	err := f.eachBucket(ctx, from, to, func(_ ports.Row, b *linkv1.ChargeBucket) error {
		entries, err := blockEntries(bucketSums(b))
		if err != nil {
			return err
		}
		all = sumByAccount(append(all, entries...))
		return nil
	})
	if err != nil {
		return nil, err
	}
	out := make([]Sum, 0, len(all))
	for _, e := range all {
		out = append(out, e.sum())
	}
	return out, nil
}

// EachCharge calls do with each billed charge in [from, to) that is still retained.
// It omits charges that were billed only as sums.
func (f *Folder) EachCharge(ctx context.Context, from, to time.Time, do func(Billed) error) error {
	return f.eachBucket(ctx, from, to, func(_ ports.Row, b *linkv1.ChargeBucket) error {
		for _, name := range b.GetSegments() {
			entries, err := f.readSegment(ctx, name)
			if err != nil {
				return err
			}
			for _, e := range entries {
				billed := Billed{RequestID: e.key.requestID(), Step: e.key.step, Sum: e.sum()}
				if err := do(billed); err != nil {
					return err
				}
			}
		}
		return nil
	})
}

func (f *Folder) eachBucket(ctx context.Context, from, to time.Time, do func(ports.Row, *linkv1.ChargeBucket) error) error {
	key := bucketPrefix + minuteOf(from).String()
	end := bucketPrefix + minuteOf(to).String()
	for {
		rows, err := f.opts.Table.Scan(ctx, key, end, foldPage)
		if err != nil {
			return err
		}
		for _, row := range rows {
			b := new(linkv1.ChargeBucket)
			if err := proto.Unmarshal(row.Value, b); err != nil {
				return errors.Annotatef(err, "row %s", row.Key)
			}
			if err := do(row, b); err != nil {
				return err
			}
		}
		if len(rows) < foldPage {
			return nil
		}
		key = rows[len(rows)-1].Key + "\x00"
	}
}

// Expire deletes the segments of minutes that are older than Retention by at
// most span, keeps their sums, and returns how many segments it deleted.
func (f *Folder) Expire(ctx context.Context, span time.Duration) (int, error) {
	deleted := 0
	to := f.opts.Now().Add(-Retention)
	err := f.eachBucket(ctx, to.Add(-span), to, func(row ports.Row, b *linkv1.ChargeBucket) error {
		if len(b.GetSegments()) == 0 {
			return nil
		}
		segments := b.GetSegments()
		b.Segments = nil
		err := ports.CommitResolved(ctx, f.opts.Table, ports.Txn{
			OperationID: f.opts.NewID(),
			Conditions:  []ports.Condition{{Key: row.Key, Version: row.Version}},
			Writes:      []ports.Write{{Key: row.Key, Value: encode(b)}},
		})
		if err != nil {
			return err
		}
		for _, name := range segments {
			if err := f.opts.Objects.Delete(ctx, name); err != nil {
				return err
			}
			deleted++
		}
		return nil
	})
	return deleted, err
}

// Difference is a sum on which the ledger and another source disagree.
type Difference struct {
	Ledger  Sum `json:"ledger"`
	Counted Sum `json:"counted"`
}

// String returns the difference on one line.
func (d Difference) String() string {
	s := d.Ledger
	if s.Organisation == "" {
		s = d.Counted
	}
	return fmt.Sprintf("%s %s%s: ledger %d charges, %d+%d tokens, %d micros; counted %d, %d+%d, %d",
		s.Organisation, s.Version, s.Service,
		d.Ledger.Charges, d.Ledger.InputTokens, d.Ledger.OutputTokens, d.Ledger.Micros,
		d.Counted.Charges, d.Counted.InputTokens, d.Counted.OutputTokens, d.Counted.Micros)
}

// Reconcile compares the ledger with the counts of another source. It first
// merges sums of the same organisation and target.
func Reconcile(ledger, counted []Sum) []Difference {
	type account struct{ organisation, version, service string }
	pairs := map[account]*Difference{}
	pair := func(s Sum) *Difference {
		a := account{s.Organisation, s.Version, s.Service}
		if pairs[a] == nil {
			pairs[a] = &Difference{}
		}
		return pairs[a]
	}
	for _, s := range ledger {
		p := pair(s)
		p.Ledger = p.Ledger.add(s)
	}
	for _, s := range counted {
		p := pair(s)
		p.Counted = p.Counted.add(s)
	}
	var out []Difference
	for _, p := range pairs {
		if p.Ledger != p.Counted {
			out = append(out, *p)
		}
	}
	slices.SortFunc(out, func(a, b Difference) int { return cmp.Compare(a.String(), b.String()) })
	return out
}

func (s Sum) add(o Sum) Sum {
	o.Charges += s.Charges
	o.InputTokens += s.InputTokens
	o.OutputTokens += s.OutputTokens
	o.Micros += s.Micros
	return o
}
