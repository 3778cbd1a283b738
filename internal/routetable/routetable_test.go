package routetable

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestMatch(t *testing.T) {
	table := New(Spec{Routes: []Route{
		{Name: "root", Host: "a.example", Prefix: "/"},
		{Name: "x", Host: "a.example", Prefix: "/x/"},
		{Name: "xy", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "B.example", Prefix: "/x/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/", "root"}, {"a.example", "/x", "root"}, {"a.example", "/x/", "x"},
		{"a.example", "/x/y", "x"}, {"a.example", "/x/y/z", "xy"}, {"A.example:8080", "/x/y/", "xy"},
		{"b.example", "/x/1", "other"}, {"b.example", "/", ""}, {"c.example", "/", ""},
	} {
		got := ""
		if r := table.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s matches route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// TestMatchIsTheLongestPrefix compares Match with a search of all routes.
func TestMatchIsTheLongestPrefix(t *testing.T) {
	segment := rapid.StringMatching(`[ab]{1,2}`)
	rapid.Check(t, func(t *rapid.T) {
		var s Spec
		seen := map[string]bool{}
		for range rapid.IntRange(0, 12).Draw(t, "routes") {
			prefix := "/"
			for range rapid.IntRange(0, 3).Draw(t, "depth") {
				prefix += segment.Draw(t, "segment") + "/"
			}
			if !seen[prefix] {
				seen[prefix] = true
				s.Routes = append(s.Routes, Route{Name: prefix, Host: "h", Prefix: prefix})
			}
		}
		path := "/"
		for range rapid.IntRange(0, 4).Draw(t, "path") {
			path += segment.Draw(t, "part") + "/"
		}
		want := ""
		for p := range seen {
			if strings.HasPrefix(path, p) && len(p) > len(want) {
				want = p
			}
		}
		got := ""
		if r := New(s).Match("h", path); r != nil {
			got = r.Name
		}
		if got != want {
			t.Fatalf("%s matches route %q, want %q", path, got, want)
		}
	})
}

func TestPick(t *testing.T) {
	r := Route{Services: []WeightedService{{"a", 90}, {"b", 10}, {"c", 0}}}
	count := map[string]int{}
	for i := range 1000 {
		count[r.Pick(float64(i)/1000)]++
	}
	if count["a"] != 900 || count["b"] != 100 || count["c"] != 0 {
		t.Errorf("picks by service: %v, want a:900 b:100", count)
	}
	if got := (&Route{}).Pick(0.5); got != "" {
		t.Errorf("a route without services picks %q", got)
	}
}

func TestOrganisationByKey(t *testing.T) {
	table := New(Spec{Organisations: []Organisation{{Name: "o", Keys: []string{"k1", "k2"}}, {Name: "p"}}})
	if o := table.OrganisationByKey("k2"); o == nil || o.Name != "o" {
		t.Errorf("holder of k2: %v, want o", o)
	}
	if table.OrganisationByKey("") != nil || table.OrganisationByKey("k3") != nil || !table.RequiresKeys() {
		t.Error("an unknown key has a holder, or the table is not keyed")
	}
}
