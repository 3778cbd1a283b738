package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/eventlog"
	"tarragonbay.example/tarragonbay/internal/fleet"
	"tarragonbay.example/tarragonbay/internal/routetable"
	"tarragonbay.example/tarragonbay/internal/settings"
	"tarragonbay.example/tarragonbay/internal/store"
	"tarragonbay.example/tarragonbay/internal/telemetry"
)

// textRows decodes rows whose value is "version state".
type textRows struct{ Documents }

func (textRows) Upstream(r store.Row) (fleet.Upstream, error) {
	version, state, ok := strings.Cut(string(r.Value), " ")
	if !ok {
		return fleet.Upstream{}, errors.New("unreadable value")
	}
	return fleet.Upstream{ID: r.Name, Service: "s", Version: version, Leaving: state == "leaving"}, nil
}

func newTestGateway() *Gateway {
	return New(Options{
		Settings: settings.Gateway{Name: "g", ExposeShare: 0.15, RevokeWithin: 5 * time.Second, DrainWithin: 2 * time.Second, ConfigWithin: 2 * time.Second,
			RepeatRatio: 0.9, RepeatSlack: 64, RepeatWindow: 10 * time.Second},
		Documents: textRows{}, Log: eventlog.New(io.Discard), Metrics: telemetry.NewMetrics(),
		BootClock: func() time.Duration { return 0 },
	})
}

// upstreamRow returns a row of the upstream "a"; an empty value is its removal.
func upstreamRow(value string, rev uint64) store.Row {
	return store.Row{Key: store.Key{Name: "a"}, Value: []byte(value), Rev: rev, Removed: value == ""}
}

// TestRowsAreTakenInOrder replays the feed of a gateway that was disconnected while an
// upstream was added and removed, so that one page holds both rows. In khl-galley,
// scale-2, the gateway sent requests to the dead upstream for 20 s.
func TestRowsAreTakenInOrder(t *testing.T) {
	now := time.Unix(100, 0)
	for _, c := range []struct {
		name string
		rows []store.Row
		want int
	}{
		{"came and went", []store.Row{upstreamRow("v1 ready", 40), upstreamRow("", 50)}, 0},
		{"went and came back", []store.Row{upstreamRow("", 40), upstreamRow("v1 ready", 50)}, 1},
		{"became unreadable", []store.Row{upstreamRow("v1 ready", 40), upstreamRow("unreadable", 50)}, 0},
		{"became readable", []store.Row{upstreamRow("unreadable", 40), upstreamRow("v1 ready", 50)}, 1},
		{"left", []store.Row{upstreamRow("v1 ready", 40), upstreamRow("v1 leaving", 50)}, 0},
	} {
		for _, before := range []bool{false, true} {
			known := fleet.New()
			if before {
				known.Put(fleet.Upstream{ID: "a", Service: "s", Version: "v1"}, 30)
			}
			newTestGateway().applyUpstreamRows(known, store.Page{Rows: c.rows, Rev: 60}, false, now)
			known.Expire(now)
			if n := len(known.ByService()["s"]); n != c.want {
				t.Errorf("%s (known before: %v): %d upstreams, want %d", c.name, before, n, c.want)
			}
		}
	}
}

func TestUrgency(t *testing.T) {
	for _, c := range []struct{ org, route, want int }{
		{0, 0, 0}, {0, 2, 2}, {1, 0, 3}, {1, 2, 5}, {-1, 1, 4}, {3, 2, 9}, {0, 7, 2},
	} {
		q := &request{route: &routetable.Route{Kind: routetable.Stream, Rank: c.route}, org: &routetable.Organisation{Rank: c.org}}
		if got := q.urgency(); got != c.want {
			t.Errorf("organisation %d, route %d: %d, want %d", c.org, c.route, got, c.want)
		}
	}
	if got := (&request{route: &routetable.Route{Rank: 1}}).urgency(); got != -1 {
		t.Errorf("a plain request has urgency %d", got)
	}
}
