package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// resources are what a task requests, or a worker has.
type resources struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	GPU   int64 `json:"gpu"`
}

// runState is a run on a worker.
type runState struct {
	task    string
	number  int
	endsAt  time.Time
	beganAt time.Time
	lasting bool
	timer   *time.Timer
}

// worker is a stand-in of an executor, as the pages describe it. It doesn't guard its capacity.
type worker struct {
	sim      *sim
	machine  string
	service  string
	address  string
	labels   []string
	capacity resources
	holdMax  time.Duration
	stopTime time.Duration

	mu     sync.Mutex
	life   *life
	server *http.Server
	seq    int64
	// shrunkAt is when the capacity has shrunk; since counts the starts after it, and over those that brought the
	// worker over its capacity.
	shrunkAt    time.Time
	since, over int
}

// life is one lifetime of a worker.
type life struct {
	id       string
	born     time.Time
	fence    int64
	until    time.Time
	expiry   *time.Timer
	running  map[string]*runState
	highest  map[string]int
	ended    []ended
	lastEnd  int64
	changed  chan struct{}
	draining bool
}

// ended is a row of the list of ends.
type ended struct {
	n    int64
	task string
	run  int
	how  string
}

func (l *life) clock() int64 { return time.Since(l.born).Milliseconds() }

func (l *life) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// start begins a lifetime under an id.
func (w *worker) start(id string) error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.life = &life{id: id, born: time.Now(), running: make(map[string]*runState), highest: make(map[string]int), changed: make(chan struct{})}
	w.server = &http.Server{Handler: w}
	server := w.server
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	w.sim.record("worker %s starts as %s at %s", w.machine, id, w.address)
	w.report()
	return nil
}

// report writes the worker's entry.
func (w *worker) report() {
	w.mu.Lock()
	l := w.life
	if l == nil {
		w.mu.Unlock()
		return
	}
	state := "ready"
	if l.draining {
		state = "draining"
	}
	w.seq++
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": w.sim.zone, "version": "v1", "slots": 8, "state": state, "cold_ms": 0, "seq": w.seq,
		"capacity": w.capacity, "labels": w.labels, "born": l.born.UnixMilli(), "machine": w.machine,
	}
	id := l.id
	w.mu.Unlock()
	if w.sim.store.isDown() {
		return
	}
	w.sim.store.put("servers", id, entry)
}

// crash ends the lifetime without a word. Its entry is removed after three check-in intervals of silence.
func (w *worker) crash(gone bool) {
	w.mu.Lock()
	l := w.life
	w.life = nil
	server := w.server
	for _, r := range l.running {
		r.timer.Stop()
		w.sim.runEnded(w, r, "gone with its worker")
	}
	l.running = nil
	w.mu.Unlock()
	_ = server.Close()
	w.sim.record("worker %s (%s) crashes", w.machine, l.id)
	id := l.id
	time.AfterFunc(3*heartbeat, func() {
		w.mu.Lock()
		again := w.life != nil && w.life.id == id
		w.mu.Unlock()
		if !again {
			w.sim.store.remove("servers", id)
		}
	})
}

func (w *worker) isUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.life != nil
}

// runs returns the tasks that are running.
func (w *worker) runs() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []string
	if w.life != nil {
		for task := range w.life.running {
			list = append(list, task)
		}
	}
	return list
}

type command struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	UntilMS    int64  `json:"until_ms"`
	Fence      int64  `json:"fence"`
	AckedUpto  int64  `json:"acked_upto"`
	WaitMS     int64  `json:"wait_ms"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var c command
	if r.Method == http.MethodPost {
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	w.mu.Lock()
	l := w.life
	w.mu.Unlock()
	if l == nil {
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get("Tanagerstack-Target-Instance"); id != "" && id != l.id {
		writeJSON(out, http.StatusMisdirectedRequest, map[string]any{"clock_ms": l.clock()})
		return
	}
	switch r.URL.Path {
	case "/health":
		out.WriteHeader(http.StatusOK)
	case "/api/run-start":
		w.serveStart(out, l, c)
	case "/api/run-stop":
		w.serveStop(out, l, c)
	case "/api/hold":
		w.serveHold(out, r, l, c)
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

func reject(out http.ResponseWriter, l *life, reason string) {
	writeJSON(out, http.StatusConflict, map[string]any{"clock_ms": l.clock(), "reason": reason})
}

// extend moves the end of the lease. w.mu is held.
func (w *worker) extend(l *life, untilMS int64) {
	if untilMS <= 0 {
		return
	}
	until := l.born.Add(time.Duration(untilMS) * time.Millisecond)
	if latest := time.Now().Add(w.holdMax); until.After(latest) {
		until = latest
	}
	if !until.After(l.until) {
		return
	}
	l.until = until
	if l.expiry != nil {
		l.expiry.Stop()
	}
	l.expiry = time.AfterFunc(time.Until(until), func() { w.lapse(l) })
}

func (w *worker) lapse(l *life) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life != l || time.Now().Before(l.until) {
		return
	}
	for _, r := range l.running {
		w.end(l, r, "lapsed")
	}
}

// end ends a run. w.mu is held.
func (w *worker) end(l *life, r *runState, how string) {
	if l.running[r.task] != r {
		return
	}
	delete(l.running, r.task)
	r.timer.Stop()
	l.lastEnd++
	l.ended = append(l.ended, ended{l.lastEnd, r.task, r.number, how})
	l.highest[r.task] = max(l.highest[r.task], r.number)
	w.sim.runEnded(w, r, how)
	l.notify()
}

func (w *worker) serveStart(out http.ResponseWriter, l *life, c command) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life != l {
		panic(http.ErrAbortHandler)
	}
	if c.Fence < l.fence {
		reject(out, l, "fence")
		return
	}
	l.fence = c.Fence
	if r := l.running[c.Task]; r != nil && r.number == c.Run {
		w.extend(l, c.UntilMS)
		writeJSON(out, http.StatusOK, map[string]any{"clock_ms": l.clock()})
		return
	}
	if c.Run <= l.highest[c.Task] || l.running[c.Task] != nil {
		w.extend(l, c.UntilMS)
		reject(out, l, "old")
		return
	}
	if c.UntilMS <= l.clock() {
		reject(out, l, "late")
		return
	}
	w.extend(l, c.UntilMS)
	duration, lasting := w.sim.runTime(c.Task, c.Spec)
	r := &runState{task: c.Task, number: c.Run, beganAt: time.Now(), endsAt: time.Now().Add(duration), lasting: lasting}
	how := "done"
	if strings.Contains(c.Spec, "fails") {
		how = "failed"
	}
	if lasting {
		r.timer = time.NewTimer(time.Hour)
	} else {
		r.timer = time.AfterFunc(duration, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.life == l {
				w.end(l, r, how)
			}
		})
	}
	l.running[c.Task] = r
	w.sim.runBegan(w, l, r, c)
	w.noteStart(l, r)
	writeJSON(out, http.StatusOK, map[string]any{"clock_ms": l.clock()})
}

func (w *worker) serveStop(out http.ResponseWriter, l *life, c command) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life != l {
		panic(http.ErrAbortHandler)
	}
	if c.Fence < l.fence {
		reject(out, l, "fence")
		return
	}
	l.fence = c.Fence
	r := l.running[c.Task]
	if r == nil || r.number > c.Run {
		l.highest[c.Task] = max(l.highest[c.Task], c.Run)
	} else if r.number == c.Run {
		time.AfterFunc(w.stopTime/2, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.life == l {
				w.end(l, r, "stopped")
			}
		})
	}
	writeJSON(out, http.StatusOK, map[string]any{"clock_ms": l.clock()})
}

func (w *worker) serveHold(out http.ResponseWriter, r *http.Request, l *life, c command) {
	w.mu.Lock()
	if w.life != l {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if c.Fence < l.fence {
		reject(out, l, "fence")
		w.mu.Unlock()
		return
	}
	l.fence = c.Fence
	w.extend(l, c.UntilMS)
	for len(l.ended) > 0 && l.ended[0].n <= c.AckedUpto {
		l.ended = l.ended[1:]
	}
	if len(l.ended) == 0 && c.WaitMS > 0 {
		changed := l.changed
		w.mu.Unlock()
		timer := time.NewTimer(time.Duration(min(c.WaitMS, 2000)) * time.Millisecond)
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
		}
		timer.Stop()
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	if w.life != l {
		panic(http.ErrAbortHandler)
	}
	running := [][]any{}
	for _, s := range l.running {
		percent := 100
		if !s.lasting {
			percent = min(99, int(100*time.Since(s.beganAt)/max(1, s.endsAt.Sub(s.beganAt))))
		}
		running = append(running, []any{s.task, s.number, "", percent, 0})
	}
	list := [][]any{}
	for _, e := range l.ended[:min(len(l.ended), 500)] {
		list = append(list, []any{e.n, e.task, e.run, e.how, ""})
	}
	writeJSON(out, http.StatusOK, map[string]any{"clock_ms": l.clock(), "born": l.born.UnixMilli(), "running": running, "ended": list})
}

// parseSpec returns the run time in a spec of the form "... run_ms=N ..." and whether its tasks last.
func parseSpec(spec string) (time.Duration, bool) {
	for _, word := range strings.Fields(spec) {
		if value, ok := strings.CutPrefix(word, "run_ms="); ok {
			if ms, err := strconv.Atoi(value); err == nil {
				return time.Duration(ms) * time.Millisecond, false
			}
		}
	}
	return 0, strings.Contains(spec, "lasting")
}
