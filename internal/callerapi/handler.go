package callerapi

import (
	"context"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/settings"
	"tarragonbay.example/tarragonbay/internal/telemetry"
)

// Options are what a handler needs.
type Options struct {
	Router Router
	// Set returns the configuration in force, or nil before the first.
	Set      func() *catalog.Set
	Limits   settings.Limits
	Timeouts settings.Timeouts
	// Metrics and Log may be nil.
	Metrics *telemetry.Metrics
	Log     *zap.Logger
	// Now and NewID may be nil for the system clock and UUIDs of version 7,
	// whose time the ledger files a request under.
	Now   func() time.Time
	NewID func() string
}

// handler serves callers. All of its methods are safe for concurrent use.
type handler struct {
	Options
	index   indexCache
	running atomic.Int64
	// bodyBytes is the memory that request bodies hold now.
	bodyBytes atomic.Int64

	requests metrics.Counter
	failures metrics.Counter
	duration *telemetry.Timer
}

// part is the name in logs and metrics.
const part = "callerapi"

// fullRetry is the advice to a caller when every place is taken.
const fullRetry = time.Second

// NewHandler returns the handler for callers.
func NewHandler(o Options) http.Handler {
	if o.Metrics == nil {
		o.Metrics = telemetry.NewMetrics()
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.NewID == nil {
		o.NewID = func() string { return uuid.Must(uuid.NewV7()).String() }
	}
	h := &handler{
		Options:  o,
		requests: o.Metrics.Counter(part, "requests"),
		failures: o.Metrics.Counter(part, "failures"),
		duration: o.Metrics.Timer(part, "request"),
	}
	o.Metrics.GaugeFunc(part, "requests_running", h.running.Load)
	o.Metrics.GaugeFunc(part, "body_bytes", h.bodyBytes.Load)
	return h
}

// request is one request on its way through the handler.
type request struct {
	*http.Request
	w *writer
	// callerID is the ID that the caller sent and gets back; id is the
	// product's own, which no two requests share.
	callerID string
	id       string

	org   string
	index *index
	// reserved is the share of the handler's bodyBytes held by this request.
	reserved int64
}

// ServeHTTP serves one request.
func (h *handler) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	began := h.Now()
	h.requests.Inc(1)
	defer func() { h.duration.Observe(h.Now().Sub(began)) }()
	w := &writer{ResponseWriter: rw, ctl: http.NewResponseController(rw), timeout: h.Timeouts.Write, now: h.Now}
	req := &request{Request: r, w: w}
	defer h.recoverPanic(req)
	h.boundReading(w)
	if e := h.serve(req); e != nil {
		h.fail(req, e)
	}
}

// recoverPanic turns a panic into an error for the caller, when the answer has
// not begun, and keeps the process.
func (h *handler) recoverPanic(req *request) {
	v := recover()
	if v == nil {
		return
	}
	h.Log.Error("Request panicked.", zap.String("request", req.id), zap.Any("panic", v), zap.Stack("stack"))
	failure := result.New(result.Internal, "internal error")
	h.count(req, failure)
	if req.w.Header().Get("Content-Type") != "" {
		panic(http.ErrAbortHandler) // cuts the connection, so the answer is not taken for whole
	}
	req.w.extend()
	writeError(req.w, failure, "", req.callerID)
}

// count records a failure, in all and by its code.
func (h *handler) count(req *request, e *result.Error) {
	h.failures.Inc(1)
	h.Metrics.Counter(part, "failed_"+e.Code.Info().Name).Inc(1)
	if e.Code == result.Internal {
		h.Log.Error("Request failed.", zap.String("request", req.id), zap.Error(e))
	}
}

func (h *handler) fail(req *request, e *fieldError) {
	h.count(req, e.err)
	req.w.extend()
	writeError(req.w, e.err, e.param, req.callerID)
}

// plain makes a refusal that is about no field.
func plain(code result.Code, format string, args ...any) *fieldError {
	return &fieldError{err: result.New(code, format, args...)}
}

func (h *handler) serve(req *request) *fieldError {
	if e := h.identify(req); e != nil {
		return e
	}
	if headerSize(req.Header) > h.Limits.HeaderBytes {
		return plain(result.HeadersTooLarge, "the headers are larger than %d bytes", h.Limits.HeaderBytes)
	}
	if n := h.running.Add(1); n > int64(h.Limits.InFlight+h.Limits.QueueLength) {
		h.running.Add(-1)
		e := result.New(result.QueueFull, "every place is taken").WithRetryAfter(fullRetry)
		return &fieldError{err: e}
	}
	defer h.running.Add(-1)
	defer h.releaseBody(req)
	route, e := h.route(req)
	if e != nil {
		return e
	}
	if e := h.authenticate(req); e != nil {
		return e
	}
	return route(req)
}

var requestIDRE = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,64}$`)

// identify gives the request its IDs. The ID that a caller sends is echoed,
// but callers repeat IDs, so the product's own adds a random part.
func (h *handler) identify(req *request) *fieldError {
	req.id = h.NewID()
	req.callerID = req.id
	sent := req.Header.Get(headerID)
	if sent != "" && !requestIDRE.MatchString(sent) {
		return badField(headerID, "must be 1 to 64 of letters, digits, '.', '_', ':', '-'")
	}
	if sent != "" {
		req.callerID = sent
		req.id = sent + "~" + req.id
	}
	req.w.Header().Set(headerID, req.callerID)
	req.w.Header().Set(headerOwnID, req.id)
	return nil
}

func headerSize(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// Paths of the API.
const (
	pathChat     = "/v1/chat/completions"
	pathModels   = "/v1/models"
	pathServices = "/services/"
)

func (h *handler) route(req *request) (func(*request) *fieldError, *fieldError) {
	path := req.URL.Path
	switch {
	case path == pathChat:
		return h.chat, method(req, http.MethodPost)
	case path == pathModels:
		return h.models, method(req, http.MethodGet)
	case strings.HasPrefix(path, pathModels+"/"):
		return h.model, method(req, http.MethodGet)
	case strings.HasPrefix(path, pathServices):
		return h.service, method(req, http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete)
	}
	return nil, plain(result.NoSuchRoute, "the path is not served")
}

func method(req *request, allowed ...string) *fieldError {
	for _, m := range allowed {
		if req.Method == m {
			return nil
		}
	}
	req.w.Header().Set("Allow", strings.Join(allowed, ", "))
	return plain(result.MethodNotAllowed, "the path does not take the method %.16q", req.Method)
}

func (h *handler) authenticate(req *request) *fieldError {
	set := h.Set()
	if set == nil {
		e := result.New(result.NoConfiguration, "no configuration yet").WithRetryAfter(fullRetry)
		return &fieldError{err: e}
	}
	auth := req.Header.Get("Authorization")
	if auth == "" {
		return plain(result.MissingKey, "the Authorization header is missing")
	}
	scheme, key, _ := strings.Cut(auth, " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return plain(result.WrongKey, "the Authorization header must be \"Bearer KEY\"")
	}
	org, _, ok := set.OrganisationByKey(key)
	if !ok {
		return plain(result.WrongKey, "the key belongs to no organisation")
	}
	req.org = org
	req.index = h.index.of(set)
	return nil
}

// deadline returns when the caller stops waiting: what the caller says, else
// what the rules say of the class, else the setting.
func (h *handler) deadline(req *request, fallback time.Duration) (time.Time, *fieldError) {
	d := fallback
	if v := req.Header.Get(headerLimit); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms < 1 || ms > h.Timeouts.MaxRequest.Milliseconds() {
			return time.Time{}, badField(headerLimit, "must be a whole number from 1 to %d", h.Timeouts.MaxRequest.Milliseconds())
		}
		d = time.Duration(ms) * time.Millisecond
	}
	return h.Now().Add(d), nil
}

// withDeadline bounds the work for a request.
func withDeadline(req *request, deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadline(req.Context(), deadline)
}

// routerError reads an error of the Router. A context that has ended says why
// when the Router gave no code of its own.
func routerError(ctx context.Context, err error) *result.Error {
	var own *result.Error
	if errors.As(err, &own) {
		return own
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.Wrap(err, result.DeadlineExceeded, "the deadline passed before the answer was complete")
	}
	if ctx.Err() != nil {
		return result.Wrap(err, result.CallerGone, "the caller went away")
	}
	return result.From(err)
}
