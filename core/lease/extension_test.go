package lease

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"tanagerstack.org/core/store"
)

// interceptedTables lets a test replace calls to the tables.
type interceptedTables struct {
	store.Tables
	commit func(context.Context, ...store.Change) (int64, error)
	read   func(ctx context.Context, table, key string) (store.Row, error)
}

func (i *interceptedTables) Commit(ctx context.Context, changes ...store.Change) (int64, error) {
	if i.commit != nil {
		return i.commit(ctx, changes...)
	}
	return i.Tables.Commit(ctx, changes...)
}

func (i *interceptedTables) Read(ctx context.Context, table, key string) (store.Row, error) {
	if i.read != nil {
		return i.read(ctx, table, key)
	}
	return i.Tables.Read(ctx, table, key)
}

func unreadable(context.Context, string, string) (store.Row, error) {
	return store.Row{}, store.ErrUnavailable
}

// newVoter returns a Manager of the voter b that has not read the row.
func newVoter(tables store.Tables, now func() time.Time) *Manager {
	return NewManager(Options{
		Tables: tables, Domain: "zurich-a", Name: "b", ClockSkew: testSkew, Term: testTerm, MaxTaskLease: testTerm,
		Voters: func() []string { return []string{"a", "b"} }, Now: now,
	})
}

// requestExtension lets holder ask voter for the extension that it needs, and reports whether
// the voter has promised it.
func requestExtension(t *testing.T, holder, voter *Manager, now time.Time) bool {
	t.Helper()
	wanted, others, needed := holder.ExtensionNeeded(now)
	if !needed || !slices.Equal(others, []string{"b"}) {
		t.Fatalf("extension needed: %v, by the promises of %v", needed, others)
	}
	if !voter.Promise(wanted) {
		return false
	}
	holder.Extend(wanted)
	return true
}

func checkOneGrant(t *testing.T, a, b *Manager, now time.Time) {
	t.Helper()
	ofA, holdsA := a.Current(now)
	ofB, holdsB := b.Current(now)
	if holdsA && holdsB {
		t.Errorf("two valid grants: %+v and %+v", ofA, ofB)
	}
}

// A voter that may have acquired the lease without knowing promised the extension of another VM.
func TestNoPromiseWhileAcquisitionIsUnresolved(t *testing.T) {
	tests := map[string]struct {
		// executeLate executes the write after the voter has read the row again.
		executeLate, readable bool
	}{
		"executed, then tables unreachable": {},
		"executed after the next read":      {executeLate: true, readable: true},
		"executed after an outage":          {executeLate: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := &fakeClock{at: time.Now()}
			memory := store.NewMemory()
			a := newHolder(t, memory, "a", []string{"a", "b"}, c.now)
			tables := &interceptedTables{Tables: memory}
			b := newVoter(tables, c.now)
			if err := b.RunOnce(t.Context()); err != nil {
				t.Fatal(err)
			}
			c.at = c.at.Add(testTerm + 2*testSkew)
			var late []store.Change
			tables.commit = func(ctx context.Context, changes ...store.Change) (int64, error) {
				late = changes
				if !test.executeLate {
					if _, err := memory.Commit(ctx, changes...); err != nil {
						return 0, err
					}
				}
				if !test.readable {
					tables.read = unreadable
				}
				return 0, store.ErrOutcomeUnknown
			}
			if err := b.RunOnce(t.Context()); err == nil {
				t.Fatal("b knows the outcome of its acquisition")
			}
			promised := requestExtension(t, a, b, c.now())
			if test.executeLate {
				if _, err := memory.Commit(t.Context(), late...); err != nil {
					t.Fatal(err)
				}
			}
			tables.commit, tables.read = nil, nil
			if err := b.RunOnce(t.Context()); err != nil {
				t.Fatal(err)
			}
			if _, holds := b.Current(c.now()); !holds {
				t.Error("b does not hold the lease that it has acquired")
			}
			if promised {
				t.Error("b promised an extension while its acquisition was unresolved")
			}
			checkOneGrant(t, a, b, c.now())
		})
	}
}

// A voter refuses promises for good after an acquisition that was void.
func TestPromiseAfterResolvedAcquisition(t *testing.T) {
	c := &fakeClock{at: time.Now()}
	memory := store.NewMemory()
	a := newHolder(t, memory, "a", []string{"a", "b"}, c.now)
	tables := &interceptedTables{Tables: memory}
	b := newVoter(tables, c.now)
	if err := b.RunOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	c.at = c.at.Add(testTerm + 2*testSkew)
	tables.commit = func(context.Context, ...store.Change) (int64, error) { return 0, store.ErrOutcomeUnknown }
	if err := b.RunOnce(t.Context()); err == nil {
		t.Fatal("b knows the outcome of its acquisition")
	}
	c.at = c.at.Add(DefaultRenewInterval)
	for _, m := range []*Manager{a, b} {
		if err := m.RunOnce(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	c.at = c.at.Add(testTerm)
	if !requestExtension(t, a, b, c.now()) {
		t.Error("b refuses although the row was written since, so that its acquisition is void")
	}
}

// A voter that had held the lease itself promised the extension of its predecessor after a restart.
func TestNoPromiseBeforeRowIsRead(t *testing.T) {
	c := &fakeClock{at: time.Now()}
	memory := store.NewMemory()
	a := newHolder(t, memory, "a", []string{"a", "b"}, c.now)
	before := newVoter(memory, c.now)
	c.at = c.at.Add(testTerm + 2*testSkew)
	if err := before.RunOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	if grant, holds := before.Current(c.now()); !holds || grant.Epoch != 2 {
		t.Fatalf("b did not acquire the lease: %+v", grant)
	}
	tables := &interceptedTables{Tables: memory, read: unreadable}
	restarted := newVoter(tables, c.now)
	if err := restarted.RunOnce(t.Context()); err == nil {
		t.Fatal("the restarted process read the row")
	}
	if requestExtension(t, a, restarted, c.now()) {
		t.Error("the restarted process promised an extension before it read the row")
	}
	if grant, holds := a.Current(c.now()); holds {
		t.Errorf("a holds the lease again: %+v", grant)
	}
	tables.read = nil
	if err := restarted.RunOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	if requestExtension(t, a, restarted, c.now()) {
		t.Error("the restarted process promised an extension of an earlier epoch")
	}
}

// A holder that did not know that its row lists a new voter extended the lease without its promise.
func TestExtensionNeedsVotersOfUnresolvedRenewal(t *testing.T) {
	c := &fakeClock{at: time.Now()}
	memory := store.NewMemory()
	voters := []string{"a", "b"}
	tables := &interceptedTables{Tables: memory}
	a := NewManager(Options{
		Tables: tables, Domain: "zurich-a", Name: "a", ClockSkew: testSkew, Term: testTerm,
		Voters: func() []string { return voters }, Now: c.now,
	})
	if err := a.RunOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	voters = []string{"a", "b", "c"}
	c.at = c.at.Add(DefaultRenewInterval)
	tables.read = unreadable
	checkOthers := func(when string) {
		t.Helper()
		if _, others, _ := a.ExtensionNeeded(c.now()); !slices.Equal(others, []string{"b", "c"}) {
			t.Errorf("%s a needs the promises of %v, want b and c", when, others)
		}
	}
	tables.commit = func(ctx context.Context, changes ...store.Change) (int64, error) {
		if _, err := memory.Commit(ctx, changes...); err != nil {
			return 0, err
		}
		checkOthers("during the renewal")
		return 0, store.ErrOutcomeUnknown
	}
	if err := a.RunOnce(t.Context()); err == nil {
		t.Fatal("a knows the outcome of its renewal")
	}
	voters = []string{"a", "b"}
	checkOthers("after the renewal")
	tables.commit, tables.read = nil, nil
	c.at = c.at.Add(DefaultRenewInterval)
	if err := a.RunOnce(t.Context()); err == nil {
		t.Fatal("the row has the version from before the unresolved renewal")
	}
	c.at = c.at.Add(testTerm)
	checkOthers("after reading the row")
}

// A holder that was told of a newer epoch during a call renewed tasks again after its answer.
func TestFencedHolderIgnoresEarlierRow(t *testing.T) {
	tests := map[string]struct{ outcome error }{
		"renewal answered late":                 {},
		"row read late after a renewal's error": {store.ErrOutcomeUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := &fakeClock{at: time.Now()}
			memory := store.NewMemory()
			tables := &interceptedTables{Tables: memory}
			a := newHolder(t, tables, "a", []string{"a", "b"}, c.now)
			grant, _ := a.Current(c.now())
			tables.commit = func(ctx context.Context, changes ...store.Change) (int64, error) {
				version, err := memory.Commit(ctx, changes...)
				a.ObserveEpoch(grant.Epoch + 1)
				if test.outcome != nil {
					return 0, test.outcome
				}
				return version, err
			}
			c.at = c.at.Add(DefaultRenewInterval)
			if err := a.RunOnce(t.Context()); !errors.Is(err, test.outcome) {
				t.Fatal(err)
			}
			if !a.Superseded(grant.Epoch) {
				t.Error("a has forgotten that its epoch is superseded")
			}
			if grant, holds := a.Current(c.now()); holds {
				t.Errorf("a holds the lease again: %+v", grant)
			}
		})
	}
}
