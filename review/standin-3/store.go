package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Row is a row of the stand-in of the platform's store.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type rowID struct{ table, part, key string }

type partID struct{ table, part string }

func (id rowID) partition() partID { return partID{id.table, id.part} }

type txRequest struct {
	ExpectedRev []Row `json:"expected_rev"`
	Puts        []Row `json:"puts"`
	Remove      []Row `json:"remove"`
}

// answerDelay is the time that the store takes to answer, as on the sheets.
const answerDelay = 4 * time.Millisecond

// Store is a stand-in of the platform's store: rows, transactions and the feed of PROTOCOL.md. It
// keeps its whole history.
type Store struct {
	mu   sync.Mutex
	ver  int64
	rows map[rowID]Row
	// keys holds the keys of each part of a table in ascending order.
	keys    map[partID][]string
	history map[string][]Row
	changed chan struct{}
	started time.Time

	// hold returns how long a transaction is executed late, without an answer; zero executes it at once.
	hold func(tx txRequest) time.Duration
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: make(map[rowID]Row), keys: make(map[partID][]string), history: make(map[string][]Row), changed: make(chan struct{}), started: time.Now()}
}

// Serve serves the store's calls at a listener.
func (s *Store) Serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	_ = http.Serve(l, mux)
}

// SetHold sets the function that makes transactions late.
func (s *Store) SetHold(hold func(tx txRequest) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold = hold
}

// Put writes a row without condition, as operators and executors do.
func (s *Store) Put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.apply(txRequest{Puts: []Row{{Table: table, Key: key, Value: data}}})
}

// Remove removes a row.
func (s *Store) Remove(table, key string) {
	s.apply(txRequest{Remove: []Row{{Table: table, Key: key}}})
}

// Get returns a row.
func (s *Store) Get(table, part, key string) (Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[rowID{table, part, key}]
	return row, ok
}

// apply executes a transaction. It returns its version, or the present rows of its conditions if one
// does not hold.
func (s *Store) apply(tx txRequest) (ver int64, present []Row, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = true
	for _, want := range tx.ExpectedRev {
		row, found := s.rows[rowID{want.Table, want.Part, want.Key}]
		if found {
			present = append(present, row)
		}
		ok = ok && row.Ver == want.Ver
	}
	if !ok {
		return s.ver, present, false
	}
	s.ver++
	for _, put := range tx.Puts {
		put.Ver = s.ver
		s.set(put)
		s.history[put.Table] = append(s.history[put.Table], put)
	}
	for _, gone := range tx.Remove {
		gone.Ver, gone.Value, gone.Removed = s.ver, nil, true
		s.drop(rowID{gone.Table, gone.Part, gone.Key})
		s.history[gone.Table] = append(s.history[gone.Table], gone)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.ver, nil, true
}

// set writes a row. The caller holds s.mu.
func (s *Store) set(row Row) {
	id := rowID{row.Table, row.Part, row.Key}
	if _, found := s.rows[id]; !found {
		keys := s.keys[id.partition()]
		i, _ := slices.BinarySearch(keys, id.key)
		s.keys[id.partition()] = slices.Insert(keys, i, id.key)
	}
	s.rows[id] = row
}

// drop removes a row. The caller holds s.mu.
func (s *Store) drop(id rowID) {
	keys := s.keys[id.partition()]
	if i, found := slices.BinarySearch(keys, id.key); found {
		s.keys[id.partition()] = slices.Delete(keys, i, i+1)
	}
	delete(s.rows, id)
}

type rowsReply struct {
	Rows    []Row `json:"rows"`
	HasMore bool  `json:"has_more"`
	Ver     int64 `json:"ver"`
	NowMS   int64 `json:"now_ms"`
}

func (s *Store) reply(w http.ResponseWriter, code int, r rowsReply) {
	if r.Rows == nil {
		r.Rows = []Row{}
	}
	r.NowMS = time.Since(s.started).Milliseconds()
	data, _ := json.Marshal(r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(data)
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var tx txRequest
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil || len(tx.Puts)+len(tx.Remove)+len(tx.ExpectedRev) > 100 {
		s.reply(w, http.StatusBadRequest, rowsReply{})
		return
	}
	for _, put := range tx.Puts {
		if len(put.Value) > 65536 || put.Table == "op" || put.Table == "servers" {
			s.reply(w, http.StatusBadRequest, rowsReply{})
			return
		}
	}
	time.Sleep(answerDelay)
	s.mu.Lock()
	hold := s.hold
	s.mu.Unlock()
	if hold != nil {
		if late := hold(tx); late > 0 {
			time.AfterFunc(late, func() { s.apply(tx) })
			// The channel delivers nothing further.
			<-r.Context().Done()
			return
		}
	}
	ver, present, ok := s.apply(tx)
	if !ok {
		s.reply(w, http.StatusPreconditionFailed, rowsReply{Rows: present, Ver: ver})
		return
	}
	s.reply(w, http.StatusOK, rowsReply{Ver: ver})
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerDelay)
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	part := partID{q.Get("table"), q.Get("part")}
	keys := s.keys[part]
	first, _ := slices.BinarySearch(keys, q.Get("from"))
	keys = keys[first:]
	if q.Has("target") {
		last, _ := slices.BinarySearch(keys, q.Get("target"))
		keys = keys[:last]
	}
	var rows []Row
	size := 0
	for _, key := range keys {
		row := s.rows[rowID{part.table, part.part, key}]
		if len(rows) == limit || len(rows) > 0 && size+len(row.Value) > 1<<20 {
			break
		}
		size += len(row.Value)
		rows = append(rows, row)
	}
	ver := s.ver
	s.mu.Unlock()
	s.reply(w, http.StatusOK, rowsReply{Rows: rows, HasMore: len(rows) < len(keys), Ver: ver})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	time.Sleep(answerDelay)
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		list := s.history[q.Get("table")]
		first := sort.Search(len(list), func(i int) bool { return list[i].Ver > after })
		rows, ver, changed := list[first:], s.ver, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			n, size := 0, 0
			for n < len(rows) && n < 500 && (n == 0 || size+len(rows[n].Value) <= 1<<20) {
				size += len(rows[n].Value)
				n++
			}
			// A transaction's rows stay together.
			for n < len(rows) && rows[n].Ver == rows[n-1].Ver {
				n++
			}
			if n < len(rows) {
				ver = rows[n-1].Ver
			}
			s.reply(w, http.StatusOK, rowsReply{Rows: rows[:n], Ver: ver})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.reply(w, http.StatusOK, rowsReply{Ver: ver})
			return
		case <-r.Context().Done():
			return
		}
	}
}
