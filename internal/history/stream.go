package history

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/juju/errors"
)

// linePrefix starts every event's line, so that events can share a stream
// with other output.
var linePrefix = []byte(`{"event":`)

// Recorder writes events as JSON lines. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	w      io.Writer
	source string
	now    func() time.Time
}

// NewRecorder returns a recorder that stamps events with the source and the
// wall clock.
func NewRecorder(w io.Writer, source string) *Recorder {
	return &Recorder{w: w, source: source, now: time.Now}
}

// Record writes one event in one write. An empty At or Source is filled in.
func (r *Recorder) Record(e Event) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.At.IsZero() {
		e.At = r.now()
	}
	if e.Source == "" {
		e.Source = r.source
	}
	line, err := json.Marshal(e)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = r.w.Write(append(line, '\n'))
	return errors.Trace(err)
}

// Read returns the events of a stream. Lines that do not start like an event
// are other output and are skipped; a damaged event is an error, but for an
// unfinished last line, which a killed process may leave.
func Read(r io.Reader) ([]Event, error) {
	var out []Event
	br := bufio.NewReader(r)
	for n := 1; ; n++ {
		line, err := br.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return out, errors.Trace(err)
		}
		if err != nil {
			return out, nil
		}
		if !bytes.HasPrefix(line, linePrefix) {
			continue
		}
		var e Event
		if err := json.Unmarshal(line, &e); err != nil {
			return out, errors.Annotatef(err, "line %d", n)
		}
		out = append(out, e)
	}
}

// Memory collects events of one process. It is safe for concurrent use.
type Memory struct {
	mu     sync.Mutex
	events []Event
}

// Record keeps the event and stamps it when At is empty.
func (m *Memory) Record(e Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e.At.IsZero() {
		e.At = time.Now()
	}
	m.events = append(m.events, e)
}

// Events returns a copy of what was recorded.
func (m *Memory) Events() []Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Event(nil), m.events...)
}
