package main

// mostLost is how many requests the rule LOST lets pass.
const mostLost = 3

// checkLost checks the rule LOST: a machine passes a request from a kept connection on to a
// sound replica and closes that connection without an answer, more than three times. The
// machine is in touch: a process that ends by itself counts as running.
func (st *Stage) checkLost(all []answerOf) int {
	ran := map[string]bool{}
	for _, r := range st.allRuns() {
		ran[r.id] = true
	}
	lost := 0
	for _, a := range all {
		if a.err != nil && a.kept && a.status == 0 && ran[a.id] {
			lost++
			st.log("LOST: %s %s was passed on and had no answer: %v", a.what, a.id, a.err)
		}
	}
	st.log("LOST: %d requests, %d are allowed", lost, mostLost)
	if lost > mostLost {
		return broken
	}
	return held
}
