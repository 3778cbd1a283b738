package admission

import (
	"cmp"
	"slices"
)

// State is the state of a Controller in the state dump.
type State struct {
	// Limit is the number of requests that may run now across all targets.
	Limit    float64       `json:"limit"`
	Running  int           `json:"running"`
	Waiting  int           `json:"waiting"`
	Stopping bool          `json:"stopping,omitempty"`
	Targets  []TargetState `json:"targets"`
}

// TargetState is the queue and the limit of one version or service.
type TargetState struct {
	Target  string      `json:"target"`
	Limit   float64     `json:"limit"`
	Running int         `json:"running"`
	Waiting int         `json:"waiting"`
	Flows   []FlowState `json:"flows"`
}

// FlowState describes an organisation's requests of one priority class.
type FlowState struct {
	Organisation string  `json:"organisation"`
	Priority     int     `json:"priority"`
	Weight       float64 `json:"weight"`
	Running      int     `json:"running"`
	Waiting      int     `json:"waiting"`
}

// State returns the controller's state, targets and flows sorted by name.
func (c *Controller) State() State {
	s := State{
		Limit: c.limit(), Running: len(c.running), Waiting: len(c.waiting),
		Stopping: c.stopping, Targets: []TargetState{},
	}
	for _, st := range c.ordered {
		s.Targets = append(s.Targets, st.state())
	}
	slices.SortFunc(s.Targets, func(a, b TargetState) int { return cmp.Compare(a.Target, b.Target) })
	return s
}

// limit returns the number of requests that may run now across all targets.
func (c *Controller) limit() float64 {
	sum := 0.0
	for _, s := range c.ordered {
		sum += s.limit.bound()
	}
	if len(c.ordered) == 0 {
		sum = float64(c.settings.Limit)
	}
	return min(sum, float64(c.capacity))
}

func (s *targetQueue) state() TargetState {
	out := TargetState{
		Target: s.target, Limit: s.limit.bound(),
		Running: s.running, Waiting: s.waiting, Flows: []FlowState{},
	}
	for key, f := range s.fair.flows {
		out.Flows = append(out.Flows, FlowState{
			Organisation: key.organisation, Priority: key.priority, Weight: f.weight,
			Running: f.running, Waiting: f.waiting,
		})
	}
	slices.SortFunc(out.Flows, func(a, b FlowState) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Priority, b.Priority))
	})
	return out
}

// Counts returns the numbers of running and waiting requests.
func (c *Controller) Counts() (running, waiting int) { return len(c.running), len(c.waiting) }
