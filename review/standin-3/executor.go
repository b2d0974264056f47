package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The bounds of the sheet of Kabinett that executors keep.
const (
	maxLease      = 6 * time.Second
	stopTime      = 300 * time.Millisecond
	heartbeat     = 1500 * time.Millisecond
	maxEndsListed = 500
)

// Start is a start that an executor has begun, or its end.
type Event struct {
	At       time.Time
	Executor string
	Task     string
	Run      int
	What     string
}

// Executor is a stand-in of an executor without guard of its capacity. One value is one lifetime.
type Executor struct {
	ID, Address, Zone, Rack string
	CPU, MemMB              int
	Service                 string
	store                   *Store
	record                  func(Event)
	workTime                func(task, spec string) time.Duration

	mu       sync.Mutex
	booted   time.Time
	born     int64
	seq      int
	fence    int64
	until    time.Duration
	running  map[string]*execution
	highest  map[string]int
	ended    [][]any
	nextEnd  int
	notify   chan struct{}
	down     bool
	server   *http.Server
	stopBeat chan struct{}
}

type execution struct {
	run     int
	began   time.Time
	work    time.Duration
	timer   *time.Timer
	stopped bool
}

// Boot starts a lifetime at the executor's address.
func (e *Executor) Boot() error {
	l, err := net.Listen("tcp", e.Address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.booted, e.born, e.seq, e.fence, e.until = time.Now(), time.Now().UnixMilli(), 0, 0, 0
	e.running, e.highest, e.ended, e.nextEnd = make(map[string]*execution), make(map[string]int), nil, 0
	e.notify, e.down, e.stopBeat = make(chan struct{}), false, make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("POST /api/run-start", e.start)
	mux.HandleFunc("POST /api/run-stop", e.stop)
	mux.HandleFunc("POST /api/hold", e.hold)
	e.server = &http.Server{Handler: mux}
	server, stopBeat := e.server, e.stopBeat
	e.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go e.beat(stopBeat)
	go e.expire(stopBeat)
	return nil
}

// Crash ends the lifetime: everything that runs is gone.
func (e *Executor) Crash() {
	e.mu.Lock()
	e.down = true
	for task, x := range e.running {
		x.timer.Stop()
		e.note(task, x.run, "gone")
	}
	e.running = make(map[string]*execution)
	close(e.stopBeat)
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
}

// Running returns the number of runs.
func (e *Executor) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

func (e *Executor) note(task string, run int, what string) {
	e.record(Event{At: time.Now(), Executor: e.ID, Task: task, Run: run, What: what})
}

func (e *Executor) clock() time.Duration { return time.Hour + time.Since(e.booted) }

func (e *Executor) beat(stop chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		e.mu.Lock()
		if e.down {
			e.mu.Unlock()
			return
		}
		e.seq++
		entry := map[string]any{
			"service": e.Service, "address": e.Address, "zone": e.Zone, "version": "v1", "slots": 8, "state": "ready", "cold_ms": 0,
			"capacity": map[string]int{"cpu": e.CPU, "mem_mb": e.MemMB, "gpu": 0}, "labels": []string{"a", e.Rack},
			"clock_ms": e.clock().Milliseconds(), "seq": e.seq, "born": e.born,
		}
		e.mu.Unlock()
		e.store.Put("servers", e.ID, entry)
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// expire ends all runs whose lease has run out.
func (e *Executor) expire(stop chan struct{}) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		e.mu.Lock()
		if e.clock() > e.until {
			for task, x := range e.running {
				x.timer.Stop()
				e.end(task, x, "lapsed")
			}
		}
		e.mu.Unlock()
	}
}

// end ends a run. The caller holds e.mu.
func (e *Executor) end(task string, x *execution, how string) {
	if e.down || e.running[task] != x {
		return
	}
	delete(e.running, task)
	e.highest[task] = max(e.highest[task], x.run)
	e.nextEnd++
	e.ended = append(e.ended, []any{e.nextEnd, task, x.run, how, ""})
	e.note(task, x.run, how)
	close(e.notify)
	e.notify = make(chan struct{})
}

type order struct {
	Task      string `json:"task"`
	Run       int    `json:"run"`
	Spec      string `json:"spec"`
	UntilMS   int64  `json:"until_ms"`
	Fence     int64  `json:"fence"`
	AckedUpto int    `json:"acked_upto"`
	WaitMS    int    `json:"wait_ms"`
}

// read decodes an order and checks its lifetime and its fence. It returns with e.mu held if it
// reports true.
func (e *Executor) read(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	if id := r.Header.Get("Tanagerstack-Target-Instance"); id != "" && id != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	e.mu.Lock()
	if o.Fence < e.fence {
		e.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		e.mu.Unlock()
		return o, false
	}
	e.fence = o.Fence
	return o, true
}

// answer writes an answer with the clock. The caller holds e.mu.
func (e *Executor) answer(w http.ResponseWriter, code int, body map[string]any) {
	body["clock_ms"], body["born"] = e.clock().Milliseconds(), e.born
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(data)
}

func (e *Executor) extend(untilMS int64) {
	until := min(time.Duration(untilMS)*time.Millisecond, e.clock()+maxLease)
	e.until = max(e.until, until)
}

func (e *Executor) start(w http.ResponseWriter, r *http.Request) {
	o, ok := e.read(w, r)
	if !ok {
		return
	}
	defer e.mu.Unlock()
	if e.down {
		return
	}
	if x := e.running[o.Task]; x != nil && x.run == o.Run {
		e.extend(o.UntilMS)
		e.answer(w, http.StatusOK, map[string]any{})
		return
	}
	if o.Run <= e.highest[o.Task] {
		e.extend(o.UntilMS)
		e.answer(w, http.StatusConflict, map[string]any{"reason": "old"})
		return
	}
	if time.Duration(o.UntilMS)*time.Millisecond <= e.clock() {
		e.answer(w, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	e.extend(o.UntilMS)
	x := &execution{run: o.Run, began: time.Now(), work: e.workTime(o.Task, o.Spec)}
	e.running[o.Task] = x
	e.note(o.Task, o.Run, "start")
	x.timer = time.AfterFunc(x.work, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.end(o.Task, x, "done")
	})
	e.answer(w, http.StatusOK, map[string]any{})
}

func (e *Executor) stop(w http.ResponseWriter, r *http.Request) {
	o, ok := e.read(w, r)
	if !ok {
		return
	}
	defer e.mu.Unlock()
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	if x := e.running[o.Task]; x != nil && x.run <= o.Run && !x.stopped {
		x.stopped = true
		x.timer.Stop()
		time.AfterFunc(stopTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.end(o.Task, x, "stopped")
		})
	}
	e.answer(w, http.StatusOK, map[string]any{})
}

func (e *Executor) hold(w http.ResponseWriter, r *http.Request) {
	o, ok := e.read(w, r)
	if !ok {
		return
	}
	if o.UntilMS > 0 {
		e.extend(o.UntilMS)
	}
	first := 0
	for first < len(e.ended) && e.ended[first][0].(int) <= o.AckedUpto {
		first++
	}
	e.ended = e.ended[first:]
	deadline := time.Now().Add(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	for len(e.ended) == 0 && !e.down && time.Now().Before(deadline) {
		notify := e.notify
		e.mu.Unlock()
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-notify:
		case <-timer.C:
		case <-r.Context().Done():
		}
		timer.Stop()
		e.mu.Lock()
		if r.Context().Err() != nil {
			break
		}
	}
	running := make([][]any, 0, len(e.running))
	for task, x := range e.running {
		percent := min(99, int(100*time.Since(x.began)/max(x.work, time.Millisecond)))
		running = append(running, []any{task, x.run, "", percent, 1000})
	}
	ended := e.ended[:min(len(e.ended), maxEndsListed)]
	if ended == nil {
		ended = [][]any{}
	}
	e.answer(w, http.StatusOK, map[string]any{"running": running, "ended": ended})
	e.mu.Unlock()
}

// workOf returns the time in a spec of the form "work=MS ...".
func workOf(_, spec string) time.Duration {
	var ms int
	if _, err := fmt.Sscanf(spec, "work=%d", &ms); err != nil || !strings.HasPrefix(spec, "work=") {
		return 500 * time.Millisecond
	}
	return time.Duration(ms) * time.Millisecond
}
