package sim

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// resultsPerAnswer is how many results a worker lists in one answer.
const resultsPerAnswer = 500

// incarnationHeader names the lifetime that a command is meant for.
const incarnationHeader = "Tanagerstack-Target-Instance"

// Kind is what a lifetime of a worker has.
type Kind struct {
	CPU, MemMB int64
	Labels     []string
}

// TaskPlan is how the tasks of a job behave.
type TaskPlan struct {
	CPU, MemMB int64
	Spec       string
	Label      string
	RunTime    time.Duration
	// Steps, if set, has the counts of the job's steps, each after the one before.
	Steps []int
	Queue string
}

// Start is a run that a worker has begun.
type Start struct {
	At       time.Duration
	Worker   string
	Born     int64
	Task     string
	Job      string
	Step     int
	Run      int
	Ended    time.Duration
	How      string
	Sequence int64
	// Noted is when an acknowledgment reached the result; zero if none did.
	Noted time.Duration
	// Lapsed is set if the worker's lease lapsed between the end and the acknowledgment.
	Lapsed bool
	// Used is the processor use of the worker with this run, and Capacity the worker's.
	Used, Capacity int64
	Labels         []string
}

// Fleet is the workers and what was seen on them.
type Fleet struct {
	Record *Record
	Store  *Store

	mu     sync.Mutex
	Starts []*Start
	plans  map[string]TaskPlan
}

// NewFleet returns a fleet without workers.
func NewFleet(record *Record, store *Store) *Fleet {
	return &Fleet{Record: record, Store: store, plans: make(map[string]TaskPlan)}
}

// Plan sets how the tasks of a job behave.
func (f *Fleet) Plan(job string, plan TaskPlan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plans[job] = plan
}

func (f *Fleet) plan(task string) (TaskPlan, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	job, _, _ := strings.Cut(task, ".")
	p, ok := f.plans[job]
	return p, ok
}

// All returns copies of all starts so far.
func (f *Fleet) All() []Start {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]Start, 0, len(f.Starts))
	for _, s := range f.Starts {
		list = append(list, *s)
	}
	return list
}

// Worker is a stand-in of an executor.
type Worker struct {
	ID      string
	fleet   *Fleet
	maxHold time.Duration
	stopIn  time.Duration

	mu         sync.Mutex
	kind       Kind
	server     *http.Server
	address    string
	born       time.Time
	fence      int64
	leaseUntil time.Time
	running    map[string]*running
	highest    map[string]int
	results    []result
	last       int64
	changed    chan struct{}
	failing    bool
	// cut is closed when the partition of the worker ends; nil if there is none.
	cut chan struct{}
	seq int64
	// MostListed is the greatest number of unacknowledged results.
	MostListed int
}

type running struct {
	*Start
	cpu, mem int64
}

type result struct {
	row   []any
	start *Start
}

// NewWorker starts a worker on a free port and registers it.
func NewWorker(f *Fleet, id string, kind Kind, maxHold, stopIn time.Duration) (*Worker, error) {
	w := &Worker{ID: id, fleet: f, maxHold: maxHold, stopIn: stopIn, kind: kind}
	if err := w.live(""); err != nil {
		return nil, err
	}
	w.Register()
	go w.heartbeats()
	return w, nil
}

// live begins a lifetime on an address; empty selects a free port.
func (w *Worker) live(address string) error {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.intended(w.start))
	mux.HandleFunc("POST /api/run-stop", w.intended(w.stop))
	mux.HandleFunc("POST /api/hold", w.intended(w.hold))
	server := &http.Server{Handler: mux}
	w.mu.Lock()
	w.server, w.address = server, listener.Addr().String()
	w.born = time.Now().Truncate(time.Millisecond)
	w.fence, w.results, w.last, w.leaseUntil = 0, nil, 0, time.Time{}
	w.running, w.highest = make(map[string]*running), make(map[string]int)
	w.changed = make(chan struct{})
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Register writes the worker's entry.
func (w *Worker) Register() {
	w.mu.Lock()
	w.seq++
	entry := map[string]any{
		"service": "svc", "address": w.address, "zone": "zone-a", "version": "1", "slots": 8, "state": "ready", "cold_ms": 0, "seq": w.seq,
		"capacity": map[string]any{"cpu": w.kind.CPU, "mem_mb": w.kind.MemMB, "gpu": 0}, "labels": w.kind.Labels, "born": w.born.UnixMilli(),
	}
	w.mu.Unlock()
	w.fleet.Store.Put("servers", w.ID, entry)
}

func (w *Worker) heartbeats() {
	for {
		time.Sleep(1500 * time.Millisecond)
		w.mu.Lock()
		up := w.server != nil && w.cut == nil
		w.mu.Unlock()
		if up {
			w.Register()
		}
	}
}

// Crash ends the lifetime: everything that runs is gone and all channels are closed.
func (w *Worker) Crash() {
	w.mu.Lock()
	server := w.server
	w.server = nil
	for _, r := range w.running {
		w.fleet.mu.Lock()
		r.Ended, r.How = w.fleet.Record.Now(), "lost"
		w.fleet.mu.Unlock()
	}
	w.running = make(map[string]*running)
	w.mu.Unlock()
	_ = server.Close()
	w.fleet.Record.Say("worker %s crashes", w.ID)
}

// Restart begins a new lifetime under the same ID and address, and of the given kind. It serves
// at once; its entry is in the store after the given time.
func (w *Worker) Restart(kind Kind, entryAfter time.Duration) error {
	w.mu.Lock()
	w.kind = kind
	address := w.address
	w.mu.Unlock()
	if err := w.live(address); err != nil {
		return err
	}
	w.fleet.Record.Say("worker %s starts again: kind %v, cpu %d, born %d", w.ID, kind.Labels, kind.CPU, w.born.UnixMilli())
	time.AfterFunc(entryAfter, func() {
		w.Register()
		w.fleet.Record.Say("worker %s has its new entry in the store", w.ID)
	})
	return nil
}

// SetFailing makes the worker fail all that it starts.
func (w *Worker) SetFailing(failing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing = failing
}

// Counts returns the numbers of running tasks and of unacknowledged results.
func (w *Worker) Counts() (runs, results int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running), len(w.results)
}

func (w *Worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1000 }

func (w *Worker) intended(h func(http.ResponseWriter, *http.Request)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(incarnationHeader); id != "" && id != w.ID {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.dropIfCut(r)
		h(rw, r)
	}
}

// dropIfCut drops a request, or the answer to it, if the worker is cut off: nothing arrives, and the
// channel delivers nothing further.
func (w *Worker) dropIfCut(r *http.Request) {
	w.mu.Lock()
	cut := w.cut
	w.mu.Unlock()
	if cut == nil {
		return
	}
	select {
	case <-cut:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

// CutOff partitions the worker from all machines for a time. What runs there goes on.
func (w *Worker) CutOff(length time.Duration) {
	cut := make(chan struct{})
	w.mu.Lock()
	w.cut = cut
	w.mu.Unlock()
	w.fleet.Record.Say("worker %s is cut off for %s", w.ID, length)
	time.Sleep(length)
	w.mu.Lock()
	w.cut = nil
	w.mu.Unlock()
	close(cut)
	w.fleet.Record.Say("the cut of worker %s ends", w.ID)
}

// Lease returns how long the worker's lease still lasts.
func (w *Worker) Lease() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Until(w.leaseUntil)
}

func (w *Worker) refuse(rw http.ResponseWriter, reason string) {
	rw.WriteHeader(http.StatusConflict)
	reply(rw, map[string]any{"clock_ms": w.clock(), "reason": reason})
}

// renew extends the lease. It never shortens. w.mu must be held.
func (w *Worker) renew(untilMS int64) {
	until := w.born.Add(time.Duration(untilMS-1000) * time.Millisecond)
	if limit := time.Now().Add(w.maxHold); until.After(limit) {
		until = limit
	}
	if until.After(w.leaseUntil) {
		w.leaseUntil = until
	}
}

// lapse ends all runs if the lease has expired. w.mu must be held.
func (w *Worker) lapse() {
	if time.Now().Before(w.leaseUntil) {
		return
	}
	for _, r := range w.results {
		w.fleet.mu.Lock()
		r.start.Lapsed = true
		w.fleet.mu.Unlock()
	}
	for _, r := range w.running {
		w.end(r, "lapsed")
	}
}

// end ends a run. w.mu must be held.
func (w *Worker) end(r *running, how string) {
	if w.running[r.Task] != r {
		return
	}
	delete(w.running, r.Task)
	w.highest[r.Task] = max(w.highest[r.Task], r.Run)
	w.last++
	w.fleet.mu.Lock()
	r.Ended, r.How, r.Sequence = w.fleet.Record.Now(), how, w.last
	w.fleet.mu.Unlock()
	w.fleet.Record.Line("%s: end %d of %s run %d: %s", w.ID, w.last, r.Task, r.Run, how)
	w.results = append(w.results, result{row: []any{w.last, r.Task, r.Run, how, ""}, start: r.Start})
	w.MostListed = max(w.MostListed, len(w.results))
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) start(rw http.ResponseWriter, r *http.Request) {
	var c struct {
		Task    string `json:"task"`
		Run     int    `json:"run"`
		Spec    string `json:"spec"`
		UntilMS int64  `json:"until_ms"`
		Fence   int64  `json:"fence"`
	}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lapse()
	if c.Fence < w.fence {
		w.refuse(rw, "fence")
		return
	}
	w.fence = c.Fence
	present := w.running[c.Task]
	switch {
	case c.UntilMS <= w.clock():
		w.refuse(rw, "late")
		return
	case present != nil && present.Run == c.Run:
		w.renew(c.UntilMS)
		reply(rw, map[string]any{"clock_ms": w.clock()})
		return
	case c.Run <= w.highest[c.Task] || present != nil && present.Run > c.Run:
		w.renew(c.UntilMS)
		w.refuse(rw, "old")
		return
	}
	w.renew(c.UntilMS)
	w.begin(c.Task, c.Run, c.Spec)
	reply(rw, map[string]any{"clock_ms": w.clock()})
}

// begin begins a run. w.mu must be held.
func (w *Worker) begin(task string, number int, spec string) {
	plan, known := w.fleet.plan(task)
	parts := strings.Split(task, ".")
	step, _ := strconv.Atoi(parts[2])
	used := plan.CPU
	for _, other := range w.running {
		used += other.cpu
	}
	run := &running{
		Start: &Start{
			At: w.fleet.Record.Now(), Worker: w.ID, Born: w.born.UnixMilli(), Task: task, Job: parts[0], Step: step, Run: number,
			Used: used, Capacity: w.kind.CPU, Labels: w.kind.Labels,
		},
		cpu: plan.CPU, mem: plan.MemMB,
	}
	w.fleet.mu.Lock()
	w.fleet.Starts = append(w.fleet.Starts, run.Start)
	w.fleet.mu.Unlock()
	w.fleet.Record.Line("%s: start of %s run %d, known %t, same spec %t, cpu used %d of %d, labels %v",
		w.ID, task, number, known, spec == plan.Spec, used, w.kind.CPU, w.kind.Labels)
	w.running[task] = run
	how, after := "done", plan.RunTime
	if w.failing {
		how, after = "failed", 5*time.Millisecond
	}
	time.AfterFunc(after, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.lapse()
		w.end(run, how)
	})
}

func (w *Worker) stop(rw http.ResponseWriter, r *http.Request) {
	var c struct {
		Task  string `json:"task"`
		Run   int    `json:"run"`
		Fence int64  `json:"fence"`
	}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lapse()
	if c.Fence < w.fence {
		w.refuse(rw, "fence")
		return
	}
	w.fence = c.Fence
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	if run := w.running[c.Task]; run != nil && run.Run <= c.Run {
		time.AfterFunc(w.stopIn, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(run, "stopped")
		})
	}
	reply(rw, map[string]any{"clock_ms": w.clock()})
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request) {
	var c struct {
		UntilMS   int64 `json:"until_ms"`
		Fence     int64 `json:"fence"`
		AckedUpto int64 `json:"acked_upto"`
		WaitMS    int64 `json:"wait_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	w.lapse()
	if c.Fence < w.fence {
		w.refuse(rw, "fence")
		w.mu.Unlock()
		return
	}
	w.fence = c.Fence
	if c.UntilMS > 0 {
		w.renew(c.UntilMS)
	}
	for len(w.results) > 0 && w.results[0].row[0].(int64) <= c.AckedUpto {
		w.fleet.mu.Lock()
		w.results[0].start.Noted = w.fleet.Record.Now()
		w.fleet.mu.Unlock()
		w.results = w.results[1:]
	}
	wait, changed := len(w.results) == 0 && c.WaitMS > 0, w.changed
	w.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(c.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	w.dropIfCut(r)
	w.mu.Lock()
	w.lapse()
	runs, ended := make([][]any, 0, len(w.running)), make([][]any, 0, min(len(w.results), resultsPerAnswer))
	for _, run := range w.running {
		plan, _ := w.fleet.plan(run.Task)
		percent := 50
		if plan.RunTime > 0 {
			percent = min(99, int(100*(w.fleet.Record.Now()-run.At)/plan.RunTime))
		}
		runs = append(runs, []any{run.Task, run.Run, "", percent, run.cpu})
	}
	for _, res := range w.results[:min(len(w.results), resultsPerAnswer)] {
		ended = append(ended, res.row)
	}
	answer := map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": runs, "ended": ended}
	w.mu.Unlock()
	reply(rw, answer)
}
