package entry

import "tarragonbay.example/tarragonbay/internal/callerapi"

// guarded runs the call.
func (r *serviceRun) guarded() (callerapi.ServiceAnswer, error) {
	answer, failure := r.attempts()
	if failure != nil {
		return callerapi.ServiceAnswer{}, failure
	}
	return answer, nil
}
