package settings

import (
	"strings"
	"testing"
	"time"
)

const goodGateway = `// rendered
{"name":"edge-1","domain":"pasay","listen":"127.0.0.1:1","readyListen":"127.0.0.1:2","adminListen":"","store":"127.0.0.1:3",
"memoryMb":134,"grace":"8s","revokeWithin":"5000ms","drainWithin":"2s","configWithin":"2s","repeatRatio":0.9,"repeatSlack":58,"repeatWindow":"10s","exposeShare":0.15,"fairShares":true}`

func TestGatewaySettings(t *testing.T) {
	s, err := ParseGateway("f", []byte(goodGateway))
	if err != nil || s.RepeatRatio != 0.9 || s.Grace != 8*time.Second || s.RevokeWithin != 5*time.Second || !s.FairShares {
		t.Fatalf("%+v, %v", s, err)
	}
}

func TestGatewaySettingsFaults(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`"edge-1"`, `"Edge 1"`, "f:2:2: name: must be"},
		{`"127.0.0.1:1"`, `"localhost:1"`, "listen: must be IP:port"},
		{`"127.0.0.1:3"`, `""`, "store: must be IP:port"},
		{`"8s"`, `"8"`, "grace: must be a time"},
		{`0.9`, `"0.9"`, "repeatRatio: must be a number"},
		{`0.15`, `1.5`, "exposeShare: must be above 0"},
		{`"grace"`, `"grease"`, `did you mean "grace"`},
		{`true`, `1`, "fairShares: must be true or false"},
		{`134`, `0`, "memoryMb: must be above 0"},
		{`134`, `134,"maxDescriptors":-1`, "maxDescriptors: must be 0 or above"},
		{`134`, `134,"heldMb":134`, "heldMb: must be 0 or above, and less than memoryMb"},
		{`134`, `134,"heldMb":-1`, "heldMb: must be 0 or above"},
		{`134`, `134,"callerConnections":-1`, "callerConnections: must be 0 or above"},
	} {
		_, err := ParseGateway("f", []byte(strings.Replace(goodGateway, c.from, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "TB8001") {
			t.Errorf("%s: %v, want %q", c.to, err, c.want)
		}
	}
}
