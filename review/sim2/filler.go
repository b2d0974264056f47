package main

import (
	"fmt"
	"time"
)

func init() { cases["filler"] = filler }

// fillerRun is how long the task that fills works.
const fillerRun = 10 * time.Second

// filler: seven tasks that serve run on seven of eight workers, and a task that fills on the eighth, which is then
// lost for good.
func filler(s *sim) int {
	s.putConfig(queue("q", prefix, 1, 2))
	capacity := resources{16000, 65536, 0}
	if s.startVMs(3) != nil || s.addWorkers(8, "booking", capacity) != nil {
		return unusable
	}
	go s.beat()
	if !s.awaitReady(15 * time.Second) {
		return unusable
	}
	filling, serving := newID(), newID()
	if !s.submit(prefix, filling, fmt.Sprintf(`{"spec":"run_ms=%d","steps":[{"count":1,"cpu":2000,"mem_mb":1000,"estimate_ms":%[1]d,"fills":true,"image":"f"}]}`, fillerRun.Milliseconds())) {
		return unusable
	}
	task := filling + ".0.0.0"
	w := s.awaitRun(task, 5*time.Second)
	if w == nil {
		return unusable
	}
	if !s.submit(prefix, serving, `{"spec":"lasting","steps":[{"count":7,"cpu":2000,"mem_mb":1000,"estimate_ms":1000,"long_running":true,"max_per_server":1,"target_ms":200,"image":"s"}]}`) {
		return unusable
	}
	for n := range 7 {
		if s.awaitRun(fmt.Sprintf("%s.0.0.%d", serving, n), 5*time.Second) == nil {
			s.record("the tasks that serve don't all run")
			return unusable
		}
	}
	if s.trouble {
		w.crash(true)
	}
	time.Sleep(fillerRun + finish)
	idleSince := time.Time{}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		switch {
		case s.isLive(task) || s.endsOf(task, "done") > 0:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = time.Now()
		}
	}
	_, state := s.state(prefix, filling)
	used, total := s.inUse()
	s.record("state of the submission that fills %q; %d starts; %d of %d thousandths of a core in use", state, s.starts[task], used, total)
	if !idleSince.IsZero() && time.Since(idleSince) > calm && 2*used < total {
		s.record("LOST is broken: nothing of it has run for %.0f s, and %d workers have room for it", time.Since(idleSince).Seconds(), 7)
		return broken
	}
	if state != "done" {
		return unusable
	}
	return held
}

// inUse returns the processor capacity in use, where each task takes 2 cores, and that of the workers.
func (s *sim) inUse() (used, total int64) {
	for _, w := range s.workers {
		if w.isUp() {
			used += 2000 * int64(len(w.runs()))
			total += w.capacity.CPU
		}
	}
	return used, total
}
