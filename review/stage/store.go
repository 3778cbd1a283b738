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

// Store is a stand-in of the platform's store: linearizable rows, one feed and atomic
// transactions. It keeps its whole history.
type Store struct {
	mu      sync.Mutex
	rows    map[rowKey]storeRow
	history []storeRow
	ver     uint64
	started time.Time
	changed chan struct{}
	ln      net.Listener
	// era counts the returns from a copy; away is true while the store answers nothing.
	era  int
	away bool
}

type rowKey struct{ table, part, key string }

type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type storeTx struct {
	Expect []storeRow
	Set    []storeRow `json:"setKeys"`
	Remove []storeRow `json:"remove"`
}

func startStore() (*Store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{rows: map[rowKey]storeRow{}, started: time.Now(), changed: make(chan struct{}), ln: ln}
	go func() { _ = http.Serve(ln, s) }()
	return s, nil
}

func (s *Store) address() string { return s.ln.Addr().String() }

// now is the store's steady clock in milliseconds.
func (s *Store) now() int64 { return time.Since(s.started).Milliseconds() }

// put writes a row as the operator or a replica does; the return is the acknowledgement.
func (s *Store) put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(storeRow{Table: table, Key: key, Value: b})
	s.wake()
}

func (s *Store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.drop(storeRow{Table: table, Key: key})
	s.wake()
}

func (s *Store) get(table, key string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[rowKey{table, "", key}]
	return string(r.Value), ok
}

func (s *Store) set(r storeRow) {
	r.Ver, r.Removed = s.ver, false
	s.rows[rowKey{r.Table, r.Part, r.Key}] = r
	s.history = append(s.history, r)
}

func (s *Store) drop(r storeRow) {
	k := rowKey{r.Table, r.Part, r.Key}
	if _, ok := s.rows[k]; ok {
		delete(s.rows, k)
		s.history = append(s.history, storeRow{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Removed: true})
	}
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

const storeTime = 4 * time.Millisecond // the sheet's time of one answer

func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeTime)
	s.mu.Lock()
	away := s.away
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case name("list"):
		s.list(w, r)
	case name("feed"):
		s.feed(w, r)
	case name("commit"):
		s.commit(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) reply(w http.ResponseWriter, status int, rows []storeRow) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(name("era"), strconv.Itoa(s.era))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "morePages": false, "ver": s.ver, "nowMs": s.now()})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []storeRow{}
	for k, v := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") {
			out = append(out, v)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	s.reply(w, http.StatusOK, out)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for last := wait == 0; ; {
		s.mu.Lock()
		if s.away {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after > s.ver { // a version that this copy doesn't have
			w.Header().Set(name("era"), strconv.Itoa(s.era))
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		rows := []storeRow{}
		for _, c := range s.history {
			if c.Table == q.Get("table") && c.Ver > after {
				rows = append(rows, c)
			}
		}
		if len(rows) > 0 || last {
			s.reply(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var raw map[string]json.RawMessage
	var tx storeTx
	if err := json.NewDecoder(r.Body).Decode(&raw); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for field, into := range map[string]any{name("expectRows"): &tx.Expect, "setKeys": &tx.Set, "remove": &tx.Remove} {
		if v, ok := raw[field]; ok {
			if err := json.Unmarshal(v, into); err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
		}
	}
	ok, current := s.apply(tx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ok {
		s.reply(w, http.StatusPreconditionFailed, current)
		return
	}
	s.reply(w, http.StatusOK, nil)
}

// apply performs a transaction whole or not at all.
func (s *Store) apply(tx storeTx) (ok bool, current []storeRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = true
	for _, e := range tx.Expect {
		r, there := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if there {
			current = append(current, r)
		}
		ok = ok && r.Ver == e.Ver
	}
	if !ok {
		return false, current
	}
	s.ver++
	for _, r := range tx.Set {
		s.set(r)
	}
	for _, r := range tx.Remove {
		s.drop(r)
	}
	s.wake()
	return true, nil
}

// storeCopy is what the store held at one moment.
type storeCopy struct {
	rows    map[rowKey]storeRow
	history []storeRow
	ver     uint64
}

func (s *Store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{rows: maps.Clone(s.rows), history: slices.Clone(s.history), ver: s.ver}
}

// leave makes the store answer nothing until it comes back.
func (s *Store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// comeBack ends a drill: the store has lost what was written after the copy.
func (s *Store) comeBack(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.history, s.ver = maps.Clone(c.rows), slices.Clone(c.history), c.ver
	s.era++
	s.away = false
	s.wake()
}
