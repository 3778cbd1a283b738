package catalog

import (
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"slices"
	"strings"
)

// positioner tells where a field of an object was written.
type positioner interface {
	Position(k Key, field string) Position
}

type noPositions struct{}

// Position returns the unknown position.
func (noPositions) Position(Key, string) Position { return Position{} }

// Check checks every object and reference of the set and returns all faults.
func (s *Set) Check() []Fault {
	fs := checkSet(s, noPositions{})
	slices.SortStableFunc(fs, func(a, b Fault) int { return strings.Compare(a.Object, b.Object) })
	return fs
}

// checker collects the faults of one set.
type checker struct {
	set    *Set
	pos    positioner
	faults []Fault
}

func checkSet(s *Set, pos positioner) []Fault {
	c := &checker{set: s, pos: pos}
	for _, o := range s.Objects() {
		c.checkName(o.Key)
		c.checkObject(o.Key)
	}
	c.checkKeysUnique()
	c.checkUpstreamHosts()
	return c.faults
}

func (c *checker) add(k Key, field, format string, args ...any) {
	c.faults = append(c.faults, Fault{
		Position: c.pos.Position(k, field),
		Object:   k.String(),
		Field:    field,
		Reason:   fmt.Sprintf(format, args...),
	})
}

var nameRE = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

func (c *checker) checkName(k Key) {
	name := k.Name
	if k.Kind == KindVersion {
		v := VersionName(name)
		if !v.Valid() {
			c.add(k, "", "a version is named model@version")
			return
		}
		name = strings.Replace(name, "@", "-", 1)
	}
	if !nameRE.MatchString(name) {
		c.add(k, "", "a name has 1 to 63 of a-z, 0-9, '.', '_', '-' and starts with a letter or digit")
	}
}

func (c *checker) checkObject(k Key) {
	s := c.set
	switch k.Kind {
	case KindOrganisation:
		c.checkOrganisation(k, s.Organisations[k.Name])
	case KindModel:
		c.checkModel(k, s.Models[k.Name])
	case KindVersion:
		c.checkVersion(k, s.Versions[VersionName(k.Name)])
	case KindCascade:
		c.checkCascade(k, s.Cascades[k.Name])
	case KindRule:
		c.checkRule(k, s.Rules[k.Name])
	case KindService:
		c.checkService(k, s.Services[k.Name])
	case KindUpstream:
		c.checkUpstream(k, s.Upstreams[k.Name])
	case KindRollout:
		c.checkRollout(k, s.Rollouts[k.Name])
	}
}

// refs resolves a name against maps of several kinds.
func (c *checker) checkRef(k Key, field, name string, kinds ...Kind) {
	var candidates []string
	for _, kind := range kinds {
		if _, ok := c.set.objects[Key{kind, name}]; ok {
			return
		}
		candidates = append(candidates, c.namesOf(kind)...)
	}
	words := make([]string, len(kinds))
	for i, kind := range kinds {
		words[i] = strings.TrimSuffix(string(kind), "s")
	}
	f := Fault{
		Position:   c.pos.Position(k, field),
		Object:     k.String(),
		Field:      field,
		Reason:     fmt.Sprintf("%q is no %s", name, strings.Join(words, " or ")),
		Suggestion: nearest(name, candidates),
	}
	c.faults = append(c.faults, f)
}

func (c *checker) namesOf(kind Kind) []string {
	var out []string
	for k := range c.set.objects {
		if k.Kind == kind {
			out = append(out, k.Name)
		}
	}
	return out
}

func (c *checker) checkShare(k Key, field string, v float64) {
	if v < 0 || v > 1 {
		c.add(k, field, "must be from 0 to 1, not %v", v)
	}
}

func (c *checker) checkOneOf(k Key, field, v string, allowed ...string) {
	if v == "" || slices.Contains(allowed, v) {
		return
	}
	c.faults = append(c.faults, Fault{
		Position:   c.pos.Position(k, field),
		Object:     k.String(),
		Field:      field,
		Reason:     fmt.Sprintf("%q is not one of %s", v, strings.Join(allowed, ", ")),
		Suggestion: nearest(v, slices.Clone(allowed)),
	})
}

var keyHashRE = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)

func (c *checker) checkOrganisation(k Key, o *Organisation) {
	if len(o.Keys) == 0 {
		c.add(k, "keys", "an organisation needs at least one key hash")
	}
	for i, h := range o.Keys {
		if !keyHashRE.MatchString(h) {
			c.add(k, fmt.Sprintf("keys[%d]", i), "must be sha256: and 64 hex digits; a key itself is never stored")
		}
	}
	for i, a := range o.Allow {
		c.checkRef(k, fmt.Sprintf("allow[%d]", i), a, KindModel, KindVersion)
	}
	for i, s := range o.Services {
		c.checkRef(k, fmt.Sprintf("services[%d]", i), s, KindService)
	}
	if o.Weight < 0 {
		c.add(k, "weight", "must not be negative")
	}
	c.checkOneOf(k, "priority", string(o.Priority),
		string(PriorityInteractive), string(PriorityStandard), string(PriorityBatch))
	if o.Limits.RequestsPerSecond < 0 || o.Limits.TokensPerSecond < 0 || o.Limits.InFlight < 0 {
		c.add(k, "limits", "must not be negative")
	}
}

func (c *checker) checkModel(k Key, m *Model) {
	c.checkShare(k, "qualityTarget", m.QualityTarget)
	if h := m.HoldLevel; h != 0 && (h < MinHoldLevel || h > MaxHoldLevel) {
		c.add(k, "holdLevel", "must be from %v to %v, not %v", MinHoldLevel, MaxHoldLevel, h)
	}
	if len(c.set.VersionsOf(k.Name)) == 0 {
		c.add(k, "", "the model has no version")
	}
}

func (c *checker) checkVersion(k Key, v *Version) {
	c.checkRef(k, "", VersionName(k.Name).Model(), KindModel)
	c.checkShare(k, "priorQuality", v.PriorQuality)
	c.checkOneOf(k, "state", string(v.State),
		string(VersionActive), string(VersionDraining), string(VersionWithdrawn))
	if v.Exposure < 0 {
		c.add(k, "exposure", "must not be negative")
	}
}

func (c *checker) checkCascade(k Key, x *Cascade) {
	if len(x.Steps) == 0 {
		c.add(k, "steps", "a cascade needs at least one step")
	}
	for i, s := range x.Steps {
		c.checkRef(k, fmt.Sprintf("steps[%d]", i), s, KindModel, KindVersion)
	}
	if x.QualityTarget == 0 {
		c.add(k, "qualityTarget", "a cascade needs a quality target")
	}
	c.checkShare(k, "qualityTarget", x.QualityTarget)
	c.checkShare(k, "escalate", x.Escalate)
	if _, clash := c.set.Models[k.Name]; clash {
		c.add(k, "", "a model has the same name, and a request could mean either")
	}
}

func (c *checker) checkRule(k Key, r *Rule) {
	if r.Organisation != "" {
		c.checkRef(k, "organisation", r.Organisation, KindOrganisation)
	}
	if r.Class == "" {
		c.add(k, "class", "a rule needs a class")
	}
	for i, u := range r.Use {
		c.checkRef(k, fmt.Sprintf("use[%d]", i), u, KindModel, KindVersion, KindCascade)
	}
	c.checkShare(k, "qualityTarget", r.QualityTarget)
	if r.DeadlineMs < 0 {
		c.add(k, "deadlineMs", "must not be negative")
	}
	c.checkOneOf(k, "objective", r.Objective, ObjectiveCost, ObjectiveLatency, ObjectiveExposure)
}

var oncePatternRE = regexp.MustCompile(`^(GET|PUT|POST|PATCH|DELETE) /\S*$`)

func (c *checker) checkService(k Key, s *Service) {
	for i, p := range s.Once {
		if !oncePatternRE.MatchString(p) {
			c.add(k, fmt.Sprintf("once[%d]", i), `must be "METHOD /path", with "*" at the end for any rest`)
		}
	}
	if s.DeadlineMs < 0 {
		c.add(k, "deadlineMs", "must not be negative")
	}
}

func (c *checker) checkUpstream(k Key, u *Upstream) {
	if u.Host == "" {
		c.add(k, "host", "an upstream needs a host")
	}
	if u.Domain == "" {
		c.add(k, "domain", "an upstream needs a failure domain")
	}
	c.checkAddress(k, "agent", u.Agent)
	c.checkAddress(k, "address", u.Address)
	if (u.Service == "") == (len(u.Versions) == 0) {
		c.add(k, "versions", "an upstream serves either versions or one service")
	}
	for i, v := range u.Versions {
		c.checkRef(k, fmt.Sprintf("versions[%d]", i), v, KindVersion)
	}
	if u.Service != "" {
		c.checkRef(k, "service", u.Service, KindService)
	}
	if u.Slots < 0 {
		c.add(k, "slots", "must not be negative")
	}
	c.checkOneOf(k, "role", u.Role, "both", "prefill", "decode")
}

func (c *checker) checkAddress(k Key, field, addr string) {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		c.add(k, field, "must be IP:port with an IP number, not %q", addr)
	}
}

func (c *checker) checkRollout(k Key, r *Rollout) {
	c.checkRef(k, "from", r.From, KindVersion)
	c.checkRef(k, "to", r.To, KindVersion)
	if VersionName(r.From).Model() != VersionName(r.To).Model() {
		c.add(k, "to", "must be a version of the same model as from")
	}
	if r.From == r.To {
		c.add(k, "to", "must differ from from")
	}
	if len(r.Stages) == 0 {
		c.add(k, "stages", "a roll-out needs at least one stage")
	}
	for i, share := range r.Stages {
		field := fmt.Sprintf("stages[%d]", i)
		c.checkShare(k, field, share)
		if i > 0 && share <= r.Stages[i-1] {
			c.add(k, field, "must be greater than the stage before")
		}
	}
	if r.Stage < 0 || (len(r.Stages) > 0 && r.Stage >= len(r.Stages)) {
		c.add(k, "stage", "is not the index of a stage")
	}
	c.checkOneOf(k, "state", r.State, RolloutRunning, RolloutPaused, RolloutAborted, RolloutDone)
}

// checkKeysUnique finds a key hash that two organisations share.
func (c *checker) checkKeysUnique() {
	owner := map[string]string{}
	for _, o := range c.set.Objects() {
		org := c.set.Organisations[o.Key.Name]
		if o.Key.Kind != KindOrganisation {
			continue
		}
		for i, h := range org.Keys {
			if first, dup := owner[h]; dup {
				c.add(o.Key, fmt.Sprintf("keys[%d]", i), "is also a key of organisation %q", first)
				continue
			}
			owner[h] = o.Key.Name
		}
	}
}

// checkUpstreamHosts finds hosts whose upstreams disagree about the agent or
// the failure domain.
func (c *checker) checkUpstreamHosts() {
	first := map[string]string{}
	for _, o := range c.set.Objects() {
		if o.Key.Kind != KindUpstream {
			continue
		}
		u := c.set.Upstreams[o.Key.Name]
		other, seen := first[u.Host]
		if !seen {
			first[u.Host] = o.Key.Name
			continue
		}
		v := c.set.Upstreams[other]
		if u.Agent != v.Agent {
			c.add(o.Key, "agent", "differs from upstream %q on the same host", other)
		}
		if u.Domain != v.Domain {
			c.add(o.Key, "domain", "differs from upstream %q on the same host", other)
		}
	}
}

// fieldNames lists the JSON fields of a kind.
func fieldNames(kind Kind) []string {
	empty := &Set{
		Organisations: map[string]*Organisation{}, Models: map[string]*Model{},
		Versions: map[VersionName]*Version{}, Cascades: map[string]*Cascade{},
		Rules: map[string]*Rule{}, Services: map[string]*Service{},
		Upstreams: map[string]*Upstream{}, Rollouts: map[string]*Rollout{},
	}
	target, err := empty.slot(Key{Kind: kind, Name: "x"})
	if err != nil {
		return nil
	}
	t := reflect.TypeOf(target).Elem()
	var out []string
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		out = append(out, name)
	}
	return out
}
