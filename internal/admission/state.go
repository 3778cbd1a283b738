package admission

import (
	"cmp"
	"slices"
)

// State is what a Controller holds, for the state dump.
type State struct {
	Limit    float64     `json:"limit"`
	Running  int         `json:"running"`
	Waiting  int         `json:"waiting"`
	Stopping bool        `json:"stopping,omitempty"`
	Flows    []FlowState `json:"flows"`
}

// FlowState is one organisation's requests of one priority class.
type FlowState struct {
	Organisation string  `json:"organisation"`
	Priority     int     `json:"priority"`
	Weight       float64 `json:"weight"`
	Running      int     `json:"running"`
	Waiting      int     `json:"waiting"`
}

// State returns the controller's state, flows sorted by name and class.
func (c *Controller) State() State {
	s := State{
		Limit: c.limit.bound(), Running: len(c.running), Waiting: len(c.waiting),
		Stopping: c.stopping, Flows: []FlowState{},
	}
	for key, f := range c.fair.flows {
		s.Flows = append(s.Flows, FlowState{
			Organisation: key.organisation, Priority: key.priority, Weight: f.weight,
			Running: f.running, Waiting: f.waiting,
		})
	}
	slices.SortFunc(s.Flows, func(a, b FlowState) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Priority, b.Priority))
	})
	return s
}

// Counts returns the requests that run and that wait.
func (c *Controller) Counts() (running, waiting int) { return len(c.running), len(c.waiting) }
