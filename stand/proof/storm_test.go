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

// storm sends requests through all entry VMs while faults come and go. Some are
// sent several times, by way of several entry VMs.
type storm struct {
	f *fleet
	// random draws the faults, draws the requests: each has one user.
	random  *rand.Rand
	draws   *rand.Rand
	stopped atomic.Bool
	// every is the time between new requests.
	every time.Duration
	// body is the work that each request asks for.
	body string
	wait sync.WaitGroup
	// name tells the requests of this storm from those of others.
	name string

	mu   sync.Mutex
	told map[string][]answer
}

func newStorm(f *fleet) *storm {
	return &storm{
		f: f, every: 8 * time.Millisecond,
		random: rand.New(rand.NewSource(f.random.Int63())), draws: rand.New(rand.NewSource(f.random.Int63())),
		name: fmt.Sprint(f.random.Intn(1_000_000)), body: "work=5ms&answer-bytes=3000", told: make(map[string][]answer),
	}
}

// shortWindows lets a fleet remember its claims after two seconds.
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

// start begins to send requests; stop ends that and waits for all answers.
func (s *storm) start() { s.wait.Go(s.run) }

func (s *storm) stop() {
	s.stopped.Store(true)
	s.wait.Wait()
}

// run sends requests until the storm is stopped.
func (s *storm) run() {
	callers := []string{"hosts", "partners", "farms"}
	for serial := 0; !s.stopped.Load(); serial++ {
		r := request{
			caller: callers[s.draws.Intn(len(callers))], id: fmt.Sprint("idem-", s.name, "-", serial), body: s.body,
			window: time.Duration(600+s.draws.Intn(1300)) * time.Millisecond,
		}
		copies := 1
		if s.draws.Intn(4) > 0 {
			r.once, r.id = true, fmt.Sprint(target.OncePrefix, s.name, "-", serial)
			copies = 1 + 2*s.draws.Intn(2)
		}
		for range copies {
			vm, delay := s.f.entries[s.draws.Intn(len(s.f.entries))], time.Duration(s.draws.Intn(120))*time.Millisecond
			s.wait.Go(func() {
				time.Sleep(delay)
				s.tell(r.id, vm.send(r))
			})
		}
		time.Sleep(s.every)
	}
}

func (s *storm) tell(id string, got answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told[id] = append(s.told[id], got)
}

// fault is something that goes wrong for a while. Two faults of one group do
// not go together.
type fault struct {
	group, name string
	on, off     func()
}

// faults draws one of each kind that an entry VM, a link or the store can have.
func (s *storm) faults() []fault {
	f := s.f
	pick := func() *entryVM { return f.entries[s.random.Intn(len(f.entries))] }
	killed, paused, cut, silent := pick(), pick(), pick(), pick()
	a, b := f.entries[0], f.entries[1+s.random.Intn(len(f.entries)-1)]
	clear := func() { f.tables.fault(faultapi.FaultKindNone) }
	list := []fault{
		{"kill", "killed " + killed.name, killed.kill, killed.restart},
		{"cut", "cut " + cut.name + " from the platform", func() { f.cutPlatform(cut) }, func() { f.mendPlatform(cut) }},
		{"silent", "silent platform links of " + silent.name, func() { f.silencePlatform(silent) }, func() {}},
		{"peers", "cut " + a.name + " from " + b.name, func() { f.cutPeers(a, b) }, func() { f.mendPeers(a, b) }},
		{"tables", "tables down", func() { f.tables.fault(faultapi.FaultKindDown) }, clear},
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
		list = append(list, fault{"targets", "silent links of all targets", func() {
			for i := range f.targetLinks {
				f.silenceTarget(i)
			}
		}, func() {}})
	}
	return list
}

// blow lets rounds of faults come and go, every second one two at once.
func (s *storm) blow(rounds int) {
	s.start()
	time.Sleep(500 * time.Millisecond)
	for round := range rounds {
		list := s.faults()
		s.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		chosen := list[:1]
		for _, other := range list[1:] {
			if round%2 == 1 && len(chosen) < 2 && other.group != chosen[0].group {
				chosen = append(chosen, other)
			}
		}
		for _, c := range chosen {
			s.f.t.Logf("round %d: %s", round, c.name)
			c.on()
		}
		time.Sleep(time.Duration(700+s.random.Intn(1000)) * time.Millisecond)
		for _, c := range chosen {
			c.off()
		}
		time.Sleep(400 * time.Millisecond)
	}
	s.stop()
}

// verdict is what became of the requests of a storm.
type verdict struct {
	requests, completed, refused, unknown, unanswered int
	doubled, ranRefused, ranNever, notWhole, differ   int
}

// judge compares what the callers were told with what the targets recorded, and
// fails the test where a promise was broken.
func (s *storm) judge(t *testing.T) verdict {
	t.Helper()
	var v verdict
	executions := s.executions()
	for id, answers := range s.told {
		v.requests++
		s.judgeOne(t, &v, id, answers, executions[id])
	}
	t.Logf("%+v", v)
	if v.completed < 100 {
		t.Errorf("only %d answers were complete; that proves little", v.completed)
	}
	if v.doubled > 0 || v.differ > 0 {
		t.Errorf("%d non-idempotent requests ran more than once, %d got different answers", v.doubled, v.differ)
	}
	if v.ranRefused > 0 {
		t.Errorf("%d requests were refused and ran", v.ranRefused)
	}
	if v.notWhole > 0 || v.ranNever > 0 {
		t.Errorf("%d answers were not whole, %d came for requests that never ran", v.notWhole, v.ranNever)
	}
	return v
}

func (s *storm) judgeOne(t *testing.T, v *verdict, id string, answers []answer, executions int64) {
	once := len(id) > len(target.OncePrefix) && id[:len(target.OncePrefix)] == target.OncePrefix
	refused, body := 0, ""
	for _, a := range answers {
		switch a.outcome {
		case "completed":
			v.completed++
			if !a.whole {
				v.notWhole++
			}
			if once && body != "" && body != string(a.body) {
				v.differ++
			}
			if executions == 0 {
				v.ranNever++
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
	if once && executions > 1 {
		v.doubled++
		t.Logf("%s ran %d times: %+v", id, executions, answers)
	}
	if refused == len(answers) && executions > 0 {
		v.ranRefused++
		t.Logf("%s was refused and ran %d times: %+v", id, executions, answers)
	}
}

// executions returns how often each request ran, by the targets' own records.
func (s *storm) executions() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]string, 0, len(s.told))
	for id := range s.told {
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
