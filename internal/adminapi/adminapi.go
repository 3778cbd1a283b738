// Package adminapi is the HTTP surface for operators of one daemon: health,
// readiness, status, metrics, state dump, log level and graceful shutdown. It
// listens on loopback unless told otherwise, and then needs a key.
package adminapi

import (
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/httpserver"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/settings"
	"tarragonbay.example/tarragonbay/internal/telemetry"
)

// Paths of the admin API.
const (
	PathHealth   = "/healthz"
	PathReady    = "/readyz"
	PathStatus   = "/status"
	PathConfig   = "/config"
	PathMetrics  = "/metrics"
	PathDump     = "/dump"
	PathLogLevel = "/loglevel"
	PathDrain    = "/drain"
)

// Status is what one daemon says of itself.
type Status struct {
	Name        string `json:"name"`
	Role        string `json:"role"`
	Domain      string `json:"domain"`
	Incarnation uint64 `json:"incarnation"`
	// Revision of the configuration in force, 0 before the first.
	Revision uint64 `json:"revision"`
	// Digest of that configuration.
	Digest  string `json:"digest,omitempty"`
	Ready   bool   `json:"ready"`
	Leaving bool   `json:"leaving"`
	// Reason says why the daemon is not ready.
	Reason string `json:"reason,omitempty"`
}

// LogLevel is the body of the log level's GET and PUT.
type LogLevel struct {
	Level string `json:"level"`
}

// Config is the configuration in force at one daemon.
type Config struct {
	Revision uint64         `json:"revision"`
	Objects  []ConfigObject `json:"objects"`
}

// ConfigObject is one object of a configuration.
type ConfigObject struct {
	Kind catalog.Kind    `json:"kind"`
	Name string          `json:"name"`
	Spec json.RawMessage `json:"spec"`
}

// Set returns the configuration as a set.
func (c Config) Set() (*catalog.Set, error) {
	objects := make([]catalog.Object, 0, len(c.Objects))
	for _, o := range c.Objects {
		objects = append(objects, catalog.Object{Key: catalog.Key{Kind: o.Kind, Name: o.Name}, Spec: o.Spec})
	}
	return catalog.NewSet(objects)
}

// Options are what a handler needs. All are required but KeyHash and Config.
type Options struct {
	// KeyHash is "sha256:HEX" of the admin key; empty asks for none.
	KeyHash string
	Log     *telemetry.Log
	Metrics *telemetry.Metrics
	Dumps   *telemetry.Dumps
	// Status may be called at any time.
	Status func() Status
	// Config returns the configuration in force and its revision; the set is
	// nil before the first.
	Config func() (*catalog.Set, uint64)
	// Drain starts a graceful shutdown and returns at once. It may be called
	// more than once.
	Drain func()
}

// maxBody bounds the body of a request, in bytes.
const maxBody = 4 << 10

// handler serves operators.
type handler struct{ Options }

// NewHandler returns the handler for operators. Health and readiness are open,
// since balancers ask for them; the rest needs the key when there is one.
func NewHandler(o Options) http.Handler {
	h := &handler{o}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealth, h.health)
	mux.HandleFunc("GET "+PathReady, h.ready)
	mux.Handle("GET "+PathStatus, h.keyed(h.status))
	mux.Handle("GET "+PathConfig, h.keyed(h.config))
	mux.Handle("GET "+PathMetrics, h.keyed(h.metrics))
	mux.Handle("GET "+PathDump, h.keyed(h.dump))
	mux.Handle("GET "+PathLogLevel, h.keyed(h.logLevel))
	mux.Handle("PUT "+PathLogLevel, h.keyed(h.setLogLevel))
	mux.Handle("POST "+PathDrain, h.keyed(h.drain))
	return mux
}

// Listen opens the admin listener of the settings; nothing is served before
// its Run.
func Listen(s settings.Settings, a httpserver.Admission, handler http.Handler) (*httpserver.Server, error) {
	return httpserver.Listen(httpserver.Config{
		Name:        "operators",
		Address:     s.Admin.Listen,
		Admission:   a,
		HeaderBytes: s.Limits.HeaderBytes,
		ReadHeader:  s.Timeouts.ReadHeader,
		Idle:        s.Timeouts.Idle,
		Drain:       s.Timeouts.Platform,
	}, handler)
}

// keyed checks the key in constant time before next runs.
func (h *handler) keyed(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.KeyHash != "" && !h.keyOK(r) {
			writeError(w, result.New(result.AdminKeyRefused, "the admin key is missing or wrong"))
			return
		}
		next(w, r)
	})
}

func (h *handler) keyOK(r *http.Request) bool {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return found && subtle.ConstantTimeCompare([]byte(catalog.HashKey(key)), []byte(h.KeyHash)) == 1
}

func (h *handler) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	s := h.Status()
	if !s.Ready {
		http.Error(w, s.Reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (h *handler) status(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.Status()) }

func (h *handler) config(w http.ResponseWriter, _ *http.Request) {
	var set *catalog.Set
	var c Config
	if h.Config != nil {
		set, c.Revision = h.Config()
	}
	if set == nil {
		writeError(w, result.New(result.NoConfiguration, "the daemon has no configuration yet"))
		return
	}
	for _, o := range set.Objects() {
		c.Objects = append(c.Objects, ConfigObject{o.Key.Kind, o.Key.Name, o.Spec})
	}
	writeJSON(w, c)
}

func (h *handler) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_ = h.Metrics.WriteText(w) // an operator who left cannot be told
}

func (h *handler) dump(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = h.Dumps.WriteJSON(w) // an operator who left cannot be told
}

func (h *handler) logLevel(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, LogLevel{h.Log.Level()})
}

func (h *handler) setLogLevel(w http.ResponseWriter, r *http.Request) {
	var body LogLevel
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&body); err != nil {
		writeError(w, result.New(result.BadJSON, `the body must be {"level": "debug"} or the like`))
		return
	}
	if err := h.Log.SetLevel(body.Level); err != nil {
		writeError(w, result.New(result.BadField, "the level must be debug, info, warn or error"))
		return
	}
	writeJSON(w, LogLevel{h.Log.Level()})
}

func (h *handler) drain(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusAccepted)
	h.Drain()
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // an operator who left cannot be told
}

// Failure is the body of an error.
type Failure struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, e *result.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.Code.HTTPStatus())
	_ = json.NewEncoder(w).Encode(Failure{int(e.Code), e.Message}) // as above
}
