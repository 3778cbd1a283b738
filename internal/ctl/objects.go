package ctl

import (
	"bytes"
	"encoding/json"
	"strings"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/publish"
)

// objectView is one published object.
type objectView struct {
	Revision uint64          `json:"revision"`
	Kind     catalog.Kind    `json:"kind"`
	Name     string          `json:"name"`
	Spec     json.RawMessage `json:"spec"`
}

func (o objectView) grid() grid {
	var text bytes.Buffer
	if err := json.Indent(&text, o.Spec, "", "  "); err != nil {
		text.Write(o.Spec)
	}
	g := grid{rows: [][]string{{string(o.Kind) + "/" + o.Name}}}
	for line := range strings.Lines(text.String()) {
		g.rows = append(g.rows, []string{strings.TrimRight(line, "\n")})
	}
	return g
}

// kindList is the objects of one kind.
type kindList struct {
	Revision uint64       `json:"revision"`
	Kind     catalog.Kind `json:"kind"`
	Objects  []listItem   `json:"objects"`
}

type listItem struct {
	Name string `json:"name"`
	// Note is the state, where the kind has one, or the description.
	Note string `json:"note,omitempty"`
}

func (l kindList) grid() grid {
	g := grid{header: []string{"NAME", "NOTE"}}
	for _, o := range l.Objects {
		g.rows = append(g.rows, []string{o.Name, o.Note})
	}
	return g
}

func listKind(state publish.State, kind catalog.Kind) kindList {
	out := kindList{Revision: state.Revision, Kind: kind, Objects: []listItem{}}
	for _, name := range namesOf(state.Set, kind) {
		out.Objects = append(out.Objects, listItem{name, note(state.Set, kind, name)})
	}
	return out
}

// note tells what an operator looks for in a list of the kind.
func note(set *catalog.Set, kind catalog.Kind, name string) string {
	switch kind {
	case catalog.KindOrganisation:
		return set.Organisations[name].Description
	case catalog.KindModel:
		return set.Models[name].Description
	case catalog.KindVersion:
		return string(versionState(set.Versions[catalog.VersionName(name)]))
	case catalog.KindCascade:
		return strings.Join(set.Cascades[name].Steps, " > ")
	case catalog.KindRule:
		return set.Rules[name].Class
	case catalog.KindService:
		return set.Services[name].Description
	case catalog.KindUpstream:
		return upstreamNote(set.Upstreams[name])
	case catalog.KindRollout:
		return rolloutState(set.Rollouts[name])
	}
	return ""
}

func versionState(v *catalog.Version) catalog.VersionState {
	if v.State == "" {
		return catalog.VersionActive
	}
	return v.State
}

func rolloutState(r *catalog.Rollout) string {
	if r.State == "" {
		return catalog.RolloutRunning
	}
	return r.State
}

func upstreamNote(u *catalog.Upstream) string {
	serves := u.Service
	if serves == "" {
		serves = strings.Join(u.Versions, " ")
	}
	if u.Leaving {
		return serves + " (leaving)"
	}
	return serves
}

// newObject returns the object in canonical form.
func newObject(kind catalog.Kind, name string, spec any) (catalog.Object, error) {
	data, err := json.Marshal(spec)
	if err != nil {
		return catalog.Object{}, err
	}
	canonical, err := catalog.Canonical(data)
	return catalog.Object{Key: catalog.Key{Kind: kind, Name: name}, Spec: canonical}, err
}

// keepOperations returns the wanted set with what operators set by command
// since, where the folder does not write the field: a version's state, an
// upstream that leaves, a roll-out's state and stage. A roll-out that has not
// ended stays even when the folder lacks it. Without this, publishing a folder
// would bring a withdrawn version back.
func keepOperations(current, want *catalog.Set) (*catalog.Set, error) {
	byKey := map[catalog.Key]catalog.Object{}
	for _, o := range want.Objects() {
		byKey[o.Key] = o
	}
	for _, k := range keptKeys(current, want) {
		o, err := keepObject(current, want, k)
		if err != nil {
			return nil, err
		}
		byKey[k] = o
	}
	objects := make([]catalog.Object, 0, len(byKey))
	for _, o := range byKey {
		objects = append(objects, o)
	}
	return catalog.NewSet(objects)
}

// keptKeys lists the objects whose operational state is carried over.
func keptKeys(current, want *catalog.Set) []catalog.Key {
	var out []catalog.Key
	for name, old := range current.Versions {
		v, there := want.Versions[name]
		if there && v.State == "" && old.State != "" {
			out = append(out, catalog.Key{Kind: catalog.KindVersion, Name: string(name)})
		}
	}
	for name, old := range current.Upstreams {
		u, there := want.Upstreams[name]
		if there && old.Leaving && !u.Leaving && !writes(want, catalog.KindUpstream, name, "leaving") {
			out = append(out, catalog.Key{Kind: catalog.KindUpstream, Name: name})
		}
	}
	for name, old := range current.Rollouts {
		r, there := want.Rollouts[name]
		if (!there && !ended(old)) || (there && r.State == "" && r.From == old.From && r.To == old.To) {
			out = append(out, catalog.Key{Kind: catalog.KindRollout, Name: name})
		}
	}
	return out
}

func ended(r *catalog.Rollout) bool {
	return r.State == catalog.RolloutAborted || r.State == catalog.RolloutDone
}

// writes reports whether the object's text has the field.
func writes(set *catalog.Set, kind catalog.Kind, name, field string) bool {
	o, _ := set.Object(catalog.Key{Kind: kind, Name: name})
	var fields map[string]json.RawMessage
	if json.Unmarshal(o.Spec, &fields) != nil {
		return false
	}
	_, written := fields[field]
	return written
}

func keepObject(current, want *catalog.Set, k catalog.Key) (catalog.Object, error) {
	switch k.Kind {
	case catalog.KindVersion:
		v := *want.Versions[catalog.VersionName(k.Name)]
		v.State = current.Versions[catalog.VersionName(k.Name)].State
		return newObject(k.Kind, k.Name, v)
	case catalog.KindUpstream:
		u := *want.Upstreams[k.Name]
		u.Leaving = true
		return newObject(k.Kind, k.Name, u)
	}
	old := current.Rollouts[k.Name]
	r, there := want.Rollouts[k.Name]
	if !there {
		o, _ := current.Object(k)
		return o, nil
	}
	kept := *r
	kept.State = old.State
	kept.Stage = min(old.Stage, len(kept.Stages)-1)
	return newObject(k.Kind, k.Name, kept)
}
