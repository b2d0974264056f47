package lease

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"tanagerstack.org/core/store"
)

// observation is what one VM found when it checked whether it holds the lease.
type observation struct {
	name  string
	epoch int64
	holds bool
}

// ownershipModel is the sequential specification of a lease: once an epoch was observed to
// hold the lease, no older epoch holds it, and each epoch belongs to one VM.
func ownershipModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return observation{} },
		Step: func(state, _, output any) (bool, any) {
			last, seen := state.(observation), output.(observation)
			switch {
			case !seen.holds:
				return true, state
			case seen.epoch > last.epoch:
				return true, seen
			default:
				return seen == last, state
			}
		},
		DescribeOperation: func(_, output any) string { return fmt.Sprintf("%+v", output) },
	}
}

const (
	testTerm = 120 * time.Millisecond
	testSkew = 30 * time.Millisecond
)

// contender is an entry VM with its own clock offset that pauses at random.
type contender struct {
	manager   *Manager
	id        int
	name      string
	offset    time.Duration
	random    *rand.Rand
	startedAt time.Time
	history   *history
}

type history struct {
	mu         sync.Mutex
	operations []porcupine.Operation
	finished   sync.WaitGroup
}

func (c *contender) now() time.Time { return time.Now().Add(c.offset) }

// run calls RunOnce and checks the lease until ctx ends. Of its long pauses, most exceed the
// term.
func (c *contender) run(ctx context.Context) {
	defer c.history.finished.Done()
	for ctx.Err() == nil {
		_ = c.manager.RunOnce(ctx)
		for range 3 {
			c.checkHolder()
			time.Sleep(time.Duration(c.random.Intn(10)) * time.Millisecond)
			if c.random.Intn(30) == 0 {
				// A long pause must also occur between a renewal and the next check.
				time.Sleep(time.Duration(c.random.Int63n(int64(3 * testTerm))))
			}
		}
	}
}

func (c *contender) checkHolder() {
	called := time.Since(c.startedAt)
	grant, holds := c.manager.Current(c.now())
	returned := time.Since(c.startedAt)
	c.history.mu.Lock()
	defer c.history.mu.Unlock()
	c.history.operations = append(c.history.operations, porcupine.Operation{
		ClientId: c.id, Call: int64(called), Return: int64(returned),
		Output: observation{name: c.name, epoch: grant.Epoch, holds: holds},
	})
}

func TestOwnershipIsLinearizableUnderFaults(t *testing.T) {
	faults := map[string]store.Faults{
		"none":           {},
		"lost responses": {LostAnswers: 0.3, LostWrites: 0.5},
		"slow":           {Delay: 15 * time.Millisecond},
		"slow and lost":  {Delay: 10 * time.Millisecond, LostAnswers: 0.3, LostWrites: 0.5},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			seed := time.Now().UnixNano()
			t.Logf("seed %d", seed)
			fault.Seed = seed
			tables := store.NewMemory()
			tables.SetFaults(fault)
			h := runContenders(t, tables, seed)
			if porcupine.CheckOperations(ownershipModel(), h.operations) {
				return
			}
			t.Errorf("two VMs held the lease at once, seed %d", seed)
		})
	}
}

// runContenders lets four VMs compete for the lease for 1.5 s.
func runContenders(t *testing.T, tables *store.Memory, seed int64) *history {
	t.Helper()
	h := &history{}
	ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	startedAt := time.Now()
	for i := range 4 {
		c := &contender{id: i, name: fmt.Sprintf("entry-%d", i), random: rand.New(rand.NewSource(seed + int64(i))), startedAt: startedAt, history: h}
		c.offset = time.Duration(i) * testSkew / 3
		c.manager = NewManager(Options{
			Tables: tables, Domain: "zurich-a", Name: c.name, ClockSkew: testSkew,
			Term: testTerm, RenewInterval: testTerm / 4, Now: c.now,
		})
		h.finished.Add(1)
		go c.run(ctx)
	}
	h.finished.Wait()
	return h
}

// newHolder returns a Manager that has acquired the lease.
func newHolder(t *testing.T, tables store.Tables, name string, voters []string, now func() time.Time) *Manager {
	t.Helper()
	m := NewManager(Options{
		Tables: tables, Domain: "zurich-a", Name: name, ClockSkew: testSkew, Term: testTerm,
		Voters: func() []string { return voters }, Now: now,
	})
	if err := m.RunOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	if _, holds := m.Current(now()); !holds {
		t.Fatalf("%s did not acquire the lease", name)
	}
	return m
}

// fakeClock is a clock that tests set.
type fakeClock struct{ at time.Time }

func (c *fakeClock) now() time.Time { return c.at }

// readAndPromise lets candidate read the row and promise an extension of twice the term.
func readAndPromise(t *testing.T, _, candidate *Manager, c *fakeClock) {
	t.Helper()
	if err := candidate.RunOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	if !candidate.Promise(Extension{Epoch: 1, Until: c.now().Add(2 * testTerm)}) {
		t.Fatal("the candidate promises nothing")
	}
}

func TestWhoMayTakeAfterTheDeadline(t *testing.T) {
	tests := map[string]struct {
		candidate string
		voters    []string
		prepare   func(t *testing.T, first, candidate *Manager, c *fakeClock)
		wait      time.Duration
		want      bool
	}{
		"voter before the skew has passed":  {candidate: "b", voters: []string{"a", "b"}, wait: testTerm + testSkew/2},
		"voter after the skew":              {candidate: "b", voters: []string{"a", "b"}, wait: testTerm + 2*testSkew, want: true},
		"non-voter while a voter is listed": {candidate: "c", voters: []string{"a", "b"}, wait: time.Hour},
		"immediately after a release": {
			candidate: "b", voters: []string{"a", "b"}, want: true,
			prepare: func(_ *testing.T, first, _ *Manager, _ *fakeClock) { _ = first.Release(context.Background()) },
		},
		"voter during its promise": {
			candidate: "b", voters: []string{"a", "b"}, wait: testTerm + 2*testSkew,
			prepare: readAndPromise,
		},
		"voter after the end of its promise": {
			candidate: "b", voters: []string{"a", "b"}, wait: 3 * testTerm, want: true,
			prepare: readAndPromise,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tables := store.NewMemory()
			c := &fakeClock{at: time.Now()}
			candidate := NewManager(Options{
				Tables: tables, Domain: "zurich-a", Name: test.candidate, ClockSkew: testSkew, Term: testTerm,
				Voters: func() []string { return append([]string{test.candidate}, test.voters...) }, Now: c.now,
			})
			first := newHolder(t, tables, "a", test.voters, c.now)
			if test.prepare != nil {
				test.prepare(t, first, candidate, c)
			}
			c.at = c.at.Add(test.wait)
			if err := candidate.RunOnce(t.Context()); err != nil {
				t.Fatal(err)
			}
			if _, holds := candidate.Current(c.now()); holds != test.want {
				t.Errorf("holds: %v, want %v", holds, test.want)
			}
		})
	}
}

func TestRestartedVoterWaitsOutWhatItMayHavePromised(t *testing.T) {
	tables := store.NewMemory()
	c := &fakeClock{at: time.Now()}
	newHolder(t, tables, "a", []string{"a", "b"}, c.now)
	c.at = c.at.Add(testTerm + 2*testSkew)
	restarted := NewManager(Options{Tables: tables, Domain: "zurich-a", Name: "b", ClockSkew: testSkew, Term: testTerm, MaxTaskLease: time.Minute, Now: c.now})
	for _, want := range []bool{false, true} {
		if err := restarted.RunOnce(t.Context()); err != nil {
			t.Fatal(err)
		}
		if _, holds := restarted.Current(c.now()); holds != want {
			t.Fatalf("holds: %v, want %v", holds, want)
		}
		c.at = c.at.Add(testTerm + 2*testSkew)
	}
	c.at = c.at.Add(-testTerm - 2*testSkew)
	grant, _ := restarted.Current(c.now())
	if len(grant.PreviousHolders) != 1 || grant.MaxTaskDeadline.Before(c.now().Add(time.Minute-testTerm)) {
		t.Errorf("grant %+v lacks the previous holder or the deadline of its tasks", grant)
	}
}
