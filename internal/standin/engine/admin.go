package engine

import (
	"encoding/json"
	"net/http"
)

// LoadReport is what the engine says about itself.
type LoadReport struct {
	InFlight int      `json:"inFlight"`
	Slots    int      `json:"slots"`
	Versions []string `json:"versions"`
	// Leaving is set some time before the engine goes away.
	Leaving bool `json:"leaving"`
}

// OrderRequest asks the engine to load or unload a version.
type OrderRequest struct {
	ID      string `json:"id"`
	Action  string `json:"action"`
	Version string `json:"version"`
	Fence   uint64 `json:"fence"`
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := LoadReport{InFlight: int(e.inFlight.Load()), Slots: e.slots, Leaving: e.behaviour.Leaving}
	for v := range e.versions {
		report.Versions = append(report.Versions, v)
	}
	e.mu.Unlock()
	writeJSON(w, report)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o OrderRequest
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, "bad JSON", http.StatusBadRequest)
		return
	}
	if !e.carryOut(o) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	writeJSON(w, o)
}

func (e *Engine) carryOut(o OrderRequest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checksFence && o.Fence < e.fence {
		return false
	}
	e.fence = max(e.fence, o.Fence)
	switch o.Action {
	case "load":
		e.versions[o.Version] = true
	case "unload":
		delete(e.versions, o.Version)
	}
	e.orders = append(e.orders, Order(o))
	return true
}

func (e *Engine) listRuns(w http.ResponseWriter, _ *http.Request)   { writeJSON(w, e.Runs()) }
func (e *Engine) listOrders(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Orders()) }

func (e *Engine) setBehaviour(w http.ResponseWriter, r *http.Request) {
	var b Behaviour
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, "bad JSON", http.StatusBadRequest)
		return
	}
	e.SetBehaviour(b)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		http.Error(w, "cannot encode", http.StatusInternalServerError)
	}
}
