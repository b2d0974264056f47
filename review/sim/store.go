package sim

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits and speed of the store, as in the settings of a small deployment.
const (
	RowBytes     = 65536
	callBytes    = 1 << 20
	callEntries  = 100
	rowsPerPage  = 500
	transactTime = 3 * time.Millisecond
)

// Key identifies a row.
type Key struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// Row is a row as sent and stored.
type Row struct {
	Key
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// Tx is a transaction.
type Tx struct {
	ExpectedRev []Row `json:"expected_rev"`
	Puts        []Row `json:"puts"`
	Remove      []Key `json:"remove"`
	Across      bool  `json:"across"`
}

type rowsReply struct {
	Rows    []Row `json:"rows"`
	HasMore bool  `json:"has_more"`
	Ver     int64 `json:"ver"`
	NowMS   int64 `json:"now_ms"`
}

// Store is a stand-in of the platform's store in memory.
type Store struct {
	record   *Record
	listener net.Listener
	began    time.Time

	mu      sync.Mutex
	rows    map[Key]Row
	log     []Row
	ver     int64
	changed chan struct{}
	parts   map[string]*sync.Mutex
	// loseTx, if set, reports for a transaction that its answer is lost, and after which time it
	// is carried out.
	loseTx func(Tx) (time.Duration, bool)
	// delay is the additional time that each answer takes.
	delay time.Duration
	// refused counts the transactions that were refused because they exceed a limit.
	refused int
}

// NewStore starts a store on a free port.
func NewStore(record *Record) (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		record: record, listener: listener, began: time.Now(),
		rows: make(map[Key]Row), changed: make(chan struct{}), parts: make(map[string]*sync.Mutex),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.tx)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// Address returns the store's address.
func (s *Store) Address() string { return s.listener.Addr().String() }

// LoseTx sets the function that decides whose answers are lost; nil loses none.
func (s *Store) LoseTx(f func(Tx) (time.Duration, bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseTx = f
}

// RefusedTransactions returns the number of transactions that were refused because they exceed a
// limit.
func (s *Store) RefusedTransactions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// SetDelay sets the additional time of each answer.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

func (s *Store) wait() {
	s.mu.Lock()
	d := s.delay
	s.mu.Unlock()
	time.Sleep(d)
}

// valid reports whether a transaction keeps the limits of the store.
func valid(tx Tx) (status int, why string) {
	parts, bytes := map[string]bool{}, 0
	for _, p := range tx.Puts {
		if p.Table == "op" || p.Table == "servers" {
			return http.StatusForbidden, "table " + p.Table
		}
		if len(p.Value) > RowBytes {
			return http.StatusBadRequest, "value of " + strconv.Itoa(len(p.Value)) + " bytes in row " + p.Table + "/" + p.Key.Key
		}
		parts[p.Part] = true
		bytes += len(p.Value) * 4 / 3
	}
	for _, p := range tx.ExpectedRev {
		parts[p.Part] = true
	}
	for _, p := range tx.Remove {
		parts[p.Part] = true
	}
	switch {
	case len(tx.ExpectedRev)+len(tx.Puts)+len(tx.Remove) > callEntries:
		return http.StatusBadRequest, "too many entries"
	case bytes > callBytes:
		return http.StatusBadRequest, "call of " + strconv.Itoa(bytes) + " bytes"
	case len(parts) > 1 && !tx.Across:
		return http.StatusBadRequest, "several parts"
	}
	return 0, ""
}

// partLocks returns the locks of the transaction's parts in a fixed order.
func (s *Store) partLocks(tx Tx) []*sync.Mutex {
	names := map[string]bool{}
	for _, p := range tx.Puts {
		names[p.Part] = true
	}
	for _, p := range tx.ExpectedRev {
		names[p.Part] = true
	}
	for _, p := range tx.Remove {
		names[p.Part] = true
	}
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	slices.Sort(sorted)
	s.mu.Lock()
	defer s.mu.Unlock()
	var locks []*sync.Mutex
	for _, name := range sorted {
		if s.parts[name] == nil {
			s.parts[name] = &sync.Mutex{}
		}
		locks = append(locks, s.parts[name])
	}
	return locks
}

// execute applies a transaction after its time. A part handles one after the other.
func (s *Store) execute(tx Tx) ([]Row, int64) {
	for _, lock := range s.partLocks(tx) {
		lock.Lock()
		defer lock.Unlock()
	}
	time.Sleep(transactTime)
	return s.Apply(tx)
}

// Apply applies a transaction at once. It returns the present rows if a condition fails.
func (s *Store) Apply(tx Tx) (conflict []Row, ver int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present, failed := []Row{}, false
	for _, want := range tx.ExpectedRev {
		row, found := s.rows[want.Key]
		failed = failed || row.Ver != want.Ver
		if found {
			present = append(present, row)
		}
	}
	if failed {
		return present, s.ver
	}
	s.ver++
	for _, put := range tx.Puts {
		row := Row{Key: put.Key, Value: put.Value, Ver: s.ver}
		s.rows[put.Key] = row
		s.log = append(s.log, row)
	}
	for _, key := range tx.Remove {
		delete(s.rows, key)
		s.log = append(s.log, Row{Key: key, Ver: s.ver, Removed: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil, s.ver
}

// Put writes a row as the operator and the workers do.
func (s *Store) Put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.Apply(Tx{Puts: []Row{{Key: Key{Table: table, Key: key}, Value: data}}})
}

// Get returns the value of a row, or nil.
func (s *Store) Get(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[Key{table, part, key}].Value
}

func (s *Store) tx(w http.ResponseWriter, r *http.Request) {
	var tx Tx
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if status, why := valid(tx); status != 0 {
		s.mu.Lock()
		s.refused++
		first := s.refused <= 3
		s.mu.Unlock()
		if first {
			s.record.Say("store: transaction refused with %d: %s", status, why)
		}
		http.Error(w, why, status)
		return
	}
	s.mu.Lock()
	lose := s.loseTx
	s.mu.Unlock()
	if lose != nil {
		if after, lost := lose(tx); lost {
			s.record.Say("store: answer to the write of %s lost, carried out in %s", describe(tx), after)
			time.AfterFunc(after, func() {
				conflict, ver := s.execute(tx)
				s.record.Say("store: late write of %s carried out: conflict %t, version %d", describe(tx), conflict != nil, ver)
			})
			<-r.Context().Done() // the channel delivers nothing further
			panic(http.ErrAbortHandler)
		}
	}
	conflict, ver := s.execute(tx)
	s.wait()
	if conflict != nil {
		w.WriteHeader(http.StatusPreconditionFailed)
		reply(w, rowsReply{Rows: conflict, Ver: ver, NowMS: s.now()})
		return
	}
	reply(w, rowsReply{Ver: ver, NowMS: s.now(), Rows: []Row{}})
}

func describe(tx Tx) string {
	var names []string
	for _, p := range tx.Puts {
		names = append(names, p.Table+"/"+p.Key.Key)
	}
	return strings.Join(names, ",")
}

func (s *Store) now() int64 { return time.Since(s.began).Milliseconds() }

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := rowsPerPage
	if n, err := strconv.Atoi(query.Get("limit")); err == nil {
		limit = min(limit, n)
	}
	s.wait()
	s.mu.Lock()
	out := rowsReply{Ver: s.ver, Rows: []Row{}, NowMS: s.now()}
	for key, row := range s.rows {
		if key.Table == query.Get("table") && key.Part == query.Get("part") && key.Key >= query.Get("from") &&
			(query.Get("target") == "" || key.Key < query.Get("target")) {
			out.Rows = append(out.Rows, row)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(out.Rows, func(a, b Row) int { return strings.Compare(a.Key.Key, b.Key.Key) })
	if len(out.Rows) > limit {
		out.Rows, out.HasMore = out.Rows[:limit], true
	}
	size := 0
	for i, row := range out.Rows {
		if size += len(row.Value) * 4 / 3; size > 1<<20 && i > 0 {
			out.Rows, out.HasMore = out.Rows[:i], true
			break
		}
	}
	time.Sleep(time.Millisecond)
	reply(w, out)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		out := rowsReply{Ver: s.ver, Rows: []Row{}, NowMS: s.now()}
		first, _ := slices.BinarySearchFunc(s.log, after+1, func(row Row, ver int64) int { return int(row.Ver - ver) })
		for _, row := range s.log[first:] {
			if row.Table == query.Get("table") {
				out.Rows = append(out.Rows, row)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(out.Rows) > 0 {
			s.wait()
			reply(w, out)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, out)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
