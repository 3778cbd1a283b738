package callerapi

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/result"
)

// index answers the questions of one request about one configuration without
// a walk over the whole set.
type index struct {
	set *catalog.Set
	// deadlines holds the deadline of each rule that has one.
	deadlines map[ruleKey]time.Duration
	// versions lists the versions of each model.
	versions map[string][]catalog.VersionName
}

type ruleKey struct {
	organisation string // empty for all organisations
	class        string
}

// indexCache keeps the index of the newest set.
type indexCache struct {
	current atomic.Pointer[index]
}

// of returns the index of the set; it is built once for each set.
func (c *indexCache) of(set *catalog.Set) *index {
	if ix := c.current.Load(); ix != nil && ix.set == set {
		return ix
	}
	ix := newIndex(set)
	c.current.Store(ix)
	return ix
}

func newIndex(set *catalog.Set) *index {
	ix := &index{
		set:       set,
		deadlines: map[ruleKey]time.Duration{},
		versions:  map[string][]catalog.VersionName{},
	}
	for _, r := range set.Rules {
		k := ruleKey{r.Organisation, r.Class}
		d := time.Duration(r.DeadlineMs) * time.Millisecond
		if old, seen := ix.deadlines[k]; d > 0 && (!seen || d < old) {
			ix.deadlines[k] = d
		}
	}
	for v := range set.Versions {
		ix.versions[v.Model()] = append(ix.versions[v.Model()], v)
	}
	return ix
}

// deadline returns the time that the rules give to the class, or zero. A rule
// of the organisation goes before one for all.
func (ix *index) deadline(org, class string) time.Duration {
	if class == "" {
		return 0
	}
	if d, ok := ix.deadlines[ruleKey{org, class}]; ok {
		return d
	}
	return ix.deadlines[ruleKey{"", class}]
}

// checkTarget tells whether the organisation may name the model, version or
// cascade. The router decides which versions it leads to.
func (ix *index) checkTarget(org, target string) *result.Error {
	if _, known := ix.set.Models[target]; known {
		if ix.modelAllowed(org, target) {
			return nil
		}
		return result.New(result.ModelNotAllowed, "the organisation may not use the model %q", target)
	}
	if _, known := ix.set.Versions[catalog.VersionName(target)]; known {
		if ix.set.Allowed(org, catalog.VersionName(target)) {
			return nil
		}
		return result.New(result.ModelNotAllowed, "the organisation may not use the version %q", target)
	}
	if c, known := ix.set.Cascades[target]; known {
		if ix.cascadeAllowed(org, c) {
			return nil
		}
		return result.New(result.ModelNotAllowed, "the organisation may use no step of the cascade %q", target)
	}
	return result.New(result.UnknownModel, "no model, version or cascade is named %q", target)
}

func (ix *index) modelAllowed(org, model string) bool {
	return slices.ContainsFunc(ix.versions[model], func(v catalog.VersionName) bool {
		return ix.set.Allowed(org, v)
	})
}

func (ix *index) cascadeAllowed(org string, c *catalog.Cascade) bool {
	return slices.ContainsFunc(c.Steps, func(step string) bool {
		if strings.Contains(step, "@") {
			return ix.set.Allowed(org, catalog.VersionName(step))
		}
		return ix.modelAllowed(org, step)
	})
}

// names lists, sorted, what the organisation may put in the model field:
// models, versions that are not withdrawn, and cascades.
func (ix *index) names(org string) []string {
	var out []string
	for m := range ix.set.Models {
		if ix.modelAllowed(org, m) {
			out = append(out, m)
		}
	}
	for v, spec := range ix.set.Versions {
		if spec.State != catalog.VersionWithdrawn && ix.set.Allowed(org, v) {
			out = append(out, string(v))
		}
	}
	for name, c := range ix.set.Cascades {
		if ix.cascadeAllowed(org, c) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
