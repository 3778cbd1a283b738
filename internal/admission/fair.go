package admission

import "slices"

// fairQueue implements start-time fair queueing of flows. Each flow is served, by
// the cost of its requests, in proportion to the organisation's weight times the
// weight of the priority class. The lanes of a flow get equal shares.
type fairQueue struct {
	flows map[flowKey]*flow
	// backlog lists the flows with waiting requests.
	backlog []*flow
	// virtual is the start tag of the last request dispatched.
	virtual float64
	// cost is the total cost of the waiting requests.
	cost float64
	orgs *organisations
	// weight overrides the weights of flows; see Pace.Weight. It may be nil.
	weight func(organisation string, priority int) float64
}

// flowKey identifies a flow: an organisation's requests of one priority class.
type flowKey struct {
	organisation string
	priority     int
}

// flow holds the running and waiting requests of one organisation and priority class.
type flow struct {
	*organisation
	key    flowKey
	name   string
	weight float64
	lanes  [lanes]lane
	// virtual is the start tag of the last dispatched request in the fair
	// queueing among the lanes. finish is the flow's finish tag among the flows.
	virtual float64
	finish  float64
	running int
	waiting int
}

// lane is the queue of a flow's requests with a similar time to their deadlines.
// cost is the total cost of the queue, finish the lane's finish tag.
type lane struct {
	queue  []*waiter
	cost   float64
	finish float64

	runTime runTime
}

func (f *flow) lane(i int) *lane { return &f.lanes[i] }

// nextLane returns the non-empty lane with the lowest start tag, on a tie the one
// with the shorter budget; nil if all lanes are empty.
func (f *flow) nextLane() *lane {
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

// shareOf returns the lane's share of the flow's rate as long as the other lanes with
// waiting requests keep some.
func (f *flow) shareOf(l *lane) float64 {
	n := 1
	for i := range f.lanes {
		if o := &f.lanes[i]; o != l && len(o.queue) > 0 {
			n++
		}
	}
	return 1 / float64(n)
}

// longestLane returns the lane with the highest total cost in its queue.
func (f *flow) longestLane() *lane {
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

// reconfigure applies changed organisations and weights.
func (q *fairQueue) reconfigure() {
	for key, f := range q.flows {
		f.organisation = q.orgs.get(key.organisation)
		f.weight = q.weightOf(f.organisation, key)
		q.dropIdle(f)
	}
}

// flow returns the flow of the organisation and priority class, and creates it if
// missing.
func (q *fairQueue) flow(name string, priority int) *flow {
	key := flowKey{name, priority}
	if f, ok := q.flows[key]; ok {
		return f
	}
	o := q.orgs.get(name)
	f := &flow{organisation: o, key: key, name: name, weight: q.weightOf(o, key)}
	q.flows[key] = f
	return f
}

// minFlowWeight keeps a flow without a weight of its own from being starved.
const minFlowWeight = 1e-3

func (q *fairQueue) weightOf(o *organisation, key flowKey) float64 {
	if q.weight != nil {
		return max(minFlowWeight, q.weight(key.organisation, key.priority))
	}
	return o.weight * classWeight(key.priority)
}

// dropIdle removes an idle flow of an organisation that is not configured, so
// that the number of flows stays bounded.
func (q *fairQueue) dropIdle(f *flow) {
	if !q.orgs.isConfigured(f.name) && f.running == 0 && f.waiting == 0 {
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

// start returns the start tag of the flow's next request.
func (q *fairQueue) start(f *flow) float64 { return max(q.virtual, f.finish) }

// pick returns the waiting request to dispatch next, that of the flow with the
// lowest start tag, or nil; see precedes for ties.
func (q *fairQueue) pick() *waiter {
	var best *flow
	for _, f := range q.backlog {
		if best == nil || q.precedes(f, best) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	return best.nextLane().queue[0]
}

// precedes reports whether flow a is served before flow b: by lower start tag, then
// higher weight, then the earlier ticket.
func (q *fairQueue) precedes(a, b *flow) bool {
	if sa, sb := q.start(a), q.start(b); sa != sb {
		return sa < sb
	}
	if a.weight != b.weight {
		return a.weight > b.weight
	}
	return a.nextLane().queue[0].ticket < b.nextLane().queue[0].ticket
}

// dispatched removes the request from its queue and advances the tags.
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

// all returns all waiting requests in no particular order.
func (q *fairQueue) all() []*waiter {
	var out []*waiter
	for _, f := range q.backlog {
		for i := range f.lanes {
			out = append(out, f.lanes[i].queue...)
		}
	}
	return out
}

// mostOverShare returns the request to refuse when the queue is full: the newest in
// the longest lane of the flow with the most waiting requests relative to its
// weight.
func (q *fairQueue) mostOverShare() *waiter {
	var worst *flow
	for _, f := range q.backlog {
		if worst == nil || float64(f.waiting)/f.weight > float64(worst.waiting)/worst.weight {
			worst = f
		}
	}
	l := worst.longestLane()
	return l.queue[len(l.queue)-1]
}

// shareOf returns the flow's share of the total rate as long as every flow with
// waiting requests keeps some.
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
