package main

import (
	"time"
)

func init() { cases["crashes"] = crashes }

const (
	// crashFor is how long a crashed worker is down: the longest srv_crash of the site file.
	crashFor = 4500 * time.Millisecond
	// crashAfter is how long the task has been at work when its worker crashes.
	crashAfter = 3 * time.Second
	crashCount = 3
	// restartWithin is the time from which on LOST counts a task that lasts and doesn't run.
	restartWithin = 9 * time.Second
)

// crashes: three times, one of eight workers crashes, the one that runs the task of a submission that lasts. The
// task itself never fails.
func crashes(s *sim) int {
	s.putConfig(queue("q", prefix, 1, 2))
	if s.startVMs(3) != nil || s.addWorkers(8, "booking", resources{16000, 65536, 0}) != nil {
		return unusable
	}
	go s.beat()
	if !s.awaitReady(15 * time.Second) {
		return unusable
	}
	id := newID()
	if !s.submit(prefix, id, `{"spec":"lasting","steps":[{"count":1,"cpu":2000,"mem_mb":1000,"estimate_ms":1000,"long_running":true}]}`) {
		return unusable
	}
	task := id + ".0.0.0"
	for n := range crashCount {
		w := s.awaitRun(task, 15*time.Second)
		if w == nil {
			s.record("the task doesn't run within 15 s after %d crashes", n)
			break
		}
		time.Sleep(crashAfter)
		if !s.trouble {
			continue
		}
		w.crash(false)
		time.AfterFunc(crashFor, func() { _ = w.start(newWorkerID()) })
	}
	time.Sleep(20 * time.Second)
	_, state := s.state(prefix, id)
	failed := s.endsOf(task, "failed")
	s.record("state %q, %d starts, %d ends failed, runs now: %v", state, s.starts[task], failed, s.isLive(task))
	switch {
	case state == "failed" && failed == 0:
		s.record("LOST is broken: the submission is shown as failed without cause")
		return broken
	case !s.isLive(task) && time.Since(s.lastEnd[task]) > restartWithin:
		s.record("LOST is broken: the task that lasts doesn't run, with seven of eight workers idle")
		return broken
	case state != "running":
		return unusable
	}
	return held
}

// awaitRun returns the worker that runs a task, or nil if none does within a time.
func (s *sim) awaitRun(task string, limit time.Duration) *worker {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, w := range s.workers {
			for _, t := range w.runs() {
				if t == task {
					return w
				}
			}
		}
	}
	return nil
}
