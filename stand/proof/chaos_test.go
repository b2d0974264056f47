package proof

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	faultapi "tanagerstack.org/core/api/fault"
	"tanagerstack.org/core/policy"
	"tanagerstack.org/stand/target"
)

// chaosRun sends requests through all entry VMs while faults start and end. Some requests
// are sent several times, through several entry VMs.
type chaosRun struct {
	f *fleet
	// faultRandom chooses faults and requestRandom requests. Each is used by one
	// goroutine only.
	faultRandom   *rand.Rand
	requestRandom *rand.Rand
	stopped       atomic.Bool
	// interval is the time between new requests.
	interval time.Duration
	// body is the body of each request; its first line tells the target what to do.
	body string
	wg   sync.WaitGroup
	// name is part of all request IDs, so that they differ from those of other runs.
	name string

	mu sync.Mutex
	// answers are the received answers by request ID.
	answers map[string][]answer
}

func newChaosRun(f *fleet) *chaosRun {
	return &chaosRun{
		f: f, interval: 8 * time.Millisecond,
		faultRandom: rand.New(rand.NewSource(f.random.Int63())), requestRandom: rand.New(rand.NewSource(f.random.Int63())),
		name: fmt.Sprint(f.random.Intn(1_000_000)), body: "work=5ms&answer-bytes=3000", answers: make(map[string][]answer),
	}
}

// shortWindows limits all request windows to 2 s, so that a restarted entry VM accepts
// non-idempotent requests again after that time.
func shortWindows(d *policy.Document) {
	limit := policy.Duration(2 * time.Second)
	d.Defaults.Window = limit
	for name, class := range d.Classes {
		class.Window = min(class.Window, limit)
		d.Classes[name] = class
	}
	for i := range d.Exceptions {
		d.Exceptions[i].Limits.Window = min(d.Exceptions[i].Limits.Window, limit)
	}
}

// start sends requests in the background until stop.
func (s *chaosRun) start() { s.wg.Go(s.run) }

// stop ends the sending of requests and waits for all answers.
func (s *chaosRun) stop() {
	s.stopped.Store(true)
	s.wg.Wait()
}

// run sends requests until stopped is set.
func (s *chaosRun) run() {
	callers := []string{"hosts", "partners", "farms"}
	for serial := 0; !s.stopped.Load(); serial++ {
		r := request{
			caller: callers[s.requestRandom.Intn(len(callers))], id: fmt.Sprint("idem-", s.name, "-", serial), body: s.body,
			window: time.Duration(600+s.requestRandom.Intn(1300)) * time.Millisecond,
		}
		copies := 1
		if s.requestRandom.Intn(4) > 0 {
			r.nonIdempotent, r.id = true, fmt.Sprint(target.OncePrefix, s.name, "-", serial)
			copies = 1 + 2*s.requestRandom.Intn(2)
		}
		for range copies {
			vm, delay := s.f.entries[s.requestRandom.Intn(len(s.f.entries))], time.Duration(s.requestRandom.Intn(120))*time.Millisecond
			s.wg.Go(func() {
				time.Sleep(delay)
				s.record(r.id, vm.send(r))
			})
		}
		time.Sleep(s.interval)
	}
}

// record adds a received answer.
func (s *chaosRun) record(id string, got answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[id] = append(s.answers[id], got)
}

// fault is a fault with functions that start and end it. Two faults of the same group
// are not injected at once.
type fault struct {
	group, name     string
	inject, restore func()
}

// randomFaults returns a list of all kinds of faults of entry VMs, links and the table
// service, each for a random VM.
func (s *chaosRun) randomFaults() []fault {
	f := s.f
	pick := func() *entryVM { return f.entries[s.faultRandom.Intn(len(f.entries))] }
	killed, paused, cut, stalled := pick(), pick(), pick(), pick()
	a, b := f.entries[0], f.entries[1+s.faultRandom.Intn(len(f.entries)-1)]
	clear := func() { f.tables.setFaultKind(faultapi.FaultKindNone) }
	list := []fault{
		{"kill", "killed " + killed.name, killed.kill, killed.restart},
		{"cut", "cut " + cut.name + " from the platform", func() { f.cutPlatform(cut) }, func() { f.restorePlatform(cut) }},
		{"stall", "stalled platform links of " + stalled.name, func() { f.stallPlatform(stalled) }, func() {}},
		{"peers", "cut " + a.name + " from " + b.name, func() { f.cutPeers(a, b) }, func() { f.restorePeers(a, b) }},
		{"tables", "tables down", func() { f.tables.setFaultKind(faultapi.FaultKindDown) }, clear},
		{"tables", "tables slow", func() {
			f.tables.setFault(faultapi.Fault{Kind: faultapi.FaultKindSlow, Delay: faultapi.NewOptDuration(700 * time.Millisecond)})
		}, clear},
		{"tables", "tables lose answers", func() {
			f.tables.setFault(faultapi.Fault{Kind: faultapi.FaultKindLostAnswer, Probability: faultapi.NewOptFloat64(0.5)})
		}, clear},
	}
	if paused != killed {
		list = append(list, fault{"pause", "paused " + paused.name, paused.pause, paused.resume})
	}
	if len(f.targetLinks) > 0 {
		list = append(list, fault{"targets", "stalled links of all targets", func() {
			for i := range f.targetLinks {
				f.stallTarget(i)
			}
		}, func() {}})
	}
	return list
}

// runWithFaults sends requests during the given number of rounds of faults. Every second
// round has two faults at once.
func (s *chaosRun) runWithFaults(rounds int) {
	s.start()
	time.Sleep(500 * time.Millisecond)
	for round := range rounds {
		list := s.randomFaults()
		s.faultRandom.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		chosen := list[:1]
		for _, other := range list[1:] {
			if round%2 == 1 && len(chosen) < 2 && other.group != chosen[0].group {
				chosen = append(chosen, other)
			}
		}
		for _, c := range chosen {
			s.f.t.Logf("round %d: %s", round, c.name)
			c.inject()
		}
		time.Sleep(time.Duration(700+s.faultRandom.Intn(1000)) * time.Millisecond)
		for _, c := range chosen {
			c.restore()
		}
		time.Sleep(400 * time.Millisecond)
	}
	s.stop()
}

// chaosSummary counts the requests and answers of a run, and the violations found.
type chaosSummary struct {
	requests, completed, refused, unknown, unanswered                        int
	ranTwice, refusedButRan, completedNotRun, wrongAnswers, differingAnswers int
}

// check compares the answers with the executions that the fake targets recorded, and
// fails the test for each kind of violation.
func (s *chaosRun) check(t *testing.T) chaosSummary {
	t.Helper()
	var v chaosSummary
	executions := s.executions()
	for id, answers := range s.answers {
		v.requests++
		s.checkRequest(t, &v, id, answers, executions[id])
	}
	t.Logf("%+v", v)
	if v.completed < 100 {
		t.Errorf("only %d requests completed, want at least 100", v.completed)
	}
	if v.ranTwice > 0 || v.differingAnswers > 0 {
		t.Errorf("%d non-idempotent requests ran more than once, %d received different answers", v.ranTwice, v.differingAnswers)
	}
	if v.refusedButRan > 0 {
		t.Errorf("%d requests were reported refused but ran", v.refusedButRan)
	}
	if v.wrongAnswers > 0 || v.completedNotRun > 0 {
		t.Errorf("%d answers were truncated or belonged to another request, %d belonged to requests that never ran", v.wrongAnswers, v.completedNotRun)
	}
	return v
}

// checkRequest adds the answers to one request to the summary.
func (s *chaosRun) checkRequest(t *testing.T, v *chaosSummary, id string, answers []answer, executions int64) {
	nonIdempotent := len(id) > len(target.OncePrefix) && id[:len(target.OncePrefix)] == target.OncePrefix
	refused, body := 0, ""
	for _, a := range answers {
		switch a.outcome {
		case "completed":
			v.completed++
			if !a.complete {
				v.wrongAnswers++
			}
			if nonIdempotent && body != "" && body != string(a.body) {
				v.differingAnswers++
			}
			if executions == 0 {
				v.completedNotRun++
			}
			body = string(a.body)
		case "refused":
			refused++
			v.refused++
		case "unknown":
			v.unknown++
		default:
			v.unanswered++
		}
	}
	if nonIdempotent && executions > 1 {
		v.ranTwice++
		t.Logf("%s ran %d times: %+v", id, executions, answers)
	}
	if refused == len(answers) && executions > 0 {
		v.refusedButRan++
		t.Logf("%s was reported refused but ran %d times: %+v", id, executions, answers)
	}
}

// executions returns how often each request ran, as recorded by the fake targets.
func (s *chaosRun) executions() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]string, 0, len(s.answers))
	for id := range s.answers {
		ids = append(ids, id)
	}
	counts, err := s.f.targets.client.ListRunCounts(context.Background(), &faultapi.RunCountRequest{IDs: ids})
	if err != nil {
		s.f.t.Fatal(err)
	}
	executions := make(map[string]int64, len(ids))
	for _, count := range counts.Counts {
		executions[count.ID] = count.Executions
	}
	return executions
}
