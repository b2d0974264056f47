package main

import (
	"sync"
	"time"
)

func init() { cases["hopeless"] = hopeless }

const (
	// urgentPrefix and otherPrefix are the paths of two queues, of priority 1 and 2.
	urgentPrefix, otherPrefix = "/gono990/", "/lohu930/"
	// trafficFor is how long submissions are handed in, one each half a second.
	trafficFor = 15 * time.Second
	// finish is finish_s, after which a submission has to run if there is capacity; calm is the span that counts.
	finish, calm = 14 * time.Second, 3 * time.Second
)

// hopeless: a gang that needs three times the workers there are is handed in to one queue, and small submissions to
// a less urgent one.
func hopeless(s *sim) int {
	s.putConfig(queue("mastering", urgentPrefix, 1, 2), queue("transcode", otherPrefix, 2, 4))
	if s.startVMs(3) != nil || s.addWorkers(8, "booking", resources{16000, 65536, 0}) != nil {
		return unusable
	}
	go s.beat()
	if !s.awaitReady(15 * time.Second) {
		return unusable
	}
	if s.trouble && !s.submit(urgentPrefix, newID(), `{"spec":"run_ms=12000","steps":[{"count":48,"cpu":7600,"mem_mb":17000,"estimate_ms":12000,"gang":true}]}`) {
		return unusable
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var ids []string
	var clients sync.WaitGroup
	for end := time.Now().Add(trafficFor); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			id := newID()
			if s.submit(otherPrefix, id, `{"spec":"run_ms=2700","steps":[{"count":1,"cpu":980,"mem_mb":3600,"estimate_ms":2700}]}`) {
				mu.Lock()
				defer mu.Unlock()
				ids = append(ids, id)
			}
		}()
	}
	clients.Wait()
	s.record("end of the traffic: %d submissions accepted", len(ids))
	time.Sleep(finish)
	before := s.startsOf(ids)
	time.Sleep(calm + time.Second)
	waiting, running := 0, 0
	for _, id := range ids {
		task := id + ".0.0.0"
		switch {
		case s.isLive(task):
			running++
		case s.endsOf(task, "done") == 0:
			waiting++
			s.state(otherPrefix, id)
		}
	}
	after := s.startsOf(ids)
	s.record("%.0f s after the end of the traffic: %d of %d submissions have not run, %d run; %d starts in the last 4 s; eight workers of 16 cores",
		(finish + calm + time.Second).Seconds(), waiting, len(ids), running, after-before)
	if waiting > 0 && running == 0 && after == before {
		s.record("LOST is broken: %d submissions have nothing running, and all workers are idle", waiting)
		return broken
	}
	return held
}

func (s *sim) startsOf(ids []string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, id := range ids {
		count += s.starts[id+".0.0.0"]
	}
	return count
}
