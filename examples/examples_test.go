package examples

import (
	"os"
	"path/filepath"
	"testing"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/settings"
)

func load(t *testing.T, name string) *catalog.Set {
	t.Helper()
	fsys, err := Config(name)
	if err != nil {
		t.Fatal(err)
	}
	src, err := catalog.Load(fsys)
	if err != nil {
		t.Fatal(err)
	}
	set, faults := src.Check()
	for _, f := range faults {
		t.Errorf("%s: %v", name, f)
	}
	if set == nil {
		t.FailNow()
	}
	return set
}

// TestExamplesHaveTheSizesOfToday counts what the deployments have.
func TestExamplesHaveTheSizesOfToday(t *testing.T) {
	sizes := map[string]struct{ organisations, domains, engines, services, versions int }{
		"kusinang":  {10, 3, 20, 3, 4},
		"lemnotrat": {10, 3, 10, 3, 4},
	}
	for _, name := range Names {
		set, want := load(t, name), sizes[name]
		domains := map[string]bool{}
		engines, services := 0, 0
		for _, u := range set.Upstreams {
			domains[u.Domain] = true
			if u.Service == "" {
				engines++
			} else {
				services++
			}
		}
		got := sizes[name]
		got.organisations, got.domains, got.versions = len(set.Organisations), len(domains), len(set.Versions)
		got.engines, got.services = engines, services
		if got != want {
			t.Errorf("%s: got %+v, want %+v", name, got, want)
		}
	}
}

func TestEachOrganisationHasItsDevKeyAndEachVersionAnUpstream(t *testing.T) {
	for _, name := range Names {
		set := load(t, name)
		for org := range set.Organisations {
			if got, _, ok := set.OrganisationByKey(DevKey(org)); !ok || got != org {
				t.Errorf("%s: the key of %s leads to %q", name, org, got)
			}
		}
		served := map[string]bool{}
		for _, u := range set.Upstreams {
			for _, v := range u.Versions {
				served[v] = true
			}
		}
		for v := range set.Versions {
			if !served[string(v)] {
				t.Errorf("%s: no upstream serves %s", name, v)
			}
		}
	}
}

func TestExampleSettingsPassTheCheck(t *testing.T) {
	paths, err := filepath.Glob("*/settings/*.jsonc")
	if err != nil || len(paths) != 2*len(Names) {
		t.Fatalf("got %v %v", paths, err)
	}
	for _, p := range paths {
		data, err := os.ReadFile(p)
		if err != nil {
			t.Fatal(err)
		}
		if _, faults := settings.Parse(p, data); len(faults) > 0 {
			t.Errorf("%v", faults)
		}
	}
}
