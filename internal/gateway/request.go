package gateway

import (
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/exchange"
	"tarragonbay.example/tarragonbay/internal/h1"
	"tarragonbay.example/tarragonbay/internal/intake"
	"tarragonbay.example/tarragonbay/internal/quarantine"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/routetable"
)

// request is one caller's request and its state in the gateway.
type request struct {
	in      *http.Request
	call    exchange.Call
	arrived time.Time
	// routeTable is the configuration that applies to the request from start to end.
	routeTable *routetable.Table
	route      *routetable.Route
	// org is the organisation that holds the caller's key; nil on anonymous routes.
	org     *routetable.Organisation
	service string
	body    h1.Body
	// deadline is when the caller stops waiting or the route's timeout ends.
	deadline time.Time
	// sent counts the upstreams to which the request was sent.
	sent int
	// sentAt is when the request was last sent.
	sentAt time.Time
	// content is the result of contentHash once that was called, features that of
	// crashFeatures.
	content  uint64
	features []quarantine.Feature
	// mayHaveRun is true once an upstream may have started to process the request.
	mayHaveRun     bool
	triedUpstreams map[string]bool
	// explained is true for a request that is only explained to an operator.
	explained bool
	// escalated is true once a small model's answer was discarded; the retry was charged
	// to the budget at that point.
	escalated bool
	// callerLost is true once the caller is known to have gone, for example by a failed
	// write.
	callerLost bool
	// conn admits what is held for the request; nil outside a listener.
	conn *intake.Conn
	// outOfMemory is true once there was no memory to hold an answer.
	outOfMemory bool
	// sharedTokens is the size of the prompt parts that other requests share, promptTokens
	// that of the whole prompt.
	sharedTokens, promptTokens int
	affinity                   string
}

// defaultTimeout applies to callers that send no deadline, on routes without a timeout.
const defaultTimeout = 30 * time.Second

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	q := &request{in: in, call: g.proto.Call(in.Header), arrived: time.Now(), triedUpstreams: map[string]bool{}, conn: intake.FromContext(in.Context())}
	q.setWriteDeadline(w, q.arrived.Add(defaultTimeout)) // replaces the deadline of the connection's last request
	g.counters.requests.Inc(1)
	if !g.conns.alive(in.Context()) {
		g.log.Event(component, "crossed a close", q.fields()...)
		panic(http.ErrAbortHandler)
	}
	if err := g.admit(w, q); err != nil {
		g.refuse(w, q, err)
		return
	}
	if q.route.Kind == routetable.Stream {
		g.stream(w, q)
		return
	}
	g.unary(w, q)
}

// writeGrace is how long after its deadline a caller may still take to read an answer that
// was ready.
const writeGrace = 5 * time.Second

// setWriteDeadline ends writes to the caller writeGrace after end. An error means that the
// connection is closed already, which the next write reports.
func (q *request) setWriteDeadline(w http.ResponseWriter, end time.Time) {
	_ = http.NewResponseController(w).SetWriteDeadline(end.Add(writeGrace))
}

// admit determines the route and the organisation and reads the body.
func (g *Gateway) admit(w http.ResponseWriter, q *request) *result.Error {
	q.routeTable = g.routeTable.Load()
	if q.routeTable == nil {
		return result.New(result.NoConfiguration, "this gateway has no configuration yet").WithRetryAfter(jitter(shortRetryDelay))
	}
	if n := q.routeTable.Limits().HeaderBytes; n > 0 && q.headBytes() > n {
		return result.New(result.HeadersTooLarge, "the headers are over %d bytes", n)
	}
	q.route = q.routeTable.Match(q.in.Host, q.in.URL.EscapedPath())
	if q.route == nil {
		if !g.configCurrent() {
			return g.staleConfigError("the route is not known here")
		}
		return result.New(result.NoSuchRoute, "no route matches the host and path")
	}
	if err := g.checkKey(q); err != nil {
		return err
	}
	if q.conn != nil && q.org != nil && !q.conn.Own(q.org.Name) {
		return result.New(result.NoRoom, "the organisation's requests hold too much already").WithRetryAfter(jitterUp(intake.RetryAfter))
	}
	q.setSize()
	if err := g.refuseWhileStopping(q, q.arrived); err != nil {
		return err
	}
	q.setWriteDeadline(w, q.deadline)
	return q.readBody(w)
}

// setSize sets the deadline, the service and the size of the prompt.
func (q *request) setSize() {
	budget := q.call.Budget
	if budget <= 0 {
		budget = defaultTimeout
	}
	if q.route.Timeout > 0 {
		budget = min(budget, q.route.Timeout)
	}
	q.deadline = q.arrived.Add(budget)
	q.service = q.route.Pick(rand.Float64())
	for i, p := range q.call.Prompt {
		q.promptTokens += p.Tokens
		if i < len(q.call.Prompt)-1 {
			q.sharedTokens += p.Tokens
			q.affinity = p.ID
		}
	}
	if q.promptTokens == 0 {
		q.promptTokens = q.call.PromptTokens
	}
}

// checkKey finds the organisation that holds the caller's key.
func (g *Gateway) checkKey(q *request) *result.Error {
	if q.route.Anonymous || !q.routeTable.RequiresKeys() {
		return nil
	}
	if !g.keysTrusted() {
		return g.staleConfigError("keys cannot be checked")
	}
	q.org = q.routeTable.OrganisationByKey(q.call.Key)
	if q.org != nil {
		return nil
	}
	if !g.configCurrent() {
		return g.staleConfigError("the key is not known here")
	}
	if q.call.Key == "" {
		return result.New(result.MissingKey, "a key is required")
	}
	return result.New(result.WrongKey, "the key belongs to no organisation")
}

// staleConfigError returns the error for a request that another gateway may be able to
// serve.
func (g *Gateway) staleConfigError(reason string) *result.Error {
	return result.New(result.StaleRevision, "the store has not been heard for too long: %s", reason).
		WithRetryAfter(jitter(shortRetryDelay))
}

// headBytes returns the size of the head: as it was sent, or as its parsed lines are usually
// written if that is less.
func (q *request) headBytes() int {
	in := q.in
	n := len(in.Method) + len(in.RequestURI) + len(in.Host)
	for k, vs := range in.Header {
		for _, v := range vs {
			n += len(k) + len(v) + 4 // colon, space and line end
		}
	}
	if q.conn != nil {
		n = min(n, q.conn.HeadBytes())
	}
	return n
}

// defaultMaxBodyBytes bounds a body where the configuration does not.
const defaultMaxBodyBytes = 8 << 20

// readBody reads the caller's body, until the request's deadline at most.
func (q *request) readBody(w http.ResponseWriter) *result.Error {
	if q.in.Body == nil || q.in.Body == http.NoBody {
		return nil
	}
	maxBytes := q.routeTable.Limits().BodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	conn := http.NewResponseController(w)
	if err := conn.SetReadDeadline(q.deadline); err != nil {
		return result.Wrap(err, result.CallerGone, "cannot set the read deadline of the body")
	}
	body, err := h1.ReadBody(http.MaxBytesReader(w, q.in.Body, maxBytes), min(q.in.ContentLength, maxBytes), math.MaxInt64, nil)
	if err == nil {
		err = conn.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return result.New(result.BodyTooLarge, "the body is over %d bytes", tooLarge.Limit)
	case errors.Is(err, intake.ErrNoRoom):
		return result.New(result.NoRoom, "there is no room for the body").WithRetryAfter(jitterUp(intake.RetryAfter))
	case err != nil:
		return result.Wrap(err, result.CallerGone, "the body is incomplete")
	}
	q.body = body
	return nil
}

// errNoMemory means that there was no memory to hold an answer.
var errNoMemory = errors.New("there is no room for the answer")

// reserveMemory admits memory for an answer to the request.
func (q *request) reserveMemory(bytes int64) bool {
	if q.conn == nil || q.conn.Reserve(bytes) {
		return true
	}
	q.outOfMemory = true
	return false
}

// timeLeft returns the time until the request's deadline.
func (q *request) timeLeft(now time.Time) time.Duration { return q.deadline.Sub(now) }

// callerGone reports whether the caller has closed its connection.
func (q *request) callerGone() bool { return q.callerLost || q.in.Context().Err() != nil }

// Urgencies as engines define them: 0 is the most urgent, 9 the least.
const (
	// rankSteps is the number of route ranks within each organisation rank.
	rankSteps = 3
	// defaultRank applies to callers without an organisation.
	defaultRank = 1
	maxUrgency  = 9
)

// urgency orders requests at an engine by the rank of the organisation, then by that of
// the route. It is negative for plain services.
func (q *request) urgency() int {
	if q.route.Kind != routetable.Stream {
		return -1
	}
	return q.rank()
}

// rank is the urgency regardless of the kind of the request.
func (q *request) rank() int {
	rank := defaultRank
	if q.org != nil && q.org.Rank >= 0 {
		rank = q.org.Rank
	}
	return min(maxUrgency, rank*rankSteps+min(q.route.Rank, rankSteps-1))
}

// Weights of the priority among requests of one service.
const (
	// rankWeight exceeds the size of any request in tokens.
	rankWeight = 1e7
	// outputTokenWeight is the work for an output token relative to a prompt token.
	outputTokenWeight = 10
)

// priority orders requests for scarce capacity: by rank, then by size.
func (q *request) priority() float64 {
	return rankWeight*float64(maxUrgency-q.rank()) + q.tokens()
}

// tokens is the size of a generation in tokens, weighted by their work.
func (q *request) tokens() float64 {
	return float64(q.promptTokens + outputTokenWeight*q.call.MaxTokens)
}

// fields returns the log fields common to all lines about the request.
func (q *request) fields(more ...zap.Field) []zap.Field {
	f := append(make([]zap.Field, 0, len(more)+7), zap.String("request", q.call.ID))
	if q.org != nil {
		f = append(f, zap.String("organisation", q.org.Name))
	}
	if q.route != nil {
		f = append(f, zap.String("route", q.route.Name))
	}
	if q.routeTable != nil {
		f = append(f, zap.Int64("configuration", q.routeTable.Version()))
	}
	f = append(f, zap.Duration("afterMs", time.Since(q.arrived)), zap.Int("sent", q.sent))
	return append(f, more...)
}

// maxLoggedParts bounds the prompt parts in one log line.
const maxLoggedParts = 8

// promptField returns the ids of the prompt's parts, in order.
func (q *request) promptField() zap.Field {
	if len(q.call.Prompt) == 0 {
		return zap.Skip()
	}
	ids := make([]string, 0, maxLoggedParts)
	for _, p := range q.call.Prompt[:min(len(q.call.Prompt), maxLoggedParts)] {
		ids = append(ids, p.ID)
	}
	return zap.Strings("parts", ids)
}

// repeatField identifies the request across its repeats by the caller, which have ids of
// their own.
func (q *request) repeatField() zap.Field {
	return zap.String("content", strconv.FormatUint(q.contentHash(), 16))
}

// contentHash is a hash of the method, path, organisation and body, which repeats by the
// caller share.
func (q *request) contentHash() uint64 {
	if q.content != 0 {
		return q.content
	}
	h := xxhash.New()
	for _, s := range []string{q.in.Method, q.in.Host, q.in.RequestURI, q.call.Key} {
		_, _ = h.WriteString(s) // never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = q.body.WriteTo(h)
	_, _ = h.Write([]byte{0})
	q.content = h.Sum64()
	return q.content
}
