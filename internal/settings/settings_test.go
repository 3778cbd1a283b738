package settings

import (
	"reflect"
	"strings"
	"testing"

	"tarragonbay.example/tarragonbay/internal/catalog"
)

func TestExampleOfEachRoleIsItsDefaults(t *testing.T) {
	for _, role := range Roles {
		got, faults := Parse("x.jsonc", Example(role))
		if len(faults) != 0 {
			t.Errorf("%s: %v", role, faults)
		}
		want := Default(role)
		want.SessionKeys, got.SessionKeys = nil, nil
		want.Peers, got.Peers = nil, nil
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, want %+v", role, got, want)
		}
	}
}

const goodAgent = `{
  "role": "agent", "name": "a1", "domain": "pasay",
  "link": {"listen": "127.0.0.1:7101"},
}`

func TestParseReportsEveryFaultWithItsPosition(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"unknown field", `{"role": "agent", "limits": {"bodyByte": 1}}`, `s:1:30: limits.bodyByte: is not a setting (did you mean "bodyBytes"?)`},
		{"unknown role", `{"role": "entri"}`, `s:1:2: role: must be entry, agent or dev (did you mean "entry"?)`},
		{"host name", "{\"role\": \"agent\",\n \"link\": {\"listen\": \"localhost:1\"}}", `s:2:11: link.listen: must be IP:port with an IP number, not "localhost:1"`},
		{"admin off loopback without key", `{"role": "agent", "admin": {"listen": "10.0.0.1:1"}}`, `admin.keyHash: is needed when the address is not loopback`},
		{"plain admin key", `{"role": "agent", "admin": {"keyHash": "secret"}}`, `admin.keyHash: must be sha256:`},
		{"link off loopback without TLS", `{"role": "agent", "link": {"listen": "10.0.0.1:1"}}`, `link.tls: is needed`},
		{"half of TLS", `{"role": "entry", "caller": {"tls": {"certFile": "c"}}}`, `caller.tls: needs both`},
		{"entry without session key", `{"role": "entry"}`, `sessionKeys: an entry needs`},
		{"short secret", `{"role": "entry", "sessionKeys": [{"name": "k", "secret": "x"}]}`, `sessionKeys[0].secret: must have at least 32`},
		{"example secret off loopback", `{"role": "entry", "caller": {"listen": "10.0.0.1:1"}, "sessionKeys": [{"name": "k", "secret": "` + exampleSecret + `"}]}`, `sessionKeys[0].secret: is the example's`},
		{"number for time", `{"role": "agent", "timeouts": {"idle": 3}}`, `timeouts.idle: must be a time such as`},
		{"negative time", `{"role": "agent", "timeouts": {"idle": "-3s"}}`, `timeouts.idle: must be greater than 0`},
		{"deadline beyond the records", `{"role": "agent", "timeouts": {"maxRequest": "11m"}}`, `timeouts.maxRequest: must not be longer than 10m0s`},
		{"zero limit", `{"role": "agent", "limits": {"inFlight": 0}}`, `limits.inFlight: must be greater than 0`},
		{"no heap floor", `{"role": "agent", "limits": {"heapFloor": 0}}`, `limits.heapFloor: must be greater than 0`},
		{"fraction", `{"role": "agent", "limits": {"inFlight": 1.5}}`, `limits.inFlight: must be a whole number`},
		{"platform by name", `{"role": "agent", "platform": {"table": "http://table:1"}}`, `platform.table: must be http://IP:port`},
		{"peer by name", `{"role": "agent", "peers": ["b:1"]}`, `s:1:29: peers[0]: must be IP:port`},
		{"written twice", `{"role": "agent", "name": "a", "name": "b"}`, `name: is written twice, first at s:1:19`},
		{"wrong type", `{"role": "agent", "name": 7}`, `name: must be a string`},
		{"syntax", "{\"role\":\n!}", `s:2:1`},
		{"not an object", `[]`, `must be an object`},
		{"level", `{"role": "agent", "log": {"level": "loud"}}`, `log.level: must be debug, info, warn or error`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, faults := Parse("s", []byte(tt.text))
			if all := list(faults); !strings.Contains(all, tt.want) {
				t.Errorf("want a fault with\n%s\ngot\n%s", tt.want, all)
			}
		})
	}
}

func TestParseReportsAllFaultsAtOnce(t *testing.T) {
	text := `{"role": "agent", "name": "", "domain": "", "log": {"level": "x"}, "peer": [], "limits": {"inFlight": -1}}`
	_, faults := Parse("s", []byte(text))
	if len(faults) != 5 {
		t.Errorf("got %d faults, want 5:\n%s", len(faults), list(faults))
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(goodAgent))
	f.Add(Example(RoleEntry))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, faults := Parse("s", data)
		if len(faults) == 0 && s.Limits.BodyBytes <= 0 {
			t.Error("unbounded settings passed the check")
		}
	})
}

func list(faults []catalog.Fault) string {
	var b strings.Builder
	for _, f := range faults {
		b.WriteString(f.String() + "\n")
	}
	return b.String()
}
