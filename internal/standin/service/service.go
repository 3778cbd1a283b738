// Package service is a stand-in of a plain service, such as an order desk or a
// certificate registry. Each POST books something and counts how often the
// same idempotency key was booked.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"tarragonbay.example/tarragonbay/internal/history"
)

// Behaviour sets how the service answers. It can be changed while it runs.
type Behaviour struct {
	// DelayMs is the time a call takes, in milliseconds.
	DelayMs float64 `json:"delayMs"`
	// DieBeforeAnswer runs the call and ends the connection.
	DieBeforeAnswer bool `json:"dieBeforeAnswer,omitempty"`
}

// Run is one call that ran.
type Run struct {
	RequestID      string    `json:"requestId"`
	AttemptID      string    `json:"attemptId"`
	IdempotencyKey string    `json:"idempotencyKey,omitempty"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	At             time.Time `json:"at"`
	// Digest of the answer's body, as history.Digest makes it.
	Digest string `json:"digest"`
}

// Service is the stand-in. It is safe for concurrent use.
type Service struct {
	name string

	mu        sync.Mutex
	behaviour Behaviour
	runs      []Run
}

// New returns a service with the name.
func New(name string, b Behaviour) *Service {
	return &Service{name: name, behaviour: b}
}

// Handler serves every path, and the admin paths.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Runs()) })
	mux.HandleFunc("PUT /admin/behaviour", s.setBehaviour)
	mux.HandleFunc("/", s.serve)
	return mux
}

// SetBehaviour changes how the service answers from now on.
func (s *Service) SetBehaviour(b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
}

// Runs returns the calls that ran so far.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

// Answer is the body of each answer.
type Answer struct {
	Service   string `json:"service"`
	RequestID string `json:"requestId"`
	Number    int    `json:"number"`
	Echo      string `json:"echo"`
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b, answer := s.record(r, string(body))
	if b.DelayMs > 0 {
		time.Sleep(time.Duration(b.DelayMs * float64(time.Millisecond)))
	}
	if b.DieBeforeAnswer {
		hangUp(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	if _, err := w.Write(answer); err != nil {
		return
	}
}

// record notes a call before anything else is done, and returns its answer.
func (s *Service) record(r *http.Request, echo string) (Behaviour, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer, err := json.Marshal(Answer{
		Service:   s.name,
		RequestID: r.Header.Get("X-Request-Id"),
		Number:    len(s.runs) + 1,
		Echo:      echo,
	})
	if err != nil {
		answer = nil
	}
	s.runs = append(s.runs, Run{
		RequestID:      r.Header.Get("X-Request-Id"),
		AttemptID:      r.Header.Get("X-Attempt-Id"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Method:         r.Method,
		Path:           r.URL.Path,
		At:             time.Now(),
		Digest:         history.Digest(answer),
	})
	return s.behaviour, answer
}

func hangUp(w http.ResponseWriter) {
	hj, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	if conn, _, err := hj.Hijack(); err == nil {
		conn.Close()
	}
}

func (s *Service) setBehaviour(w http.ResponseWriter, r *http.Request) {
	var b Behaviour
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, "bad JSON", http.StatusBadRequest)
		return
	}
	s.SetBehaviour(b)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		http.Error(w, "cannot encode", http.StatusInternalServerError)
	}
}
