package callerapi

import (
	"net/http"
	"path"
	"regexp"
	"strconv"
	"strings"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/result"
)

var idempotencyKeyRE = regexp.MustCompile(`^[!-~]{1,128}$`)

// maxQuery bounds the query of a service call, in bytes.
const maxQuery = 8 << 10

// service serves /services/NAME/….
func (h *handler) service(req *request) *fieldError {
	call, e := h.serviceCall(req)
	if e != nil {
		return e
	}
	if call.Body, e = h.readBody(req); e != nil {
		return e
	}
	ctx, cancel := withDeadline(req, call.Deadline)
	defer cancel()
	answer, err := h.Router.Service(ctx, call)
	if err != nil {
		return &fieldError{err: routerError(ctx, err)}
	}
	writeAnswer(req, answer)
	return nil
}

// serviceCall checks everything but the body.
func (h *handler) serviceCall(req *request) (ServiceCall, *fieldError) {
	name, rest, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, pathServices), "/")
	svc, known := req.index.set.Services[name]
	if !known {
		return ServiceCall{}, plain(result.UnknownService, "no service is named %.64q", name)
	}
	if !req.index.set.ServiceAllowed(req.org, name) {
		return ServiceCall{}, plain(result.ServiceNotAllowed, "the organisation may not use the service %q", name)
	}
	if len(req.URL.RawQuery) > maxQuery {
		return ServiceCall{}, badField("query", "is longer than %d bytes", maxQuery)
	}
	call := ServiceCall{
		RequestID:      req.id,
		Organisation:   req.org,
		Service:        name,
		Method:         req.Method,
		Path:           "/" + rest,
		Query:          req.URL.RawQuery,
		ContentType:    req.Header.Get("Content-Type"),
		IdempotencyKey: req.Header.Get(headerIdem),
	}
	if !cleanPath(call.Path) {
		return call, badField("path", "must not hold empty, '.' or '..' parts")
	}
	call.Once = onceCall(svc, call.Method, call.Path)
	if e := checkIdempotencyKey(req, call); e != nil {
		return call, e
	}
	fallback := catalog.DefaultServiceDeadline
	if svc.DeadlineMs > 0 {
		fallback = time.Duration(svc.DeadlineMs) * time.Millisecond
	}
	var e *fieldError
	call.Deadline, e = h.deadline(req, fallback)
	return call, e
}

// cleanPath refuses other spellings of a path, which would slip past the
// patterns of the calls that may not be repeated.
func cleanPath(p string) bool {
	return path.Clean(p) == p || path.Clean(p)+"/" == p
}

// onceCall reads "/bookings/" as "/bookings", as most services do.
func onceCall(svc *catalog.Service, method, p string) bool {
	return svc.OnceCall(method, p) || svc.OnceCall(method, strings.TrimSuffix(p, "/"))
}

func checkIdempotencyKey(req *request, call ServiceCall) *fieldError {
	sent := len(req.Header.Values(headerIdem)) > 0
	if call.Once && !sent {
		e := plain(result.NeedIdempotencyKey, "this call may not be repeated and needs an Idempotency-Key header")
		e.param = headerIdem
		return e
	}
	if sent && !idempotencyKeyRE.MatchString(call.IdempotencyKey) {
		e := plain(result.BadIdempotencyKey, "the idempotency key must be 1 to 128 printable characters without spaces")
		e.param = headerIdem
		return e
	}
	return nil
}

func writeAnswer(req *request, a ServiceAnswer) {
	h := req.w.Header()
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set(headerRev, strconv.FormatUint(a.Revision, 10))
	if a.Replayed {
		h.Set(headerReplay, "true")
	}
	if bodyAllowed(a.Status) {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	req.w.extend()
	req.w.WriteHeader(a.Status)
	if bodyAllowed(a.Status) {
		_ = req.w.writeAll(a.Body) // a caller that is gone cannot be told
	}
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}
