package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/crashwatch"
	"tarragonbay.example/tarragonbay/internal/eventlog"
	"tarragonbay.example/tarragonbay/internal/h1"
	"tarragonbay.example/tarragonbay/internal/peers"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/routetable"
)

// Limits of streams.
const (
	// maxEventBytes bounds one event.
	maxEventBytes = 256 << 10
	// firstEventTargets is how many times the route's target an upstream may take for the
	// first event before another is tried; minFirstEventWait is the minimum of that time.
	firstEventTargets = 1.5
	minFirstEventWait = 2 * time.Second
	// silenceShare is the share of the route's event timeout after which another upstream
	// continues the stream; the rest of the time is for that upstream.
	// Failed hosts are detected sooner, by their connections.
	silenceShare = 0.5
)

// maxSilence is how long an upstream may be silent before its first event, and between two
// events once started. Upstreams may pause under load or freeze for a moment, so while no
// other upstream can take the stream over, only the event timeout counts.
func maxSilence(route *routetable.Route, started, canMove bool) time.Duration {
	switch {
	case !canMove:
		return route.EventTimeout()
	case started:
		return time.Duration(silenceShare * float64(route.EventTimeout()))
	}
	return max(minFirstEventWait, time.Duration(firstEventTargets*float64(route.Target)))
}

// relay forwards one stream to the caller, from as many upstreams in turn as needed.
type relay struct {
	g *Gateway
	q *request
	w http.ResponseWriter
	// started is true once the response head was sent to the caller.
	started bool
	// outlastEnding keeps the end of all answers from ending this stream.
	outlastEnding func() bool
	// lastEventID is the id of the last forwarded event.
	lastEventID string
	events      int
	// bytes counts the forwarded bytes.
	bytes int
	// timeToFirst is the time from the last send to its first event.
	timeToFirst time.Duration
	// began is true once the last send has had the head of an answer, and attemptEvents
	// counts the events that it has had.
	// framed is true when the answer shows by itself that it is whole.
	began, framed bool
	attemptEvents int
	waiting       *crashwatch.Attempt
	// confidence is the model's own rating of the answer; negative when there is none.
	confidence int
	// idleBytes counts the bytes since the last event that showed progress.
	idleBytes int
	buffer    []byte
}

// errNoEvent means that a stream without a length ended right after its head, as when the
// upstream crashes there.
var errNoEvent = errors.New("the stream ended before its first event")

// errStrayHead means that the head of another answer follows an event.
var errStrayHead = errors.New("the head of another answer is in the stream")

// headStart begins the head of an answer. No field of an event is named like that.
var headStart = []byte("HTTP/1.")

// errPartialEvent means that maxEventBytes hold no complete event, or that the stream
// ended inside one.
var errPartialEvent = errors.New("the stream ended inside an event, or the event is too long")

// stream serves a request whose answer is a stream of events. Only complete events are
// forwarded. When an upstream breaks off, a resumable stream continues from another
// upstream within the same response.
func (g *Gateway) stream(w http.ResponseWriter, q *request) {
	r := &relay{g: g, q: q, w: w, lastEventID: q.call.ResumeAfter}
	o := g.attemptUpstreams(q, r.attempt)
	switch {
	case r.started && o.failure != nil:
		r.abort(o.failure)
	case r.started && o.answer != nil:
		r.abort(result.New(result.UpstreamFailed, "upstream %s answered the rest with status %d", o.from.up.ID, o.answer.status))
	case r.started:
		r.finish(o.from)
	case o.answer != nil:
		g.writeAnswer(w, q, o.from, o.answer)
	default:
		g.refuse(w, q, q.finalError(o.failure))
	}
}

// abort closes the connection of a stream that no upstream completes, because an
// incomplete answer must not look complete.
func (r *relay) abort(failure *result.Error) {
	r.g.counters.abortedStreams.Inc(1)
	r.g.log.Event(component, r.g.cutEvent("stream cut"), r.q.fields(r.g.stoppingField(), zap.Int("events", r.events), zap.String("lastEvent", r.lastEventID),
		zap.String("code", failure.Code.String()), zap.String("why", failure.Error()))...)
	panic(http.ErrAbortHandler)
}

// finish counts and logs a completed stream.
func (r *relay) finish(p selection) {
	g, q := r.g, r.q
	g.counters.answered.Inc(1)
	g.counters.answerTime.Observe(time.Since(q.arrived))
	g.log.Routine(component, "streamed", q.fields(zap.String("upstream", p.up.ID), zap.String("version", p.up.Version),
		zap.String("model", p.choice.Model), zap.Int("events", r.events),
		zap.Int("confidence", r.confidence), zap.Duration("expectedMs", p.choice.Expected),
		zap.Duration("firstMs", r.timeToFirst), zap.Int("promptTokens", q.promptTokens), zap.Int("sharedTokens", q.sharedTokens),
		q.promptField(), zap.Int("running", p.choice.Running))...)
}

// attempt relays the stream from one upstream. It returns an answer when the upstream
// itself reported a failure; that answer is passed on if no other attempt succeeds.
func (r *relay) attempt(p selection) (*answer, attemptResult, error) {
	g, q := r.g, r.q
	r.began, r.framed, r.attemptEvents = false, false, 0
	start := time.Now()
	s := g.loads.startSend(latencyGroup{q.service, p.choice.Model}, p.up.ID, p.choice)
	if g.gossip != nil {
		g.gossip.ReportRequest(peers.SentRequest{Upstream: p.up.ID, Domain: p.up.Domain, WorkMS: p.choice.WorkMS})
	}
	ctx, cancel := context.WithDeadline(q.in.Context(), q.deadline)
	defer cancel()
	waiting := g.crashes.await(q, cancel)
	r.waiting = waiting
	a, v, err := r.run(ctx, p, s, start)
	if !r.started {
		err = g.stopCause(err)
	}
	held := g.crashes.done(waiting)
	g.recordAttemptEnd(q, p, attemptEnd{verdict: v, err: err, began: r.began, framed: r.framed, events: r.attemptEvents})
	failed := (q.isUpstreamFault(v, err) && !held) || (a != nil && !a.restRequested)
	s.finish(failureWeight(v, failed), time.Now())
	switch {
	case a != nil:
		g.observeAnswer(q, p, a, v, start)
	case failed:
		g.suspectRestart(p.up)
	}
	if (v != answered && v != discarded) || failed {
		g.counters.failedAttempts.Inc(1)
		g.log.Event(component, "try failed", q.fields(append(g.attemptFields(p, v), q.promptField(), q.repeatField(), statusField(a), zap.Int("events", r.events),
			zap.Int("attemptEvents", r.attemptEvents), zap.Bool("began", r.began), eventlog.Error(err))...)...)
	}
	return a, v, err
}

func (r *relay) run(ctx context.Context, p selection, s *activeSend, start time.Time) (*answer, attemptResult, error) {
	g, q := r.g, r.q
	headCtx, cancelHead := context.WithCancel(ctx)
	defer cancelHead()
	if !r.started {
		r.outlastEnding = context.AfterFunc(g.ending, cancelHead)
		defer r.outlastEnding()
	}
	canMove := q.route.Repeats() && q.sent+1 < q.route.MaxAttempts
	silenceTimer := time.AfterFunc(maxSilence(q.route, r.started, canMove), cancelHead)
	defer silenceTimer.Stop()
	e, head, v, err := g.sendRequest(headCtx, q, p, r.lastEventID)
	if err != nil || v != answered {
		return nil, v, err
	}
	r.began, r.framed = true, e.Framed()
	r.confidence = head.Confidence
	resp := e.Response()
	if resp.StatusCode != http.StatusOK || !head.Sealed {
		body, err := e.ReadAll(maxAnswerBytes, q.reserveMemory)
		if err != nil {
			e.Abort()
			return nil, outcomeUnknown, err
		}
		e.Finish(g.pool, poolKey(p.up), head.KeepFor, time.Now())
		if !head.Sealed {
			return nil, outcomeUnknown, result.New(result.UpstreamFailed, "upstream %s sent no seal", p.up.ID)
		}
		return g.newAnswer(resp, head, body), answered, nil
	}
	so := newStreamObservation(g, q, p, start)
	if !r.started && g.escalate(q, p, head.Confidence, time.Now()) {
		e.Abort()
		so.recordEvent(time.Now())
		so.complete()
		return nil, discarded, nil
	}
	if err := r.copyEvents(e, s, silenceTimer, so); err != nil {
		e.Abort()
		if ctx.Err() == nil && headCtx.Err() != nil && (r.started || !g.answersDue()) {
			so.timedOut()
		}
		return nil, outcomeUnknown, err
	}
	if !r.started {
		r.writeHead(e)
	}
	e.Finish(g.pool, poolKey(p.up), head.KeepFor, time.Now())
	g.learnAnswerBytes(q, r.bytes)
	g.runTimes.learn(q.service, time.Since(start))
	return nil, answered, nil
}

// writeHead sends the response head of the first upstream to the caller.
func (r *relay) writeHead(e *h1.Exchange) {
	r.outlastEnding()
	h := r.w.Header()
	setHeaders(h, r.g.proto.ResponseHeaders(e.Response().Header))
	if r.g.stopping() {
		h.Set("Connection", "close")
	}
	r.w.WriteHeader(http.StatusOK)
	r.started = true
}

// copyEvents forwards complete events until the stream ends.
func (r *relay) copyEvents(e *h1.Exchange, s *activeSend, silenceTimer *time.Timer, so *streamObservation) error {
	g, q := r.g, r.q
	silence := maxSilence(q.route, true, q.mayTryNext(outcomeUnknown, time.Now()))
	r.idleBytes = 0
	flusher := http.NewResponseController(r.w)
	in := bufio.NewReaderSize(e, 2<<10)
	for n := 0; ; n++ {
		event, progress, err := r.nextEvent(in)
		if errors.Is(err, io.EOF) && n == 0 && r.lastEventID == "" && !e.Framed() {
			return errNoEvent
		}
		if errors.Is(err, io.EOF) {
			so.complete()
			return nil
		}
		if err != nil {
			return err
		}
		if progress {
			silenceTimer.Stop() // the time of a slow caller does not count as silence of the upstream
		}
		so.recordEvent(time.Now())
		r.attemptEvents++
		switch r.attemptEvents {
		case 1:
			g.crashes.done(r.waiting)
		case minClearingEvents:
			g.answered(q)
		}
		if n == 0 {
			s.promptDone()
			r.timeToFirst = time.Since(so.start)
			g.counters.firstEvent.Observe(time.Since(q.arrived))
		}
		if !r.started {
			r.writeHead(e)
		}
		if _, err := r.w.Write(event); err != nil {
			q.callerLost = true
			return err
		}
		if err := flusher.Flush(); err != nil {
			q.callerLost = true
			return err
		}
		r.events++
		r.bytes += len(event)
		if id := g.proto.EventID(event); id != "" {
			r.lastEventID = id
		}
		if progress {
			silenceTimer.Reset(silence)
		}
	}
}

// nextEvent reads the next event for the caller, including its blank line. progress is
// false when the event has no id though earlier events had one. Such events, and the
// blocks that are dropped here (comments and events that the caller already has), do not
// show that the upstream makes progress. io.EOF means that the stream ended between
// events.
func (r *relay) nextEvent(in *bufio.Reader) (event []byte, progress bool, err error) {
	for {
		block, err := r.readBlock(in, maxEventBytes-r.idleBytes)
		if err != nil {
			return nil, false, err
		}
		if bytes.HasPrefix(block, headStart) {
			return nil, false, errStrayHead
		}
		id := r.g.proto.EventID(block)
		if (id != "" && id != r.lastEventID) || (r.lastEventID == "" && hasField(block)) {
			r.idleBytes = 0
			return block, true, nil
		}
		r.idleBytes += len(block)
		if id == "" && hasField(block) {
			return block, false, nil
		}
	}
}

// hasField reports whether a block of lines holds more than comments.
func hasField(block []byte) bool {
	for line := range bytes.Lines(block) {
		if field := bytes.TrimRight(line, "\r\n"); len(field) > 0 && field[0] != ':' {
			return true
		}
	}
	return false
}

// readBlock reads lines up to a blank one, at most maxBytes bytes.
func (r *relay) readBlock(in *bufio.Reader, maxBytes int) ([]byte, error) {
	r.buffer = r.buffer[:0]
	for {
		line, err := in.ReadSlice('\n')
		if len(r.buffer)+len(line) > maxBytes {
			return nil, errPartialEvent
		}
		if !r.grow(len(line)) {
			return nil, errNoMemory
		}
		r.buffer = append(r.buffer, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(r.buffer) == 0:
			return nil, io.EOF
		case errors.Is(err, io.EOF):
			return nil, errPartialEvent
		case err != nil:
			return nil, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && endsLine(r.buffer, line) {
			return r.buffer, nil
		}
	}
}

// unreservedEventBytes is the size of the event buffer that a request in progress is charged
// for anyway.
const unreservedEventBytes = 4 << 10

// grow makes room in the event buffer; it reports whether there was memory for it.
func (r *relay) grow(n int) bool {
	need := len(r.buffer) + n
	if need <= cap(r.buffer) {
		return true
	}
	size := 2 * need
	if size > unreservedEventBytes && !r.q.reserveMemory(int64(size)) {
		return false
	}
	r.buffer = append(make([]byte, 0, size), r.buffer...)
	return true
}

// endsLine reports whether the blank line stands alone, not at the end of a
// longer line that filled the reader's buffer.
func endsLine(all, line []byte) bool {
	before := len(all) - len(line)
	return before == 0 || all[before-1] == '\n'
}
