package main

import (
	"time"
)

func init() { cases["shrunk"] = shrunk }

const (
	// outage is the longest time for which the site file has the whole store down.
	outage = 6300 * time.Millisecond
	// grace is how long the former capacity counts after it has shrunk: stability_ms and one beat.
	grace = 4*time.Second + heartbeat
	// taskCPU is what each task of the play takes.
	taskCPU = 4000
)

// shrunk: one of eight workers loses half of its processors while the store is down, once.
func shrunk(s *sim) int {
	s.putConfig(queue("q", prefix, 1, 2))
	if s.startVMs(3) != nil || s.addWorkers(8, "booking", resources{16000, 65536, 0}) != nil {
		return unusable
	}
	go s.beat()
	if !s.awaitReady(15 * time.Second) {
		return unusable
	}
	// Work for 30 s and more: each worker has room for four tasks at a time.
	if !s.submit(prefix, newID(), `{"spec":"run_ms=640","steps":[{"count":2000,"cpu":4000,"mem_mb":1000,"estimate_ms":640}]}`) {
		return unusable
	}
	time.Sleep(5 * time.Second)
	w := s.workers[0]
	if s.trouble {
		s.store.setDown(true)
		s.record("the store is down")
	}
	w.shrink()
	s.record("%s shrinks to %d thousandths of a core", w.machine, w.capacity.CPU)
	time.Sleep(outage)
	if s.trouble {
		s.store.setDown(false)
		s.record("the store is back")
	}
	time.Sleep(5 * time.Second)
	over := w.startsOver()
	s.record("%d starts brought %s over its capacity, later than %.1f s after it had shrunk", over, w.machine, grace.Seconds())
	switch {
	case over > 0:
		s.record("LIMIT is broken")
		return broken
	case w.startsSince() == 0:
		s.record("nothing has started there since")
		return unusable
	}
	return held
}

// shrink halves the processors of a worker. Its next entry shows it.
func (w *worker) shrink() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.capacity.CPU /= 2
	w.shrunkAt = time.Now()
}

// noteStart records a start that brings the worker over its capacity. w.mu is held, and the run is listed.
func (w *worker) noteStart(l *life, r *runState) {
	if w.shrunkAt.IsZero() {
		return
	}
	w.since++
	age := time.Since(w.shrunkAt)
	if used := taskCPU * int64(len(l.running)); used > w.capacity.CPU && age > grace {
		w.over++
		w.sim.record("start of %s number %d on %s, %.2f s after it has shrunk: %d of %d thousandths of a core in use",
			r.task, r.number, w.machine, age.Seconds(), used, w.capacity.CPU)
	}
}

func (w *worker) startsOver() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.over
}

func (w *worker) startsSince() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.since
}
