package catalog

import (
	"bytes"
	"maps"
	"slices"

	"github.com/juju/errors"
)

// Delta is what leads from one set to another: the objects put, and the keys
// of the objects deleted.
type Delta struct {
	Puts    []Object
	Deletes []Key
}

// Empty reports whether the delta changes nothing.
func (d Delta) Empty() bool { return len(d.Puts) == 0 && len(d.Deletes) == 0 }

// Keys returns the keys of every object put or deleted, sorted.
func (d Delta) Keys() []Key {
	keys := slices.Clone(d.Deletes)
	for _, o := range d.Puts {
		keys = append(keys, o.Key)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

// Diff returns the delta that leads from one set to the other, in order of
// key.
func Diff(from, to *Set) Delta {
	var d Delta
	for _, o := range to.sorted {
		old, ok := from.objects[o.Key]
		if !ok || !bytes.Equal(old.Spec, o.Spec) {
			d.Puts = append(d.Puts, o)
		}
	}
	for _, o := range from.sorted {
		if _, ok := to.objects[o.Key]; !ok {
			d.Deletes = append(d.Deletes, o.Key)
		}
	}
	return d
}

// Apply returns the set after the delta. The receiver stays as it is, and
// objects that do not change are shared. It fails on an object that is not
// valid JSON of its kind and on a deletion of an object that is not there;
// references are not checked, see Check.
func (s *Set) Apply(d Delta) (*Set, error) {
	next := s.copyFor(d)
	for _, k := range d.Deletes {
		if _, ok := next.objects[k]; !ok {
			return nil, errors.NotFoundf("%s", k)
		}
		next.remove(k)
	}
	for _, o := range d.Puts {
		next.dropKeys(o.Key)
		if err := next.add(o); err != nil {
			return nil, errors.Annotatef(err, "%s", o.Key)
		}
	}
	next.sortChanged(d)
	return next, nil
}

// maxSpliced is the number of changes up to which it is cheaper to splice the
// sorted objects than to sort them again.
const maxSpliced = 64

// sortChanged brings the sorted objects of a set that is being built up to
// date. Those of the set before stay as they are.
func (s *Set) sortChanged(d Delta) {
	if len(d.Puts)+len(d.Deletes) > maxSpliced {
		s.sortAll()
		return
	}
	s.sorted = slices.Clone(s.sorted)
	for _, k := range d.Deletes {
		s.unsort(k)
	}
	for _, o := range d.Puts {
		s.unsort(o.Key)
		if latest, ok := s.objects[o.Key]; ok {
			at, _ := slices.BinarySearchFunc(s.sorted, latest, compareObjects)
			s.sorted = slices.Insert(s.sorted, at, latest)
		}
	}
}

// unsort takes one object out of the sorted ones, if it is there.
func (s *Set) unsort(k Key) {
	at, found := slices.BinarySearchFunc(s.sorted, Object{Key: k}, compareObjects)
	if found {
		s.sorted = slices.Delete(s.sorted, at, at+1)
	}
}

// copyFor copies the maps that the delta changes and shares the others.
func (s *Set) copyFor(d Delta) *Set {
	next := *s
	next.objects = maps.Clone(s.objects)
	for _, k := range d.Keys() {
		next.copyKind(s, k.Kind)
	}
	return &next
}

// copyKind copies the maps of a kind, unless they were copied already.
func (s *Set) copyKind(from *Set, kind Kind) {
	switch kind {
	case KindOrganisation:
		s.Organisations = maps.Clone(from.Organisations)
		s.byHash = maps.Clone(from.byHash)
	case KindModel:
		s.Models = maps.Clone(from.Models)
	case KindVersion:
		s.Versions = maps.Clone(from.Versions)
	case KindCascade:
		s.Cascades = maps.Clone(from.Cascades)
	case KindRule:
		s.Rules = maps.Clone(from.Rules)
	case KindService:
		s.Services = maps.Clone(from.Services)
	case KindUpstream:
		s.Upstreams = maps.Clone(from.Upstreams)
	case KindRollout:
		s.Rollouts = maps.Clone(from.Rollouts)
	}
}

// remove takes one object out of a set that is being built.
func (s *Set) remove(k Key) {
	s.dropKeys(k)
	delete(s.objects, k)
	switch k.Kind {
	case KindOrganisation:
		delete(s.Organisations, k.Name)
	case KindModel:
		delete(s.Models, k.Name)
	case KindVersion:
		delete(s.Versions, VersionName(k.Name))
	case KindCascade:
		delete(s.Cascades, k.Name)
	case KindRule:
		delete(s.Rules, k.Name)
	case KindService:
		delete(s.Services, k.Name)
	case KindUpstream:
		delete(s.Upstreams, k.Name)
	case KindRollout:
		delete(s.Rollouts, k.Name)
	}
}

// dropKeys takes the caller keys of an organisation out of the index.
func (s *Set) dropKeys(k Key) {
	org, ok := s.Organisations[k.Name]
	if k.Kind != KindOrganisation || !ok {
		return
	}
	for _, h := range org.Keys {
		if s.byHash[h] == k.Name {
			delete(s.byHash, h)
		}
	}
}
