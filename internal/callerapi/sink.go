package callerapi

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"tarragonbay.example/tarragonbay/internal/jsonscan"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Content types and header names of answers.
const (
	contentJSON  = "application/json"
	contentSSE   = "text/event-stream"
	headerID     = "X-Request-Id"
	headerOwnID  = "X-Tarragonbay-Request-Id"
	headerVers   = "X-Tarragonbay-Version"
	headerRev    = "X-Tarragonbay-Revision"
	headerSess   = "X-Session"
	headerClass  = "X-Request-Class"
	headerLimit  = "X-Deadline-Ms"
	headerIdem   = "Idempotency-Key"
	headerReplay = "Idempotent-Replayed"
)

// writePiece bounds what is written under one write deadline, in bytes.
const writePiece = 256 << 10

// writer writes an answer to one caller. Each write has its own deadline, so
// that a caller who does not read holds the request for that long and no
// longer.
type writer struct {
	http.ResponseWriter
	ctl     *http.ResponseController
	timeout time.Duration
	now     func() time.Time
}

func (w *writer) extend() {
	// A recorder in a test has no deadline, and then needs none.
	_ = w.ctl.SetWriteDeadline(w.now().Add(w.timeout))
}

// writeAll writes data in pieces.
func (w *writer) writeAll(data []byte) error {
	for len(data) > 0 {
		n := min(len(data), writePiece)
		w.extend()
		if _, err := w.Write(data[:n]); err != nil {
			return callerGone(err)
		}
		data = data[n:]
	}
	return nil
}

func callerGone(err error) error {
	return result.Wrap(err, result.CallerGone, "the caller stopped reading")
}

func setStart(h http.Header, s Start) {
	h.Set(headerVers, s.Version)
	h.Set(headerRev, strconv.FormatUint(s.Revision, 10))
	if s.SessionToken != "" {
		h.Set(headerSess, s.SessionToken)
	}
}

// unarySink holds the answer until End, so that one that is not whole is an
// error and nothing else. Chunk keeps data until End.
type unarySink struct {
	w        *writer
	maxBytes int64
	body     []byte
	// written is set once the answer is on its way.
	written bool
}

// Begin sets the headers.
func (s *unarySink) Begin(st Start) error {
	setStart(s.w.Header(), st)
	return nil
}

// Chunk keeps a part of the body.
func (s *unarySink) Chunk(data []byte) error {
	if int64(len(s.body))+int64(len(data)) > s.maxBytes {
		return result.New(result.AnswerCut, "the answer is larger than %d bytes", s.maxBytes)
	}
	if s.body == nil {
		s.body = data
		return nil
	}
	s.body = append(s.body[:len(s.body):len(s.body)], data...)
	return nil
}

// End writes the answer.
func (s *unarySink) End(Usage) error {
	h := s.w.Header()
	h.Set("Content-Type", contentJSON)
	h.Set("Content-Length", strconv.Itoa(len(s.body)))
	s.written = true
	s.w.extend()
	s.w.WriteHeader(http.StatusOK)
	return s.w.writeAll(s.body)
}

// streamSink writes server-sent events as they come.
type streamSink struct {
	w     *writer
	start Start
	// head is the id and created time of the first event, which the usage
	// event repeats.
	head  chunkHead
	begun bool
	// usageSent is set when the upstream's own events held the usage.
	usageSent bool
	ended     bool
}

type chunkHead struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
}

// usageEvent is the last event of a stream before [DONE].
type usageEvent struct {
	chunkHead
	Choices []struct{}  `json:"choices"`
	Usage   usageObject `json:"usage"`
}

type usageObject struct {
	PromptTokens     uint64        `json:"prompt_tokens"`
	CompletionTokens uint64        `json:"completion_tokens"`
	TotalTokens      uint64        `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens uint64 `json:"cached_tokens"`
}

var (
	eventStart = []byte("data: ")
	eventEnd   = []byte("\n\n")
	doneEvent  = []byte("data: [DONE]\n\n")
	usageField = []byte(`"usage":`)
)

// Begin writes the headers. They go out with the first event, which follows.
func (s *streamSink) Begin(st Start) error {
	s.begun = true
	s.start = st
	h := s.w.Header()
	setStart(h, st)
	h.Set("Content-Type", contentSSE)
	h.Set("Cache-Control", "no-store")
	s.w.extend()
	s.w.WriteHeader(http.StatusOK)
	return nil
}

func (s *streamSink) flush() error {
	if err := s.w.ctl.Flush(); err != nil {
		return callerGone(err)
	}
	return nil
}

// Chunk sends one event.
func (s *streamSink) Chunk(data []byte) error {
	if s.head.ID == "" {
		_ = json.Unmarshal(data, &s.head) // without an id, the event goes on as it is
	}
	if !s.usageSent && bytes.Contains(data, usageField) {
		s.usageSent = hasUsage(data)
	}
	return s.event(data)
}

// hasUsage reports whether the event holds a usage object.
func hasUsage(data []byte) bool {
	if !json.Valid(data) {
		return false
	}
	usage := jsonscan.Lookup(data, "usage")
	return len(usage) > 0 && usage[0] == '{'
}

// event writes one event. JSON holds line ends only between tokens, and there
// a space does as well.
func (s *streamSink) event(data []byte) error {
	if bytes.ContainsAny(data, "\r\n") {
		data = bytes.Map(lineToSpace, data)
	}
	s.w.extend()
	if _, err := s.w.Write(eventStart); err != nil {
		return callerGone(err)
	}
	if err := s.w.writeAll(data); err != nil {
		return err
	}
	if _, err := s.w.Write(eventEnd); err != nil {
		return callerGone(err)
	}
	return s.flush()
}

func lineToSpace(r rune) rune {
	if r == '\n' || r == '\r' {
		return ' '
	}
	return r
}

// End sends the usage, unless the upstream did, and the end mark of a whole
// answer.
func (s *streamSink) End(u Usage) error {
	if !s.usageSent {
		if err := s.event(s.encodeUsage(u)); err != nil {
			return err
		}
	}
	s.ended = true
	if err := s.w.writeAll(doneEvent); err != nil {
		return err
	}
	return s.flush()
}

func (s *streamSink) encodeUsage(u Usage) []byte {
	e := usageEvent{chunkHead: s.head, Choices: []struct{}{}}
	e.Object = "chat.completion.chunk"
	if e.Model == "" {
		e.Model = s.start.Version
	}
	e.Usage = usageObject{
		PromptTokens:     u.InputTokens,
		CompletionTokens: u.OutputTokens,
		TotalTokens:      u.InputTokens + u.OutputTokens,
		Details:          promptDetails{u.CachedTokens},
	}
	data, _ := json.Marshal(e) // numbers and strings always encode
	return data
}

// fail ends a stream that cannot be completed: an error event and no end mark.
func (s *streamSink) fail(e *result.Error, requestID string) {
	if s.ended {
		return
	}
	_ = s.event(encodeError(e, "", requestID)) // a caller that is gone cannot be told
}
