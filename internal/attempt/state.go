package attempt

import "tarragonbay.example/tarragonbay/internal/result"

// State is where an attempt stands at the agent.
type State uint8

// The states of an attempt. Forgotten is no state of a record: it is told
// when the registry holds none.
const (
	Forgotten State = iota
	// Received means the agent has the attempt and has not decided on it.
	Received
	// Admitted means the attempt holds a slot or waits for one.
	Admitted
	// Dispatched means bytes may have gone to the upstream.
	Dispatched
	// Finished means the attempt was dispatched and is over.
	Finished
	// Tombstoned means the attempt was not dispatched and never will be.
	Tombstoned
)

var stateNames = [...]string{"forgotten", "received", "admitted", "dispatched", "finished", "tombstoned"}

// String returns the wire form of the state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return stateNames[Forgotten]
}

// ParseState reads the wire form; anything else is Forgotten.
func ParseState(text string) State {
	for i, name := range stateNames {
		if name == text {
			return State(i)
		}
	}
	return Forgotten
}

// Settlement is the proven answer to "what became of this attempt".
type Settlement struct {
	Outcome result.Outcome
	State   State
}

// Running reports whether the attempt is in the upstream's hands now, so that
// its answer can be resumed.
func (s Settlement) Running() bool { return s.State == Dispatched }
