// Package publish brings configurations into force. A Publisher checks a
// whole set and writes it as the next revision with a compare-and-swap on the
// head; a Follower on each daemon takes revisions from the store and from its
// peers, and never goes back to a lower one.
package publish

import (
	"github.com/juju/errors"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/result"
)

// State is one accepted configuration. It is immutable.
type State struct {
	// Revision rises by one with each publication; the first is 1.
	Revision uint64
	// Digest of the set, hex.
	Digest string
	// History names the line of revisions. An operator who replaces a lost
	// store starts a new one.
	History string
	// Set is the whole configuration.
	Set *catalog.Set
}

// empty is the state before the first revision of a history.
func empty(history string) (State, error) {
	set, err := catalog.NewSet(nil)
	if err != nil {
		return State{}, errors.Trace(err)
	}
	return State{History: history, Digest: set.Digest(), Set: set}, nil
}

// next returns the state after consecutive deltas of the same history. The
// digest of the last one is checked, which proves all of them.
func (s State) next(deltas []*linkv1.Delta) (State, error) {
	if len(deltas) == 0 {
		return s, nil
	}
	out := s
	for _, d := range deltas {
		if d.GetRevision() != out.Revision+1 {
			return s, result.New(result.DeltaBroken, "revision %d does not follow %d", d.GetRevision(), out.Revision)
		}
		set, err := out.Set.Apply(fromWire(d))
		if err != nil {
			return s, result.Wrap(err, result.DeltaBroken, "revision %d cannot be applied", d.GetRevision())
		}
		out.Set = set
		out.Revision = d.GetRevision()
	}
	out.Digest = out.Set.Digest()
	if want := deltas[len(deltas)-1].GetDigest(); out.Digest != want {
		return s, result.New(result.DeltaBroken, "revision %d leads to digest %.12s, not %.12s", out.Revision, out.Digest, want)
	}
	return out, nil
}

// fromWire returns the delta of a revision.
func fromWire(d *linkv1.Delta) catalog.Delta {
	out := catalog.Delta{Puts: objectsFromWire(d.GetPuts())}
	for _, k := range d.GetDeletes() {
		out.Deletes = append(out.Deletes, catalog.Key{Kind: catalog.Kind(k.GetKind()), Name: k.GetName()})
	}
	return out
}

func objectsFromWire(objects []*linkv1.Object) []catalog.Object {
	out := make([]catalog.Object, 0, len(objects))
	for _, o := range objects {
		key := catalog.Key{Kind: catalog.Kind(o.GetKind()), Name: o.GetName()}
		out = append(out, catalog.Object{Key: key, Spec: o.GetSpec()})
	}
	return out
}

// toWire returns the delta that leads to a state.
func toWire(d catalog.Delta, to State) *linkv1.Delta {
	out := &linkv1.Delta{Revision: to.Revision, Digest: to.Digest, Puts: objectsToWire(d.Puts)}
	for _, k := range d.Deletes {
		out.Deletes = append(out.Deletes, &linkv1.ObjectKey{Kind: string(k.Kind), Name: k.Name})
	}
	return out
}

func objectsToWire(objects []catalog.Object) []*linkv1.Object {
	out := make([]*linkv1.Object, 0, len(objects))
	for _, o := range objects {
		out = append(out, &linkv1.Object{Kind: string(o.Key.Kind), Name: o.Key.Name, Spec: o.Spec})
	}
	return out
}

// snapshotOf returns the state as a message.
func snapshotOf(s State) *linkv1.Snapshot {
	return &linkv1.Snapshot{Revision: s.Revision, Digest: s.Digest, Objects: objectsToWire(s.Set.Objects())}
}

// fromSnapshot builds the state of a message and checks its digest.
func fromSnapshot(m *linkv1.Snapshot, history string) (State, error) {
	set, err := catalog.NewSet(objectsFromWire(m.GetObjects()))
	if err != nil {
		return State{}, result.Wrap(err, result.ObjectDamaged, "the snapshot of revision %d cannot be read", m.GetRevision())
	}
	s := State{Revision: m.GetRevision(), Digest: set.Digest(), History: history, Set: set}
	if s.Digest != m.GetDigest() {
		return State{}, result.New(result.ObjectDamaged, "the snapshot of revision %d does not match its digest", s.Revision)
	}
	return s, nil
}
