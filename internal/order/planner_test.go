package order

import (
	"fmt"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
)

var start = time.Unix(1_700_000_000, 0)

// engines returns n engines over three domains that may serve a and b; the
// first loaded hold a.
func engines(n, loaded int) []Replica {
	out := make([]Replica, n)
	for i := range out {
		out[i] = Replica{
			Upstream: fmt.Sprintf("u%02d", i), Domain: fmt.Sprintf("d%d", i%3), Slots: 8,
			Serves: []catalog.VersionName{"m@a", "m@b"}, MaxLoaded: 2,
		}
		if i < loaded {
			out[i].Loaded = []catalog.VersionName{"m@a"}
		}
	}
	return out
}

func TestPlanLoads(t *testing.T) {
	tests := []struct {
		name    string
		loaded  int
		loads   int
		demand  Demand
		orders  int
		domains int
	}{
		{"enough replicas", 6, 9, Demand{Version: "m@a", Slots: 30}, 0, 0},
		{"demand above the high mark", 3, 9, Demand{Version: "m@a", Slots: 30}, 2, 2},
		{"within the weight store's rate", 0, 2, Demand{Version: "m@a", Slots: 60}, 2, 2},
		{"minimum without demand", 0, 9, Demand{Version: "m@a", MinReplicas: 3}, 3, 3},
		{"minimum of domains", 1, 9, Demand{Version: "m@a", MinDomains: 2}, 1, 1},
		{"withdrawn is unloaded everywhere", 5, 0, Demand{Version: "m@a", Withdrawn: true}, 5, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			in := Input{Replicas: engines(12, tt.loaded), Demands: []Demand{tt.demand}, Loads: tt.loads, Fence: 7}
			orders := NewPlanner().Plan(in, start)
			domains, ids := map[string]bool{}, map[string]bool{}
			for _, o := range orders {
				var i int
				if _, err := fmt.Sscanf(o.Upstream, "u%d", &i); err != nil {
					t.Fatal(err)
				}
				domains[in.Replicas[i].Domain] = true
				ids[o.ID] = true
				if o.Fence != 7 {
					t.Errorf("%s carries fence %d", o.ID, o.Fence)
				}
			}
			if len(orders) != tt.orders || len(domains) != tt.domains || len(ids) != len(orders) {
				t.Fatalf("orders are %+v, want %d over %d domains", orders, tt.orders, tt.domains)
			}
		})
	}
}

func TestNothingIsOrderedFromAReplicaThatIsAwayOrBusy(t *testing.T) {
	rs := engines(3, 0)
	rs[0].Away = true
	rs[1].Loading = []catalog.VersionName{"m@b"}
	in := Input{Replicas: rs, Demands: []Demand{{Version: "m@a", MinReplicas: 3}}, Loads: 9}
	orders := NewPlanner().Plan(in, start)
	if len(orders) != 1 || orders[0].Upstream != "u02" {
		t.Fatalf("orders are %+v, want one to u02", orders)
	}
}

// TestAFloodMakesRoomOnFullEngines floods b while every engine is full with a.
func TestAFloodMakesRoomOnFullEngines(t *testing.T) {
	p := NewPlanner()
	rs := engines(6, 6)
	for i := range rs {
		rs[i].MaxLoaded = 1
	}
	demands := []Demand{
		{Version: "m@a", Slots: 8, MinReplicas: 2, MinDomains: 2},
		{Version: "m@b", Slots: 100},
	}
	for minute := range 30 {
		now := start.Add(time.Duration(minute) * time.Minute)
		for _, o := range p.Plan(Input{Replicas: rs, Demands: demands, Loads: 1}, now) {
			for i := range rs {
				if rs[i].Upstream != o.Upstream {
					continue
				}
				rs[i].Loaded = nil
				if o.Action == Load {
					rs[i].Loaded = []catalog.VersionName{o.Version}
				}
			}
		}
	}
	w := newWork(Input{Replicas: rs})
	a, b := w.slots("m@a"), w.slots("m@b")
	if a < 16 || b < 24 || a+b != 48 || len(w.domains("m@a")) < 2 {
		t.Fatalf("a has %v slots over %v, b has %v", a, w.domains("m@a"), b)
	}
}

// TestUnloadWaitsAndKeepsTheMinimum lets the demand fall and swing.
func TestUnloadWaitsAndKeepsTheMinimum(t *testing.T) {
	p := NewPlanner()
	rs := engines(6, 6)
	d := Demand{Version: "m@a", MinReplicas: 3, MinDomains: 3}
	unloaded := 0
	for minute := range 240 {
		d.Slots = 4
		if minute < 60 && minute%5 == 0 {
			d.Slots = 30 // a short peak each five minutes
		}
		now := start.Add(time.Duration(minute) * time.Minute)
		orders := p.Plan(Input{Replicas: rs, Demands: []Demand{d}}, now)
		if len(orders) > 0 && minute < 60 {
			t.Fatalf("orders %+v while the demand swings", orders)
		}
		for _, o := range orders {
			unloaded++
			var i int
			if _, err := fmt.Sscanf(o.Upstream, "u%d", &i); err != nil {
				t.Fatal(err)
			}
			rs[i].Loaded = nil
		}
	}
	w := newWork(Input{Replicas: rs})
	if unloaded != 3 || len(w.domains("m@a")) != 3 {
		t.Fatalf("%d unloaded, left %v", unloaded, w.domains("m@a"))
	}
}
