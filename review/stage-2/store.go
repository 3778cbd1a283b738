package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: rows, conditional writes and a feed.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	ver     uint64
	began   time.Time
	changed chan struct{}
	// away closes connections without an answer; era counts the returns from a copy.
	away bool
	era  int
	// watch is called with each row that the system writes.
	watch func(row)
}

// copied is what the store held at one moment.
type copied struct {
	rows    map[rowKey]row
	history []row
	ver     uint64
}

// copyNow returns what the store holds.
func (s *store) copyNow() copied {
	s.mu.Lock()
	defer s.mu.Unlock()
	return copied{maps.Clone(s.rows), slices.Clone(s.history), s.ver}
}

// leave makes the store unreachable.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// comeBackFrom returns the store with what a copy holds. Versions go back and are given out
// again, and the era rises by one.
func (s *store) comeBackFrom(c copied) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.history, s.ver = maps.Clone(c.rows), slices.Clone(c.history), c.ver
	s.era++
	s.away = false
	s.wake()
}

// isAway reports whether calls get no answer.
func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

type rowKey struct{ table, part, key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// startStore serves an empty store on a free loopback port.
func startStore() (*store, string) {
	s := &store{rows: map[rowKey]row{}, began: time.Now(), changed: make(chan struct{})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	go func() { _ = http.Serve(ln, s) }() // ends with the process
	return s, ln.Addr().String()
}

// put writes a row as the operator or a replica does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(row{Table: table, Key: key, Value: value})
	s.wake()
}

// drop removes a row as the platform does.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.remove(rowKey{table, "", key})
	s.wake()
}

func (s *store) set(r row) {
	r.Ver = s.ver
	s.rows[rowKey{r.Table, r.Part, r.Key}] = r
	s.history = append(s.history, r)
}

func (s *store) remove(k rowKey) {
	if _, ok := s.rows[k]; ok {
		delete(s.rows, k)
		s.history = append(s.history, row{Table: k.table, Part: k.part, Key: k.key, Ver: s.ver, Removed: true})
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the calls of gateways.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if s.isAway() {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case name("list"):
		s.mu.Lock()
		defer s.mu.Unlock()
		var out []row
		for k, v := range s.rows {
			if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") {
				out = append(out, v)
			}
		}
		sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
		s.answer(w, http.StatusOK, out)
	case name("feed"):
		s.feed(w, r)
	case name("commit"):
		s.commit(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := wait == 0; ; {
		s.mu.Lock()
		if s.away {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after > s.ver { // a version that it doesn't have
			s.heading(w)
			w.WriteHeader(http.StatusGone)
			s.mu.Unlock()
			return
		}
		var out []row
		for _, c := range s.history {
			if c.Table == q.Get("table") && c.Ver > after {
				out = append(out, c)
			}
		}
		if len(out) > 0 || over {
			s.answer(w, http.StatusOK, out)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var body map[string][]row
	var loose map[string]json.RawMessage
	if json.NewDecoder(r.Body).Decode(&loose) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body = map[string][]row{}
	for k, v := range loose {
		var rows []row
		if json.Unmarshal(v, &rows) == nil {
			body[k] = rows
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		panic(http.ErrAbortHandler)
	}
	for field, rows := range body {
		if field == "setKeys" || field == "remove" {
			continue
		}
		for _, e := range rows {
			if s.rows[rowKey{e.Table, e.Part, e.Key}].Ver != e.Ver {
				s.answer(w, http.StatusPreconditionFailed, nil)
				return
			}
		}
	}
	s.ver++
	for _, e := range body["setKeys"] {
		s.set(e)
		if s.watch != nil {
			s.watch(e)
		}
	}
	for _, e := range body["remove"] {
		s.remove(rowKey{e.Table, e.Part, e.Key})
	}
	s.wake()
	s.answer(w, http.StatusOK, nil)
}

// heading sets the header that all answers bear; the store is locked.
func (s *store) heading(w http.ResponseWriter) { w.Header().Set(name("era"), strconv.Itoa(s.era)) }

// answer writes a page; the store is locked.
func (s *store) answer(w http.ResponseWriter, status int, rows []row) {
	s.heading(w)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "morePages": false, "ver": s.ver, "nowMs": time.Since(s.began).Milliseconds(),
	}) // the gateway sees a short answer
}
