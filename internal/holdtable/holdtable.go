// Package holdtable keeps a copy of the store table in which gateways save holds, and decides
// what to write to it. It has no I/O.
package holdtable

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"tarragonbay.example/tarragonbay/internal/quarantine"
	"tarragonbay.example/tarragonbay/internal/store"
)

// Table is the store table with one row for each hold, so that holds outlast the
// gateways and reach those that hear no peers. Deleting a row lifts its hold.
const Table = "holds"

// Row is the value of a row.
type Row struct {
	Features []string `json:"features"`
	// SinceMS and UntilMS are on the store's clock.
	SinceMS int64 `json:"since_ms"`
	UntilMS int64 `json:"until_ms"`
	Crashes int   `json:"crashes"`
	// PlacedMS is on the store's clock too; rows of earlier builds have neither.
	PlacedMS int64 `json:"placed_ms,omitempty"`
	Answers  int   `json:"answers,omitempty"`
}

// savedRow is a row as the store holds it.
type savedRow struct {
	rev      uint64
	features []quarantine.Feature
	// unreadable is true for a row that no gateway of this build wrote, contested for one
	// whose hold is not in force here since its features had answers. Whoever placed that
	// one decides.
	unreadable, contested bool
}

// Rows are the rows of the hold table as far as they are known. The zero value knows none; it is
// not safe for concurrent use.
type Rows struct {
	listed bool
	saved  map[quarantine.Feature]savedRow
	// storeNow is the store's clock at the local time at.
	storeNow time.Duration
	at       time.Time
}

// FeatureName returns a feature as it is logged and stored.
func FeatureName(f quarantine.Feature) string { return strconv.FormatUint(uint64(f), 16) }

// parseFeature is the inverse of FeatureName. It takes no other spelling of a number, since
// that is the name of another row.
func parseFeature(name string) (quarantine.Feature, error) {
	n, err := strconv.ParseUint(name, 16, 64)
	if f := quarantine.Feature(n); err == nil && FeatureName(f) == name {
		return f, nil
	}
	return 0, errors.NotValidf("feature %q", name)
}

// FeatureNames returns several features as they are logged.
func FeatureNames(all []quarantine.Feature) string {
	names := make([]string, 0, len(all))
	for _, f := range all {
		names = append(names, FeatureName(f))
	}
	return strings.Join(names, ",")
}

// decode returns the hold in a row, with its times on the local clock.
func (t *Rows) decode(name quarantine.Feature, value []byte) (quarantine.Hold, error) {
	var row Row
	if err := json.Unmarshal(value, &row); err != nil {
		return quarantine.Hold{}, errors.Annotate(err, "decode a hold")
	}
	local := func(ms int64) time.Time { return t.at.Add(time.Duration(ms)*time.Millisecond - t.storeNow) }
	h := quarantine.Hold{Name: name, Crashes: row.Crashes, Answers: max(0, row.Answers), Since: local(row.SinceMS), Until: local(row.UntilMS)}
	h.Placed = h.Since
	if row.PlacedMS != 0 {
		h.Placed = local(row.PlacedMS)
	}
	if latest := t.at.Add(quarantine.HoldTime); h.Until.After(latest) {
		h.Until = latest // the store's clock has started anew
	}
	for _, n := range row.Features {
		f, err := parseFeature(n)
		if err != nil {
			return h, err
		}
		h.Features = append(h.Features, f)
	}
	return h, nil
}

// encode returns the row of a hold.
func (t *Rows) encode(h quarantine.Hold) (store.Row, error) {
	ms := func(at time.Time) int64 { return (t.storeNow + at.Sub(t.at)).Milliseconds() }
	row := Row{SinceMS: ms(h.Since), UntilMS: ms(h.Until), Crashes: h.Crashes, PlacedMS: ms(h.Placed), Answers: h.Answers}
	for _, f := range h.Features {
		row.Features = append(row.Features, FeatureName(f))
	}
	value, err := json.Marshal(row)
	return store.Row{Key: key(h.Name), Value: value}, errors.Annotate(err, "encode a hold")
}

func key(name quarantine.Feature) store.Key {
	return store.Key{Table: Table, Name: FeatureName(name)}
}

// Next returns the transaction that makes one row agree with the holds in force; ok is
// false when all do.
func (t *Rows) Next(holds []quarantine.Hold) (txn store.Txn, name quarantine.Feature, ok bool, err error) {
	if !t.listed {
		return txn, 0, false, nil
	}
	inForce := map[quarantine.Feature]bool{}
	for _, h := range holds {
		inForce[h.Name] = true
		if s, saved := t.saved[h.Name]; !saved || s.unreadable || !slices.Equal(s.features, h.Features) {
			row, err := t.encode(h)
			return store.Txn{Expect: []store.Expect{{Key: row.Key, Rev: s.rev}}, Set: []store.Row{row}}, h.Name, true, err
		}
	}
	for name, s := range t.saved {
		if !inForce[name] && !s.unreadable && !s.contested {
			return store.Txn{Expect: []store.Expect{{Key: key(name), Rev: s.rev}}, Delete: []store.Key{key(name)}}, name, true, nil
		}
	}
	return txn, 0, false, nil
}

// Update records that the table was read, all of it if full is true, when the store's clock showed
// storeNow. The rows follow.
func (t *Rows) Update(full bool, storeNow time.Duration, now time.Time) {
	t.listed, t.storeNow, t.at = true, storeNow, now
	if full {
		t.saved = map[quarantine.Feature]savedRow{}
	}
}

// Read records a row and returns its hold, which has only a name if the row was removed.
func (t *Rows) Read(r store.Row) (quarantine.Hold, error) {
	name, err := parseFeature(r.Name)
	if err != nil {
		return quarantine.Hold{}, err
	}
	if r.Removed {
		delete(t.saved, name)
		return quarantine.Hold{Name: name}, nil
	}
	h, err := t.decode(name, r.Value)
	t.saved[name] = savedRow{rev: r.Rev, features: h.Features, unreadable: err != nil}
	return h, err
}

// Contested records that the hold of a row is not in force here because of answers.
func (t *Rows) Contested(name quarantine.Feature) {
	if s, ok := t.saved[name]; ok {
		s.contested = true
		t.saved[name] = s
	}
}

// Written records a row that this gateway has written, or removed.
func (t *Rows) Written(txn store.Txn, name quarantine.Feature, rev uint64) {
	if len(txn.Delete) > 0 {
		delete(t.saved, name)
		return
	}
	if h, err := t.decode(name, txn.Set[0].Value); err == nil {
		t.saved[name] = savedRow{rev: rev, features: h.Features}
	}
}
