package placement

import "time"

// noShortageFactor multiplies the minimum saving while the mean backlog of the own domain
// does not exceed that of the other by as much.
const noShortageFactor = 5

// domainBacklogs returns the mean backlog of the upstreams of each failure domain, in
// milliseconds.
func domainBacklogs(j Job, loads []Load) map[string]float64 {
	if j.MinSaving <= 0 {
		return nil
	}
	sums, counts := map[string]float64{}, map[string]float64{}
	for _, l := range loads {
		sums[l.Domain] += l.UnreadMS + runningDelayMS*float64(l.Running)
		counts[l.Domain]++
	}
	for d := range sums {
		sums[d] /= counts[d]
	}
	return sums
}

// leaveMS returns the penalty in milliseconds for sending the job to an upstream of
// another failure domain. It answers a domain that is short beside others that are not:
// what a request must save is paid by the difference of waiting times. Where the domain as
// a whole is no worse off than the other, single upstreams that seem idle are mostly news
// that others have acted on already, and two domains would swap their work; then much more
// must be saved.
func (j Job) leaveMS(l Load) float64 {
	if j.MinSaving <= 0 {
		return 0
	}
	least := float64(j.MinSaving) / float64(time.Millisecond)
	home, ok := j.backlogs[j.Domain]
	if ok && home-j.backlogs[l.Domain] < least {
		least *= noShortageFactor
	}
	return least
}
