package harness

import (
	"encoding/json"
	"testing"

	"tarragonbay.example/tarragonbay/internal/catalog"
)

// Names in every cluster.
const (
	Organisation = "alpha"
	Other        = "beta"
	Key          = "alpha-key"
	OtherKey     = "beta-key"
	Desk         = "desk"
)

// Objects is the configuration of a cluster.
type Objects struct {
	Organisations map[string]*catalog.Organisation
	Models        map[string]*catalog.Model
	Versions      map[string]*catalog.Version
	Cascades      map[string]*catalog.Cascade
	Rules         map[string]*catalog.Rule
	Services      map[string]*catalog.Service
	Upstreams     map[string]*catalog.Upstream
	Rollouts      map[string]*catalog.Rollout
}

// Set returns the checked set.
func (o *Objects) Set(t testing.TB) *catalog.Set {
	t.Helper()
	var all []catalog.Object
	all = append(all, objectsOf(t, catalog.KindOrganisation, o.Organisations)...)
	all = append(all, objectsOf(t, catalog.KindModel, o.Models)...)
	all = append(all, objectsOf(t, catalog.KindVersion, o.Versions)...)
	all = append(all, objectsOf(t, catalog.KindCascade, o.Cascades)...)
	all = append(all, objectsOf(t, catalog.KindRule, o.Rules)...)
	all = append(all, objectsOf(t, catalog.KindService, o.Services)...)
	all = append(all, objectsOf(t, catalog.KindUpstream, o.Upstreams)...)
	all = append(all, objectsOf(t, catalog.KindRollout, o.Rollouts)...)
	set, err := catalog.NewSet(all)
	if err != nil {
		t.Fatal(err)
	}
	if faults := set.Check(); len(faults) > 0 {
		t.Fatalf("the configuration of the test has faults: %v", faults)
	}
	return set
}

func objectsOf[V any](t testing.TB, kind catalog.Kind, m map[string]*V) []catalog.Object {
	t.Helper()
	var out []catalog.Object
	for name, v := range m {
		data, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		spec, err := catalog.Canonical(data)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, catalog.Object{Key: catalog.Key{Kind: kind, Name: name}, Spec: spec})
	}
	return out
}

// baseObjects returns two organisations, the versions and the plain service.
func baseObjects(versions []string) *Objects {
	o := &Objects{
		Organisations: map[string]*catalog.Organisation{
			Organisation: {Keys: []string{catalog.HashKey(Key)}, Allow: []string{"small"}, Services: []string{Desk}},
			Other:        {Keys: []string{catalog.HashKey(OtherKey)}, Allow: []string{"small"}, Services: []string{Desk}},
		},
		Models:    map[string]*catalog.Model{},
		Versions:  map[string]*catalog.Version{},
		Cascades:  map[string]*catalog.Cascade{},
		Rules:     map[string]*catalog.Rule{},
		Services:  map[string]*catalog.Service{Desk: {Once: []string{"POST /bookings"}, MicrosPerCall: 7}},
		Upstreams: map[string]*catalog.Upstream{},
		Rollouts:  map[string]*catalog.Rollout{},
	}
	for _, v := range versions {
		o.Models[catalog.VersionName(v).Model()] = &catalog.Model{QualityTarget: 0.8}
		o.Versions[v] = &catalog.Version{InputMicros: 1, OutputMicros: 2, PriorQuality: 0.95}
	}
	return o
}
