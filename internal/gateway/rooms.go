package gateway

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/admission"
	"tarragonbay.example/tarragonbay/internal/capacity"
	"tarragonbay.example/tarragonbay/internal/fairshare"
	"tarragonbay.example/tarragonbay/internal/fleet"
	"tarragonbay.example/tarragonbay/internal/peers"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/routetable"
)

// rooms holds what this gateway knows about the capacity of plain services, and the queue
// of requests that wait for it. Engines queue by urgency themselves.
type rooms struct {
	queue *admission.Limiter

	mu       sync.Mutex
	services map[string]*room
}

// room is the state of one plain service.
type room struct {
	keeper      fairshare.Keeper
	serviceTime capacity.ServiceTime
	updatedAt   time.Duration
	// demand and estimated are the demand over all gateways and the capacity, in requests
	// a second, as of the last division.
	demand, estimated float64
	division          fairshare.Division
}

const (
	// roomUpdateInterval is the interval between two divisions of a service's capacity,
	// half of a round of gossip.
	roomUpdateInterval = 100 * time.Millisecond
	// maxRoomQueue bounds the requests that wait at this gateway.
	maxRoomQueue = 256
	// maxRoomWait bounds the wait of a request on a route without a target.
	maxRoomWait = time.Second
	// spareShare is the share of a route's target, less the service time, that a request
	// may wait for room. The rest is for the upstream's own queue.
	spareShare = 0.5
	// burstShare is the same for the requests that a gateway may send at once after a pause.
	burstShare = 0.25
	// idleShare is the share of its slots up to which an upstream is taken to have run a
	// request at once: other gateways' latest requests are not known yet.
	idleShare = 0.5
	// unboundedRunning leaves the bound on running requests to the pace.
	unboundedRunning = 1 << 20
)

func newRooms() *rooms {
	controller := admission.NewController(admission.Settings{
		Limit: unboundedRunning, MinLimit: unboundedRunning, MaxLimit: unboundedRunning,
		Queue: maxRoomQueue, MaxWait: maxRoomWait, WeightsOnly: true,
	})
	return &rooms{queue: admission.NewLimiter(controller, time.Now), services: map[string]*room{}}
}

// room returns the state of a service. The caller holds r.mu.
func (r *rooms) room(service string) *room {
	s := r.services[service]
	if s == nil {
		s = &room{}
		r.services[service] = s
	}
	return s
}

// peek returns the state of a service without creating it. The caller holds r.mu.
func (r *rooms) peek(service string) *room {
	if s := r.services[service]; s != nil {
		return s
	}
	return &room{}
}

// serviceTime returns the learned time of a request at an upstream with a free slot.
func (r *rooms) serviceTime(service string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peek(service).serviceTime.Mean()
}

// contended reports whether the capacity of a service is divided.
func (r *rooms) contended(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peek(service).keeper.Contended()
}

// demands returns the demand by flow for services whose capacity is divided.
func (r *rooms) demands(now time.Duration) map[string]fairshare.Demands {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]fairshare.Demands{}
	for service, s := range r.services {
		if s.keeper.Contended() {
			out[service] = s.keeper.Demands(now)
		}
	}
	return out
}

// flow returns the organisation and urgency of a request.
func (q *request) flow() fairshare.Flow {
	f := fairshare.Flow{Rank: uint8(q.rank())}
	if q.org != nil {
		f.Organisation = peers.Hash(q.org.Name)
	}
	return f
}

// waitForRoom waits until there is room for a request of an organisation that asks for more
// than its share of a service's capacity. It returns at once for all others, and while
// demand does not near the capacity. done must be called when the request has ended.
func (g *Gateway) waitForRoom(q *request) (done func(), refusal *result.Error) {
	if !g.settings().FairShares {
		return func() {}, nil
	}
	now := time.Now()
	flow := q.flow()
	each, held := g.updateRoom(q, flow, now)
	if !held {
		return func() {}, nil
	}
	ctx, cancel := context.WithCancel(q.in.Context())
	defer cancel()
	defer context.AfterFunc(g.ending, cancel)()
	permit, err := g.rooms.queue.Acquire(ctx, &admission.Request{
		Organisation: organisationName(flow), Target: q.service, Priority: int(flow.Rank), Deadline: q.deadline,
		MaxWait: roomPatience(q.route, each),
	})
	if err != nil {
		if stopping := g.refuseWhileStopping(q, time.Now()); stopping != nil && !q.callerGone() {
			return nil, stopping
		}
		return nil, g.refuseForRoom(q, err)
	}
	waited := time.Since(now)
	g.counters.roomWait.Observe(waited)
	if waited > roomUpdateInterval/10 {
		g.log.Routine(component, "waited for room", q.fields(append(g.rooms.fields(q.service), zap.Duration("waitedMs", waited))...)...)
	}
	return func() { permit.Release(admission.Feedback{}) }, nil
}

// refuseForRoom returns the refusal of a request for which there is no room in time.
func (g *Gateway) refuseForRoom(q *request, err error) *result.Error {
	var e *result.Error
	if !errors.As(err, &e) {
		return result.Wrap(err, result.Internal, "the queue failed")
	}
	if e.Code == result.CallerGone {
		return e
	}
	g.counters.roomRefusals.Inc(1)
	g.log.Routine(component, "no room", q.fields(g.rooms.fields(q.service)...)...)
	return roomRefusal(q, e)
}

// roomRefusal returns what the caller is told.
func roomRefusal(q *request, e *result.Error) *result.Error {
	return result.Wrap(e, result.QueueFull, "%s is at its capacity: %s", q.service, e.Message).
		WithRetryAfter(jitterUp(max(e.RetryAfter, minRetryDelay)))
}

// flowName identifies a flow in the queue.
type flowName struct {
	organisation string
	priority     int
}

// organisationName returns the name of a flow's organisation in the queue.
func organisationName(f fairshare.Flow) string { return strconv.FormatUint(uint64(f.Organisation), 36) }

// roomPatience returns how long a request of the route may wait for room.
func roomPatience(route *routetable.Route, each time.Duration) time.Duration {
	if route.Target <= 0 {
		return maxRoomWait
	}
	return max(minAttemptTime, time.Duration(spareShare*float64(route.Target-each)))
}

// updateRoom counts the request and divides the service's capacity anew if that is due. It
// returns the time of a request and whether the flow is held to its share.
func (g *Gateway) updateRoom(q *request, flow fairshare.Flow, now time.Time) (each time.Duration, held bool) {
	at := now.Sub(processStart)
	g.rooms.mu.Lock()
	s := g.rooms.room(q.service)
	s.keeper.Observe(flow, at)
	each, known := s.serviceTime.Mean()
	due := known && at-s.updatedAt >= roomUpdateInterval
	if due {
		s.updatedAt = at
	}
	g.rooms.mu.Unlock()
	if due {
		g.divideRoom(q, each, now)
	}
	return each, g.rooms.holds(q.service, flow)
}

// holds reports whether a flow is held to its share.
func (r *rooms) holds(service string, flow fairshare.Flow) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, held := r.peek(service).division.Held[flow]
	return held
}

// divideRoom divides the capacity of the request's service.
func (g *Gateway) divideRoom(q *request, each time.Duration, now time.Time) {
	estimated := capacity.PerSecond(g.plainUpstreams(q.service, now), each)
	var known fairshare.Room
	if g.gossip != nil {
		known.Peers, known.Unspecified = g.gossip.Peers.FlowDemands(q.service, now)
	}
	g.rooms.mu.Lock()
	s := g.rooms.room(q.service)
	known.Own = s.keeper.Demands(now.Sub(processStart))
	s.demand, s.estimated = known.Demand(), estimated
	changed := s.keeper.Update(s.demand, estimated, now.Sub(processStart))
	contended := s.keeper.Contended()
	s.division = fairshare.Division{}
	if contended {
		known.Capacity = s.keeper.Capacity(estimated)
		s.division = fairshare.Divide(known)
	}
	pace := s.pace(q.route, each)
	g.rooms.mu.Unlock()
	if changed || contended {
		g.rooms.queue.SetPace(q.service, pace)
	}
	if changed {
		event := "capacity divided"
		if !contended {
			event = "capacity suffices"
		}
		g.log.Event(component, event, append(g.rooms.fields(q.service), zap.Duration("eachMs", each))...)
	}
}

// minRoomRate is the least rate of a gateway with held flows, in requests a second.
const minRoomRate = 0.1

// pace returns the pace at which this gateway admits requests of held flows.
func (s *room) pace(route *routetable.Route, each time.Duration) admission.Pace {
	held := s.division.Held
	if len(held) == 0 {
		return admission.Pace{}
	}
	perSecond := max(minRoomRate, s.division.PerSecond)
	shares := make(map[flowName]float64, len(held))
	for f, v := range held {
		shares[flowName{organisationName(f), int(f.Rank)}] = v
	}
	return admission.Pace{
		PerSecond: perSecond, Burst: perSecond * burstShare * max(0, route.Target-each).Seconds(),
		Weight: func(organisation string, priority int) float64 { return shares[flowName{organisation, priority}] },
	}
}

// plainUpstreams returns what is known about the upstreams that may take requests of a
// plain service.
func (g *Gateway) plainUpstreams(service string, now time.Time) []capacity.Upstream {
	view := g.fleet.Load()
	if view == nil {
		return nil
	}
	var open []fleet.Upstream
	open, _ = g.notices.Available(g.drainedDomains.Load().Open(view.byService[service], now), now)
	loads := g.loads.snapshot(open, now)
	out := make([]capacity.Upstream, len(loads))
	for i, l := range loads {
		out[i] = capacity.Upstream{Slots: l.Slots, FailureScore: l.FailureScore}
	}
	return out
}

// observeRoom learns from the end of an attempt at a plain service.
func (g *Gateway) observeRoom(q *request, p selection, v attemptResult, took time.Duration) {
	if v != answered && v != notRun {
		return
	}
	g.rooms.mu.Lock()
	defer g.rooms.mu.Unlock()
	s := g.rooms.room(q.service)
	if v == answered && float64(p.choice.Running) <= idleShare*float64(p.choice.Slots) {
		s.serviceTime.Learn(took)
	}
	each, known := s.serviceTime.Mean()
	if known {
		s.keeper.ObserveAnswer(fairshare.Answer{TurnedAway: v == notRun, Took: took, Usual: each, Longest: q.route.Target}, time.Since(processStart))
	}
}

// chargeRepeat counts a repeat against this gateway's part of the capacity.
func (g *Gateway) chargeRepeat(q *request) {
	if q.route.Kind != routetable.Stream && g.rooms.holds(q.service, q.flow()) {
		g.rooms.queue.Charge(q.service)
	}
}

// plainWorkMS returns the expected time of a request at a plain service.
func (g *Gateway) plainWorkMS(service string) float64 {
	if each, ok := g.rooms.serviceTime(service); ok && g.settings().FairShares {
		return float64(each) / float64(time.Millisecond)
	}
	return plainRequestMS
}

// fields returns what decided on the division of a service's capacity.
func (r *rooms) fields(service string) []zap.Field {
	r.mu.Lock()
	s := r.room(service)
	fields := []zap.Field{
		zap.String("service", service), zap.Float64("demand", s.demand), zap.Float64("capacity", s.estimated),
		zap.Float64("divided", s.keeper.Capacity(s.estimated)), zap.Int("held", len(s.division.Held)), zap.Float64("share", s.division.PerSecond),
	}
	r.mu.Unlock()
	_, waiting := r.queue.Counts()
	return append(fields, zap.Int("waiting", waiting))
}

// prune forgets services that are no longer configured.
func (r *rooms) prune(t *routetable.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.services {
		if t.Service(name) == nil {
			delete(r.services, name)
		}
	}
}

// RoomState is the division of a service's capacity in the state dump, in requests a second.
type RoomState struct {
	Contended bool          `json:"contended"`
	Demand    float64       `json:"demand"`
	Capacity  float64       `json:"capacity"`
	Share     float64       `json:"share"`
	Each      time.Duration `json:"eachNanos"`
}

// dump returns the state of all services.
func (r *rooms) dump() map[string]RoomState {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]RoomState, len(r.services))
	for name, s := range r.services {
		each, _ := s.serviceTime.Mean()
		out[name] = RoomState{s.keeper.Contended(), s.demand, s.estimated, s.division.PerSecond, each}
	}
	return out
}
