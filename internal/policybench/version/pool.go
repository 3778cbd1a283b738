package version

import (
	"slices"
	"time"

	"tarragonbay.example/tarragonbay/internal/enginemodel"
)

// replica serves one version on one host of a failure domain.
type replica struct {
	domain  int
	busy    int
	up      bool
	running []*running
}

// running is a job on a replica.
type running struct {
	job  job
	lost bool
}

// job is one answer to be made.
type job struct {
	service time.Duration
	// drop is asked before the job starts; it is true for one that nobody
	// waits for any more.
	drop func() bool
	// done is called with the outcome: false when the replica was lost.
	done func(ok bool)
}

// pool is all replicas of one version with one queue in front.
type pool struct {
	clock    *enginemodel.Clock
	slots    int
	replicas []replica
	queue    []job
}

// queueFactor bounds the queue to a multiple of the slots.
const queueFactor = 2

func newPool(c *enginemodel.Clock, s *site) *pool {
	p := &pool{clock: c, slots: s.slots}
	for i := range s.replicas {
		p.replicas = append(p.replicas, replica{domain: i % domains, up: true})
	}
	return p
}

// capacity returns the number of slots that are up.
func (p *pool) capacity() int {
	n := 0
	for i := range p.replicas {
		if p.replicas[i].up {
			n += p.slots
		}
	}
	return n
}

// full reports whether the queue takes no more.
func (p *pool) full() bool { return len(p.queue) >= queueFactor*p.capacity() }

// idle reports whether a slot is free.
func (p *pool) idle() bool { return len(p.queue) == 0 && p.leastBusy() >= 0 }

// wait returns how long a job submitted now would wait: what is queued, and
// half of what runs, spread over the slots.
func (p *pool) wait() time.Duration {
	if p.idle() {
		return 0
	}
	var work time.Duration
	for i := range p.queue {
		work += p.queue[i].service
	}
	for i := range p.replicas {
		for _, run := range p.replicas[i].running {
			work += run.job.service / 2
		}
	}
	return work / time.Duration(max(1, p.capacity()))
}

// submit starts or queues a job. It reports false when the queue is full.
func (p *pool) submit(j job) bool {
	if i := p.leastBusy(); i >= 0 && len(p.queue) == 0 {
		p.start(i, j)
		return true
	}
	if p.full() {
		return false
	}
	p.queue = append(p.queue, j)
	return true
}

// leastBusy returns the replica with the most free slots, or -1.
func (p *pool) leastBusy() int {
	best := -1
	for i := range p.replicas {
		r := &p.replicas[i]
		if !r.up || r.busy >= p.slots {
			continue
		}
		if best < 0 || r.busy < p.replicas[best].busy {
			best = i
		}
	}
	return best
}

func (p *pool) start(i int, j job) {
	r := &p.replicas[i]
	run := &running{job: j}
	r.busy++
	r.running = append(r.running, run)
	p.clock.After(j.service, func() {
		if run.lost {
			return
		}
		r.busy--
		r.running = slices.DeleteFunc(r.running, func(x *running) bool { return x == run })
		j.done(true)
		p.next()
	})
}

// lose takes a replica away with all that runs on it.
func (p *pool) lose(i int) {
	r := &p.replicas[i]
	lost := r.running
	r.up, r.busy, r.running = false, 0, nil
	for _, run := range lost {
		run.lost = true
		run.job.done(false)
	}
}

// restore brings a replica back.
func (p *pool) restore(i int) {
	p.replicas[i].up = true
	p.next()
}

// next starts queued jobs while there are free slots.
func (p *pool) next() {
	for len(p.queue) > 0 {
		i := p.leastBusy()
		if i < 0 {
			return
		}
		j := p.queue[0]
		p.queue = p.queue[1:]
		if !j.drop() {
			p.start(i, j)
		}
	}
}
