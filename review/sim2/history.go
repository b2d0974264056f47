package main

import (
	"hash/fnv"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["history"] = history }

const (
	// submissionsPerSecond is what the sheet's three kinds of request add up to: 1.47 + 5.44 + 48.2 a second.
	submissionsPerSecond = 55
	// historyHours is how long the installation has served before the machines lose power.
	historyHours = 2
	// statusSeconds is how long a state has to be shown (status_s).
	statusSeconds = 120
)

// partOf is the part of a job's row, as the program writes it.
func partOf(id string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return "p" + strconv.Itoa(int(h.Sum32()%32))
}

// templates returns the rows that the program keeps of a submission that is done, and that it has compacted.
func (s *sim) templates(id string) []row {
	var list []row
	for _, table := range []string{"jobs", "progress"} {
		for _, r := range s.store.rowsOf(table) {
			if r.Key == id {
				list = append(list, r)
			}
		}
	}
	return list
}

// addHistory writes the rows of submissions that are done, copied from those of one that the program has
// finished itself. Only the ID differs.
func (s *sim) addHistory(templates []row, id string, count int) {
	for range count {
		next := newID()
		puts := make([]row, 0, len(templates))
		for _, r := range templates {
			part := r.Part
			if r.Table == "jobs" {
				part = partOf(next)
			}
			puts = append(puts, row{Table: r.Table, Part: part, Key: next, Value: []byte(strings.ReplaceAll(string(r.Value), id, next))})
		}
		s.store.apply(tx{Puts: puts})
	}
}

// history: the installation has served the sheet's traffic for two hours; then all machines lose power and come
// back, and traffic goes on.
func history(s *sim) int {
	s.putConfig(queue("q", prefix, 1, 2))
	if s.startVMs(3) != nil || s.addWorkers(8, "booking", resources{16000, 65536, 0}) != nil {
		return unusable
	}
	go s.beat()
	if !s.awaitReady(15 * time.Second) {
		return unusable
	}
	id := newID()
	if !s.submit(prefix, id, jobBody) {
		return unusable
	}
	time.Sleep(4 * time.Second)
	templates := s.templates(id)
	if _, state := s.state(prefix, id); state != "done" || len(templates) != 2 {
		s.record("the first submission is %q and has %d rows", state, len(templates))
		return unusable
	}
	for _, r := range templates {
		s.record("kept of a submission that is done: table %s, part %s, %d bytes", r.Table, r.Part, len(r.Value))
	}
	before := s.serve(10*time.Second, "before the fault")
	if before.share() < 0.9 {
		return unusable
	}
	for _, v := range s.vms {
		v.hold()
	}
	s.record("all machines lose power")
	count := statusSeconds * submissionsPerSecond
	if s.trouble {
		count = historyHours * 3600 * submissionsPerSecond
	}
	s.addHistory(templates, id, count)
	s.record("%d submissions are done in the store, %.1f minutes at %d a second", count, float64(count)/submissionsPerSecond/60, submissionsPerSecond)
	for _, v := range s.vms {
		v.release()
	}
	back := time.Now()
	s.record("all machines are back")
	time.Sleep(12 * time.Second) // recovery_s
	after := s.serve(35*time.Second, "later than recovery_s after the machines are back")
	ends := 0
	for _, v := range s.vms {
		s.record("%s: at most %d MB of %d, killed for its memory %d times in %.0f s", v.name, v.mostRSS/1_000_000, memoryMB, v.killed, time.Since(back).Seconds())
		ends += v.killed
	}
	s.record("served before the fault %.2f, after it %.2f; %d processes over the memory limit", before.share(), after.share(), ends)
	if after.share() < 0.25 {
		s.record("RECOVER is broken: less than a quarter is served")
		return broken
	}
	return held
}

const jobBody = `{"spec":"run_ms=640 slot","steps":[{"count":2,"cpu":1400,"mem_mb":2900,"estimate_ms":640}]}`

// served counts the submissions of a span, and those that were shown as done.
type served struct{ sent, done int }

func (c served) share() float64 { return float64(c.done) / float64(max(1, c.sent)) }

// serve hands in a submission each 0.5 s for a span, asks for the state of each until 6 s after its acceptance,
// and counts those shown as done.
func (s *sim) serve(span time.Duration, when string) served {
	var mu sync.Mutex
	var count served
	var clients sync.WaitGroup
	for end := time.Now().Add(span - 8*time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			id := newID()
			accepted := s.submit(prefix, id, jobBody)
			state := ""
			for until := time.Now().Add(6 * time.Second); accepted && state != "done" && time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
				_, state = s.state(prefix, id)
			}
			s.record("%s: submission %s accepted %v, state %q", when, id, accepted, state)
			mu.Lock()
			defer mu.Unlock()
			count.sent++
			if state == "done" {
				count.done++
			}
		}()
	}
	clients.Wait()
	return count
}
