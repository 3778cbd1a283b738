package catalog

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Object is one object in canonical form: its key and its JSON with sorted
// fields and no comments. It is what travels and what is stored.
type Object struct {
	Key  Key
	Spec json.RawMessage
}

// Set is a whole configuration. It is immutable once built; readers share it
// without locks.
type Set struct {
	Organisations map[string]*Organisation
	Models        map[string]*Model
	Versions      map[VersionName]*Version
	Cascades      map[string]*Cascade
	Rules         map[string]*Rule
	Services      map[string]*Service
	Upstreams     map[string]*Upstream
	Rollouts      map[string]*Rollout

	objects map[Key]Object
	// sorted holds the objects by kind and name.
	sorted []Object
	byHash map[string]string
}

// NewSet decodes the objects. It fails on an object that is not valid JSON of
// its kind; references are not checked, see Check.
func NewSet(objects []Object) (*Set, error) {
	s := &Set{
		Organisations: map[string]*Organisation{},
		Models:        map[string]*Model{},
		Versions:      map[VersionName]*Version{},
		Cascades:      map[string]*Cascade{},
		Rules:         map[string]*Rule{},
		Services:      map[string]*Service{},
		Upstreams:     map[string]*Upstream{},
		Rollouts:      map[string]*Rollout{},
		objects:       make(map[Key]Object, len(objects)),
		byHash:        map[string]string{},
	}
	for _, o := range objects {
		if err := s.add(o); err != nil {
			return nil, errors.Annotatef(err, "%s", o.Key)
		}
	}
	s.sortAll()
	return s, nil
}

// sortAll fills the sorted objects of a set that is being built.
func (s *Set) sortAll() {
	s.sorted = make([]Object, 0, len(s.objects))
	for _, o := range s.objects {
		s.sorted = append(s.sorted, o)
	}
	slices.SortFunc(s.sorted, compareObjects)
}

func (s *Set) add(o Object) error {
	target, err := s.slot(o.Key)
	if err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(o.Spec))
	dec.DisallowUnknownFields()
	if err := dec.Decode(target); err != nil {
		return err
	}
	s.objects[o.Key] = o
	if org, ok := target.(*Organisation); ok {
		for _, h := range org.Keys {
			s.byHash[h] = o.Key.Name
		}
	}
	return nil
}

// slot makes an empty object of the kind and returns the pointer to fill.
func (s *Set) slot(k Key) (any, error) {
	switch k.Kind {
	case KindOrganisation:
		return put(s.Organisations, k.Name, &Organisation{}), nil
	case KindModel:
		return put(s.Models, k.Name, &Model{}), nil
	case KindVersion:
		return put(s.Versions, VersionName(k.Name), &Version{}), nil
	case KindCascade:
		return put(s.Cascades, k.Name, &Cascade{}), nil
	case KindRule:
		return put(s.Rules, k.Name, &Rule{}), nil
	case KindService:
		return put(s.Services, k.Name, &Service{}), nil
	case KindUpstream:
		return put(s.Upstreams, k.Name, &Upstream{}), nil
	case KindRollout:
		return put(s.Rollouts, k.Name, &Rollout{}), nil
	}
	return nil, errors.NotValidf("kind %q", k.Kind)
}

func put[K comparable, V any](m map[K]*V, k K, v *V) *V {
	m[k] = v
	return v
}

// Canonical returns the object's JSON with sorted fields and no white space,
// so that equal objects have equal bytes.
func Canonical(spec []byte) (json.RawMessage, error) {
	var v any
	dec := json.NewDecoder(bytes.NewReader(spec))
	dec.UseNumber()
	if err := dec.Decode(&v); err != nil {
		return nil, err
	}
	return json.Marshal(v)
}

// Objects returns every object, sorted by kind and name.
func (s *Set) Objects() []Object { return slices.Clone(s.sorted) }

func compareObjects(a, b Object) int { return compareKeys(a.Key, b.Key) }

func compareKeys(a, b Key) int {
	if a.Kind != b.Kind {
		return slices.Index(Kinds, a.Kind) - slices.Index(Kinds, b.Kind)
	}
	return strings.Compare(a.Name, b.Name)
}

// Object returns one object in canonical form.
func (s *Set) Object(k Key) (Object, bool) {
	o, ok := s.objects[k]
	return o, ok
}

// Len returns the number of objects.
func (s *Set) Len() int { return len(s.objects) }

// Digest returns the hex SHA-256 over all objects in order.
func (s *Set) Digest() string {
	h := sha256.New()
	for _, o := range s.sorted {
		h.Write([]byte(o.Key.String()))
		h.Write([]byte{0})
		h.Write(o.Spec)
		h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil))
}

// HashKey returns the stored form of a caller key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// OrganisationByKey finds the organisation that holds the caller key.
func (s *Set) OrganisationByKey(key string) (name string, org *Organisation, ok bool) {
	name, ok = s.byHash[HashKey(key)]
	if !ok {
		return "", nil, false
	}
	return name, s.Organisations[name], true
}

// Allowed reports whether the organisation may use the version, whatever the
// version's state.
func (s *Set) Allowed(org string, v VersionName) bool {
	o, ok := s.Organisations[org]
	if !ok {
		return false
	}
	return slices.Contains(o.Allow, v.Model()) || slices.Contains(o.Allow, string(v))
}

// ServiceAllowed reports whether the organisation may call the service.
func (s *Set) ServiceAllowed(org, service string) bool {
	o, ok := s.Organisations[org]
	return ok && slices.Contains(o.Services, service)
}

// VersionsOf returns the names of the model's versions, sorted.
func (s *Set) VersionsOf(model string) []VersionName {
	var out []VersionName
	for v := range s.Versions {
		if v.Model() == model {
			out = append(out, v)
		}
	}
	slices.Sort(out)
	return out
}

// OnceCall reports whether a call to the service may not be repeated.
func (svc *Service) OnceCall(method, path string) bool {
	for _, pattern := range svc.Once {
		m, p, _ := strings.Cut(pattern, " ")
		if m != method {
			continue
		}
		if prefix, ok := strings.CutSuffix(p, "*"); ok && strings.HasPrefix(path, prefix) {
			return true
		}
		if p == path {
			return true
		}
	}
	return false
}
