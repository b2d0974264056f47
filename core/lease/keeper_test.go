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

// sighting is what a VM found when it asked whether it may act.
type sighting struct {
	name  string
	epoch int64
	holds bool
}

// ownership is the sequential model of a lease: once an epoch was seen to act, no
// older one acts, and an epoch belongs to one VM.
func ownership() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return sighting{} },
		Step: func(state, _, output any) (bool, any) {
			last, seen := state.(sighting), output.(sighting)
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

// rival is an entry VM with a clock of its own that pauses at random.
type rival struct {
	keeper  *Manager
	id      int
	name    string
	offset  time.Duration
	random  *rand.Rand
	began   time.Time
	history *history
}

type history struct {
	mu         sync.Mutex
	operations []porcupine.Operation
	finished   sync.WaitGroup
}

func (r *rival) now() time.Time { return time.Now().Add(r.offset) }

// run steps and acts until ctx ends. Most of its pauses are longer than the term.
func (r *rival) run(ctx context.Context) {
	defer r.history.finished.Done()
	for ctx.Err() == nil {
		_ = r.keeper.RunOnce(ctx)
		for range 3 {
			r.act()
			time.Sleep(time.Duration(r.random.Intn(10)) * time.Millisecond)
			if r.random.Intn(30) == 0 {
				// A pause must also fall between a renewal and the next act.
				time.Sleep(time.Duration(r.random.Int63n(int64(3 * testTerm))))
			}
		}
	}
}

func (r *rival) act() {
	called := time.Since(r.began)
	grant, holds := r.keeper.Current(r.now())
	returned := time.Since(r.began)
	r.history.mu.Lock()
	defer r.history.mu.Unlock()
	r.history.operations = append(r.history.operations, porcupine.Operation{
		ClientId: r.id, Call: int64(called), Return: int64(returned),
		Output: sighting{name: r.name, epoch: grant.Epoch, holds: holds},
	})
}

func TestOwnershipIsLinearizableUnderFaults(t *testing.T) {
	faults := map[string]store.Faults{
		"none":         {},
		"lost answers": {LostAnswers: 0.3, LostWrites: 0.5},
		"slow":         {Delay: 15 * time.Millisecond},
		"slow, lost":   {Delay: 10 * time.Millisecond, LostAnswers: 0.3, LostWrites: 0.5},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			seed := time.Now().UnixNano()
			t.Logf("seed %d", seed)
			fault.Seed = seed
			tables := store.NewMemory()
			tables.SetFaults(fault)
			h := raceForLease(t, tables, seed)
			if porcupine.CheckOperations(ownership(), h.operations) {
				return
			}
			t.Errorf("two VMs held the lease at once, seed %d", seed)
		})
	}
}

// raceForLease lets four VMs race for a second and a half.
func raceForLease(t *testing.T, tables *store.Memory, seed int64) *history {
	t.Helper()
	h := &history{}
	ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	began := time.Now()
	for i := range 4 {
		r := &rival{id: i, name: fmt.Sprintf("entry-%d", i), random: rand.New(rand.NewSource(seed + int64(i))), began: began, history: h}
		r.offset = time.Duration(i) * testSkew / 3
		r.keeper = NewManager(Options{
			Tables: tables, Domain: "zurich-a", Name: r.name, ClockSkew: testSkew,
			Term: testTerm, RenewEvery: testTerm / 4, Now: r.now,
		})
		h.finished.Add(1)
		go r.run(ctx)
	}
	h.finished.Wait()
	return h
}

// holding returns a keeper that has the lease of a fresh domain.
func holding(t *testing.T, tables store.Tables, name string, voters []string, now func() time.Time) *Manager {
	t.Helper()
	k := NewManager(Options{
		Tables: tables, Domain: "zurich-a", Name: name, ClockSkew: testSkew, Term: testTerm,
		Voters: func() []string { return voters }, Now: now,
	})
	if err := k.RunOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	if _, holds := k.Current(now()); !holds {
		t.Fatalf("%s did not get the lease", name)
	}
	return k
}

// clock is a clock that a test moves.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func TestWhoMayTakeAfterTheDeadline(t *testing.T) {
	tests := map[string]struct {
		taker   string
		voters  []string
		prepare func(first, taker *Manager, c *clock)
		wait    time.Duration
		want    bool
	}{
		"a voter before the skew has passed": {taker: "b", voters: []string{"a", "b"}, wait: testTerm + testSkew/2},
		"a voter after the skew":             {taker: "b", voters: []string{"a", "b"}, wait: testTerm + 2*testSkew, want: true},
		"no voter while one is listed":       {taker: "c", voters: []string{"a", "b"}, wait: time.Hour},
		"after a handover, at once": {
			taker: "b", voters: []string{"a", "b"}, want: true,
			prepare: func(first, _ *Manager, _ *clock) { _ = first.Release(context.Background()) },
		},
		"a voter that promised": {
			taker: "b", voters: []string{"a", "b"}, wait: testTerm + 2*testSkew,
			prepare: func(_, taker *Manager, c *clock) {
				taker.Promise(Extension{Epoch: 1, Until: c.now().Add(2 * testTerm)})
			},
		},
		"a voter whose promise has ended": {
			taker: "b", voters: []string{"a", "b"}, wait: 3 * testTerm, want: true,
			prepare: func(_, taker *Manager, c *clock) {
				taker.Promise(Extension{Epoch: 1, Until: c.now().Add(2 * testTerm)})
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tables := store.NewMemory()
			c := &clock{at: time.Now()}
			taker := NewManager(Options{
				Tables: tables, Domain: "zurich-a", Name: test.taker, ClockSkew: testSkew, Term: testTerm,
				Voters: func() []string { return append([]string{test.taker}, test.voters...) }, Now: c.now,
			})
			first := holding(t, tables, "a", test.voters, c.now)
			if test.prepare != nil {
				test.prepare(first, taker, c)
			}
			c.at = c.at.Add(test.wait)
			if err := taker.RunOnce(t.Context()); err != nil {
				t.Fatal(err)
			}
			if _, holds := taker.Current(c.now()); holds != test.want {
				t.Errorf("holds: %v, want %v", holds, test.want)
			}
		})
	}
}

func TestRestartedVoterWaitsOutWhatItMayHavePromised(t *testing.T) {
	tables := store.NewMemory()
	c := &clock{at: time.Now()}
	holding(t, tables, "a", []string{"a", "b"}, c.now)
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
		t.Errorf("the grant %+v does not tell how long to wait", grant)
	}
}
