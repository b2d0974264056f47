package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, as the pages set them.
const (
	maxRows      = 500
	maxRowsBytes = 1 << 20
	rowBytes     = 65536
	maxTexts     = 200
	maxEntries   = 100
)

// row is a row of the store. Value is base64 in JSON.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type rowKey struct{ table, part, key string }

// partition holds the rows of one part of a table, with the keys sorted on demand.
type partition struct {
	rows   map[string]row
	sorted []string
	dirty  bool
}

// store is a stand-in of the platform's metadata store.
type store struct {
	began time.Time
	delay time.Duration

	mu         sync.Mutex
	ver        int64
	partitions map[string]map[string]*partition
	log        []row
	changed    chan struct{}
	// down makes each call fail with 503.
	down          bool
	reads, writes rate
}

// rate bounds the calls of all machines together; zero calls a second mean no limit.
type rate struct {
	perSecond float64
	tokens    float64
	at        time.Time
	refused   int
}

// take reports whether a call is within the rate.
func (r *rate) take(now time.Time) bool {
	if r.perSecond == 0 {
		return true
	}
	r.tokens = min(r.perSecond, r.tokens+r.perSecond*now.Sub(r.at).Seconds())
	r.at = now
	if r.tokens < 1 {
		r.refused++
		return false
	}
	r.tokens--
	return true
}

func newStore() *store {
	return &store{began: time.Now(), delay: 3 * time.Millisecond, partitions: make(map[string]map[string]*partition), changed: make(chan struct{}),
		reads: rate{perSecond: 2000, at: time.Now()}, writes: rate{perSecond: 800, at: time.Now()}}
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down, limit := s.down, &s.reads
	if r.Method != http.MethodGet {
		limit = &s.writes
	}
	within := limit.take(time.Now())
	s.mu.Unlock()
	switch {
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case !within:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /api/rows-tx":
		time.Sleep(s.delay)
		s.serveTx(w, r)
	case "GET /api/rows-get":
		time.Sleep(s.delay)
		s.serveGet(w, r)
	case "GET /api/rows-parts":
		time.Sleep(s.delay)
		s.serveParts(w, r)
	case "GET /api/rows-feed":
		s.serveFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

type tx struct {
	ExpectedRev []row `json:"expected_rev"`
	Puts        []row `json:"puts"`
	Remove      []row `json:"remove"`
	Across      bool  `json:"across"`
}

func (t tx) valid() bool {
	parts := make(map[string]bool)
	size := 0
	for _, list := range [][]row{t.ExpectedRev, t.Puts, t.Remove} {
		for _, r := range list {
			if len(r.Table) > maxTexts || len(r.Part) > maxTexts || len(r.Key) > maxTexts || len(r.Value) > rowBytes {
				return false
			}
			parts[r.Part] = true
			size += len(r.Value)
		}
	}
	return len(t.ExpectedRev)+len(t.Puts)+len(t.Remove) <= maxEntries && size <= maxRowsBytes && (t.Across || len(parts) <= 1)
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var t tx
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || !t.valid() {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": "invalid transaction"})
		return
	}
	for _, list := range [][]row{t.Puts, t.Remove} {
		for _, r := range list {
			if r.Table == "op" || r.Table == "servers" {
				w.WriteHeader(http.StatusForbidden)
				return
			}
		}
	}
	present, ver, ok := s.apply(t)
	if !ok {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": present, "ver": ver, "now_ms": s.now()})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"ver": ver, "now_ms": s.now()})
}

func (s *store) now() int64 { return time.Since(s.began).Milliseconds() }

func (s *store) partition(table, part string) *partition {
	parts := s.partitions[table]
	if parts == nil {
		parts = make(map[string]*partition)
		s.partitions[table] = parts
	}
	if parts[part] == nil {
		parts[part] = &partition{rows: make(map[string]row)}
	}
	return parts[part]
}

// apply applies a transaction, or returns the rows of its conditions.
func (s *store) apply(t tx) (present []row, ver int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = true
	for _, c := range t.ExpectedRev {
		r, found := s.partition(c.Table, c.Part).rows[c.Key]
		if found {
			present = append(present, r)
		}
		ok = ok && r.Ver == c.Ver
	}
	if !ok {
		return present, s.ver, false
	}
	s.ver++
	for _, r := range t.Puts {
		p := s.partition(r.Table, r.Part)
		_, found := p.rows[r.Key]
		p.dirty = p.dirty || !found
		r.Ver = s.ver
		p.rows[r.Key] = r
		s.log = append(s.log, r)
	}
	for _, r := range t.Remove {
		p := s.partition(r.Table, r.Part)
		delete(p.rows, r.Key)
		p.dirty = true
		s.log = append(s.log, row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Removed: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil, s.ver, true
}

// put writes a row as the operator, or a worker, does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.apply(tx{Puts: []row{{Table: table, Key: key, Value: data}}})
}

func (s *store) remove(table, key string) { s.apply(tx{Remove: []row{{Table: table, Key: key}}}) }

// rowsOf returns all rows of a table.
func (s *store) rowsOf(table string) []row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []row
	for _, p := range s.partitions[table] {
		for _, r := range p.rows {
			list = append(list, r)
		}
	}
	return list
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	p := s.partition(q.Get("table"), q.Get("part"))
	if p.dirty {
		p.sorted = p.sorted[:0]
		for key := range p.rows {
			p.sorted = append(p.sorted, key)
		}
		slices.Sort(p.sorted)
		p.dirty = false
	}
	from, _ := slices.BinarySearch(p.sorted, q.Get("from"))
	rows := []row{}
	size, more := 0, false
	for _, key := range p.sorted[from:] {
		if q.Get("target") != "" && key >= q.Get("target") {
			break
		}
		if len(rows) == limit || size > maxRowsBytes {
			more = true
			break
		}
		rows = append(rows, p.rows[key])
		size += len(p.rows[key].Value)
	}
	ver := s.ver
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"rows": rows, "has_more": more, "ver": ver, "now_ms": s.now()})
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	var parts []string
	for name := range s.partitions[r.URL.Query().Get("table")] {
		if name > r.URL.Query().Get("after") {
			parts = append(parts, name)
		}
	}
	s.mu.Unlock()
	slices.Sort(parts)
	writeJSON(w, http.StatusOK, map[string]any{"parts": parts, "has_more": false})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer deadline.Stop()
	for {
		rows, ver, changed := s.changes(q.Get("table"), after)
		if len(rows) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver, "now_ms": s.now()})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			writeJSON(w, http.StatusOK, map[string]any{"rows": []row{}, "ver": ver, "now_ms": s.now()})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changes returns the changes of a table after a version, and the version to continue from.
func (s *store) changes(table string, after int64) ([]row, int64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from, _ := slices.BinarySearchFunc(s.log, after+1, func(r row, ver int64) int { return int(r.Ver - ver) })
	var rows []row
	size := 0
	for _, r := range s.log[from:] {
		if r.Table != table {
			continue
		}
		if len(rows) >= maxRows && rows[len(rows)-1].Ver < r.Ver || size > maxRowsBytes {
			return rows, rows[len(rows)-1].Ver, s.changed
		}
		rows = append(rows, r)
		size += len(r.Value)
	}
	return rows, s.ver, s.changed
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(data)
}
