package admission

import "slices"

// fairQueue is start-time fair queueing over the organisations: each is
// served in proportion to its weight times that of its priority class,
// counted in tokens asked for. Inside an organisation the lanes share alike.
type fairQueue struct {
	flows map[flowKey]*flow
	// backlog lists the flows with a queue.
	backlog []*flow
	// virtual is the start tag of the last request dispatched.
	virtual float64
	// cost is the work in all queues.
	cost float64
	orgs *organisations
}

// flowKey names a flow: an organisation's requests of one priority class.
type flowKey struct {
	organisation string
	priority     int
}

// flow is the running and waiting requests of one organisation and class.
type flow struct {
	*organisation
	key    flowKey
	name   string
	weight float64
	lanes  [lanes]lane
	// virtual is the start tag of the last request dispatched, among the
	// lanes; finish is the finish tag among the flows.
	virtual float64
	finish  float64
	running int
	waiting int
}

// lane is the queue of a flow's requests with like time to answer.
type lane struct {
	queue  []*waiter
	cost   float64
	finish float64

	runTime runTime
}

func (f *flow) lane(i int) *lane { return &f.lanes[i] }

// next returns the waiting lane with the least start tag, the more urgent on
// a tie; nil when none waits.
func (f *flow) next() *lane {
	var best *lane
	for i := range f.lanes {
		l := &f.lanes[i]
		if len(l.queue) == 0 {
			continue
		}
		if best == nil || max(f.virtual, l.finish) < max(f.virtual, best.finish) {
			best = l
		}
	}
	return best
}

// shareOf is the lane's part of the flow's rate while those that wait do.
func (f *flow) shareOf(l *lane) float64 {
	n := 1
	for i := range f.lanes {
		if o := &f.lanes[i]; o != l && len(o.queue) > 0 {
			n++
		}
	}
	return 1 / float64(n)
}

// longest is the lane with the most work in its queue.
func (f *flow) longest() *lane {
	best := &f.lanes[0]
	for i := range f.lanes {
		if f.lanes[i].cost > best.cost {
			best = &f.lanes[i]
		}
	}
	return best
}

func newFairQueue(orgs *organisations) fairQueue {
	return fairQueue{flows: map[flowKey]*flow{}, orgs: orgs}
}

// reconfigure takes over changed weights.
func (q *fairQueue) reconfigure() {
	for key, f := range q.flows {
		f.organisation = q.orgs.get(key.organisation)
		f.weight = f.organisation.weight * classWeight(key.priority)
		q.dropIdle(f)
	}
}

// flow returns the flow of the organisation and class, made when missing.
func (q *fairQueue) flow(name string, priority int) *flow {
	key := flowKey{name, priority}
	if f, ok := q.flows[key]; ok {
		return f
	}
	o := q.orgs.get(name)
	f := &flow{organisation: o, key: key, name: name, weight: o.weight * classWeight(priority)}
	q.flows[key] = f
	return f
}

// dropIdle forgets an idle flow of an organisation that is not configured, so
// that the flows stay bounded.
func (q *fairQueue) dropIdle(f *flow) {
	if !q.orgs.known(f.name) && f.running == 0 && f.waiting == 0 {
		delete(q.flows, f.key)
	}
}

func (q *fairQueue) push(w *waiter) {
	if w.flow.waiting == 0 {
		q.backlog = append(q.backlog, w.flow)
	}
	w.flow.waiting++
	w.lane.queue = append(w.lane.queue, w)
	w.lane.cost += w.cost
	q.cost += w.cost
}

// start is the start tag of the flow's next request.
func (q *fairQueue) start(f *flow) float64 { return max(q.virtual, f.finish) }

// pick returns the waiter with the least start tag; on a tie the one that
// came first.
func (q *fairQueue) pick() *waiter {
	var best *flow
	for _, f := range q.backlog {
		if best == nil || q.before(f, best) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	return best.next().queue[0]
}

func (q *fairQueue) before(a, b *flow) bool {
	if sa, sb := q.start(a), q.start(b); sa != sb {
		return sa < sb
	}
	if a.weight != b.weight {
		return a.weight > b.weight
	}
	return a.next().queue[0].ticket < b.next().queue[0].ticket
}

// dispatched takes the waiter off its queue and advances the tags.
func (q *fairQueue) dispatched(w *waiter) {
	f := w.flow
	q.virtual = q.start(f)
	f.finish = q.virtual + w.cost/f.weight
	f.virtual = max(f.virtual, w.lane.finish)
	w.lane.finish = f.virtual + w.cost
	q.remove(w)
}

func (q *fairQueue) remove(w *waiter) {
	f, l := w.flow, w.lane
	i := slices.Index(l.queue, w)
	if i < 0 {
		return
	}
	l.queue = slices.Delete(l.queue, i, i+1)
	l.cost -= w.cost
	q.cost -= w.cost
	f.waiting--
	if f.waiting == 0 {
		q.backlog = slices.DeleteFunc(q.backlog, func(o *flow) bool { return o == f })
	}
}

// all returns every waiter, in no order that matters.
func (q *fairQueue) all() []*waiter {
	var out []*waiter
	for _, f := range q.backlog {
		for i := range f.lanes {
			out = append(out, f.lanes[i].queue...)
		}
	}
	return out
}

// overShare returns the newest waiter of the longest lane of the flow that
// waits the most for its weight, the one to refuse when the queue is full.
func (q *fairQueue) overShare() *waiter {
	var worst *flow
	for _, f := range q.backlog {
		if worst == nil || float64(f.waiting)/f.weight > float64(worst.waiting)/worst.weight {
			worst = f
		}
	}
	l := worst.longest()
	return l.queue[len(l.queue)-1]
}

// shareOf is the part of the whole rate that the flow gets while every flow
// with a queue keeps one.
func (q *fairQueue) shareOf(f *flow) float64 {
	total := 0.0
	if f.waiting == 0 {
		total = f.weight
	}
	for _, o := range q.backlog {
		total += o.weight
	}
	return f.weight / total
}
