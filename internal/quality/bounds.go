package quality

import "math"

// Wilson returns the bounds of the Wilson score interval for good successes
// out of n trials, which need not be whole numbers. With no trials it returns
// 0 and 1.
//
// Callers read the bounds repeatedly while ratings arrive, for which Wilson's
// interval does not hold its nominal coverage. That is acceptable here: a wrong
// choice produces further ratings, which correct it. Withdrawals, which nothing
// corrects, use the anytime-valid test of package rollout.
func Wilson(good, n, z float64) (low, high float64) {
	if n <= 0 {
		return 0, 1
	}
	p := good / n
	z2 := z * z
	centre := p + z2/(2*n)
	spread := z * math.Sqrt(p*(1-p)/n+z2/(4*n*n))
	scale := 1 + z2/n
	return max(0, (centre-spread)/scale), min(1, (centre+spread)/scale)
}
