package catalog

import (
	"strings"
	"testing"
	"testing/fstest"
)

const goodConfig = `{
	// comments are allowed
	"organisations": {"alpha": {"keys": ["sha256:` + hex64 + `"], "allow": ["small"], "services": ["desk"]}},
	"models": {"small": {"qualityTarget": 0.9}},
	"versions": {"small@1": {"inputMicros": 1, "outputMicros": 2}},
	"cascades": {"auto": {"steps": ["small@1"], "qualityTarget": 0.9}},
	"rules": {"tags": {"class": "tag", "use": ["auto"]}},
	"services": {"desk": {"once": ["POST /bookings"]}},
	"upstreams": {"e1": {"host": "h1", "domain": "a", "agent": "127.0.0.1:1", "address": "127.0.0.1:2", "versions": ["small@1"]}},
}`

const hex64 = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

func load(t *testing.T, text string) *Source {
	t.Helper()
	src, err := Load(fstest.MapFS{"a.jsonc": {Data: []byte(text)}})
	if err != nil {
		t.Fatal(err)
	}
	return src
}

func TestCheckAcceptsAGoodSet(t *testing.T) {
	set, faults := load(t, goodConfig).Check()
	if len(faults) != 0 {
		t.Fatalf("faults: %v", faults)
	}
	if set.Len() != 7 {
		t.Errorf("got %d objects, want 7", set.Len())
	}
	if !set.Allowed("alpha", "small@1") || set.Allowed("alpha", "other@1") {
		t.Error("Allowed is wrong")
	}
	again, err := NewSet(set.Objects())
	if err != nil {
		t.Fatal(err)
	}
	if again.Digest() != set.Digest() {
		t.Error("digest changed over a round trip")
	}
}

func TestCheckReportsEveryFaultWithItsPosition(t *testing.T) {
	tests := []struct {
		name, old, new, want string
	}{
		{"dangling reference with a suggestion", `"steps": ["small@1"]`, `"steps": ["smal@1"]`, `a.jsonc:6:34: cascades/auto: steps[0]: "smal@1" is no model or version (did you mean "small@1"?)`},
		{"unknown field with a suggestion", `"inputMicros"`, `"inputMicro"`, `a.jsonc:5:27: versions/small@1: inputMicro: is not a field of versions (did you mean "inputMicros"?)`},
		{"unknown kind", `"rules"`, `"rule"`, `a.jsonc:7:2: rule: is not a kind of object (did you mean "rules"?)`},
		{"host name for an address", `127.0.0.1:2`, `localhost:2`, `address: must be IP:port with an IP number`},
		{"plain key", `sha256:`, `secret:`, `keys[0]: must be sha256: and 64 hex digits`},
		{"share out of range", `"qualityTarget": 0.9}}`, `"qualityTarget": 1.9}}`, `models/small: qualityTarget: must be from 0 to 1, not 1.9`},
		{"hold level out of range", `"qualityTarget": 0.9}}`, `"holdLevel": 0.5}}`, `models/small: holdLevel: must be from 2 to 10, not 0.5`},
		{"wrong type", `"class": "tag"`, `"class": 7`, `rules/tags: class: must be of type string, not number`},
		{"syntax error", `"rules": {`, `"rules": [`, `a.jsonc:7:`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, faults := load(t, strings.Replace(goodConfig, tt.old, tt.new, 1)).Check()
			var all strings.Builder
			for _, f := range faults {
				all.WriteString(f.String() + "\n")
			}
			if !strings.Contains(all.String(), tt.want) {
				t.Errorf("want a fault with\n%s\ngot\n%s", tt.want, all.String())
			}
		})
	}
}

func TestCheckReportsAllFaultsAtOnce(t *testing.T) {
	text := strings.NewReplacer(`"steps": ["small@1"]`, `"steps": ["x"]`, `"use": ["auto"]`, `"use": ["y"]`, `"services": ["desk"]`, `"services": ["z"]`).Replace(goodConfig)
	_, faults := load(t, text).Check()
	if len(faults) != 3 {
		t.Errorf("got %d faults, want 3: %v", len(faults), faults)
	}
}
