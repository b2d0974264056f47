package lease

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"tanagerstack.org/core/store"
)

// The times of a lease. A killed holder's lease is free after at most the term
// plus the clock skew, and a taker notices within one poll.
const (
	DefaultTerm       = 1500 * time.Millisecond
	DefaultRenewEvery = 400 * time.Millisecond
	pollEvery         = 250 * time.Millisecond
	callTimeout       = 500 * time.Millisecond
	// taskMargin covers the renewals of the lease during which a task lease that
	// was just given must stay below the recorded bound.
	taskMargin = 2 * DefaultTerm
)

// Options configure a Keeper. Tables, Domain and Name are needed.
type Options struct {
	Tables store.Tables
	Domain string
	// Name is the name of this entry VM.
	Name string
	// ClockSkew is the most by which two clocks differ.
	ClockSkew time.Duration
	// Term is the time from a renewal to its deadline; DefaultTerm if zero.
	Term time.Duration
	// RenewEvery is the time between renewals; DefaultRenewEvery if zero.
	RenewEvery time.Duration
	// TaskLease returns the longest lease that this VM gives to a task; it may be
	// nil if the VM gives none.
	TaskLease func() time.Duration
	// MaxTaskLease is the longest lease that any VM may give to a task.
	MaxTaskLease time.Duration
	// Voters returns the entry VMs of the domain's stored roster, this one
	// included; it may be nil where nothing is ever extended.
	Voters func() []string
	// Eligible reports whether this VM may take the lease; nil means always.
	Eligible func() bool
	// Now is the clock; time.Now if nil.
	Now func() time.Time
}

// Keeper takes and renews the lease of a failure domain for one entry VM. It is
// safe for concurrent use.
type Manager struct {
	opts      Options
	instance  string
	startedAt time.Time

	// step serializes calls to the platform, so that versions stay in order.
	step sync.Mutex
	// rowVersion is the version of the last row seen; guarded by step.
	rowVersion int64
	renewAt    time.Time

	mu sync.Mutex
	// known is the last row seen; held says that it is of this instance.
	known    row
	held     bool
	released bool
	// inherited is the bound that this VM must wait out, as of its taking.
	inherited time.Time
	// extension is the time past the row's deadline that the voters granted.
	extension Extension
	// promised is what this VM promised to a holder that is cut off.
	promised Extension
	changed  chan struct{}
}

// NewKeeper returns a Keeper that holds nothing yet.
func NewManager(opts Options) *Manager {
	if opts.Term <= 0 {
		opts.Term = DefaultTerm
	}
	if opts.RenewEvery <= 0 {
		opts.RenewEvery = DefaultRenewEvery
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Manager{
		opts:      opts,
		instance:  rand.Text(),
		startedAt: opts.Now(),
		changed:   make(chan struct{}, 1),
	}
}

// Start keeps the lease until ctx ends. It does not release it.
func (k *Manager) Start(ctx context.Context) {
	go k.run(ctx)
}

// Current returns the grant and whether this VM is the holder at now.
func (k *Manager) Current(now time.Time) (Grant, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	grant := k.grant()
	return grant, grant.Valid(now)
}

// Holder returns the name of the last known holder, or "" if none is known.
func (k *Manager) Holder() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.known.Released {
		return ""
	}
	return k.known.Holder
}

// Instance identifies this process among those of the same name.
func (k *Manager) Instance() string { return k.instance }

// Superseded reports whether another VM is known to have taken the lease after epoch.
func (k *Manager) Superseded(epoch int64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.known.Epoch > epoch || k.released
}

// Changed signals that the grant was won or lost. It has room for one signal.
func (k *Manager) Changed() <-chan struct{} { return k.changed }

// TaskBound is the latest deadline that a task may be given now: other VMs know
// from the lease row that they must wait it out.
func (k *Manager) MaxTaskDeadline() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return latest(k.known.TasksUntil, k.extension.MaxTaskDeadline)
}

// ConfirmEnded drops an earlier holder whose end was proved. The row says so
// from the next renewal on.
func (k *Manager) RemovePreviousHolder(f PreviousHolder) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var kept []PreviousHolder
	for _, other := range k.known.Former {
		if other != f {
			kept = append(kept, other)
		}
	}
	k.known.Former = kept
}

// Release hands the lease over: the next taker need not wait. This VM takes no
// lease afterwards. The caller must have stopped sending commands.
func (k *Manager) Release(ctx context.Context) error {
	k.step.Lock()
	defer k.step.Unlock()
	k.mu.Lock()
	held := k.held
	k.held, k.released = false, true
	next := k.known
	k.mu.Unlock()
	if !held {
		return nil
	}
	next.Released = true
	if err := k.write(ctx, next); err != nil {
		return fmt.Errorf("release the lease of %s: %w", k.opts.Domain, err)
	}
	return nil
}

// Step reads, takes or renews the lease once, as the present instant demands.
func (k *Manager) RunOnce(ctx context.Context) error {
	k.step.Lock()
	defer k.step.Unlock()
	now := k.opts.Now()
	k.mu.Lock()
	held, released, known := k.held, k.released, k.known
	k.mu.Unlock()
	if released {
		return nil
	}
	if held {
		if now.Before(k.renewAt) {
			return nil
		}
		return k.extend(ctx, now, known)
	}
	return k.watch(ctx, now)
}

// watch reads the row and takes the lease if it is free.
func (k *Manager) watch(ctx context.Context, now time.Time) error {
	current, err := k.read(ctx)
	if err != nil {
		return err
	}
	if k.opts.Eligible != nil && !k.opts.Eligible() {
		return nil
	}
	if !k.mayTake(current, now) {
		return nil
	}
	next := current.successor(k.opts.Name, k.instance)
	next.TasksUntil = k.boundAtTake(current)
	k.mu.Lock()
	k.inherited = next.TasksUntil
	k.mu.Unlock()
	return k.extend(ctx, now, next)
}

// extend writes r with a new deadline. Its deadlines count from before the write.
func (k *Manager) extend(ctx context.Context, now time.Time, r row) error {
	r.Deadline = now.Add(k.opts.Term)
	if bound := now.Add(k.taskLease() + taskMargin); bound.After(r.TasksUntil) {
		r.TasksUntil = bound
	}
	if k.opts.Voters != nil {
		r.Voters = k.opts.Voters()
	}
	k.renewAt = now.Add(k.opts.RenewEvery)
	return k.write(ctx, r)
}

// write commits r over the last version seen and settles a lost answer by reading.
func (k *Manager) write(ctx context.Context, r row) error {
	data, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode lease row: %w", err)
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := k.opts.Tables.Commit(callCtx, store.Put{
		Table: Table, Key: k.opts.Domain, Value: data, Expected: store.Expect(k.rowVersion),
	})
	var conflict *store.ConflictError
	switch {
	case err == nil:
		k.rowVersion = version
		k.adopt(r)
		return nil
	case errors.Is(err, store.ErrOutcomeUnknown), errors.As(err, &conflict):
		_, readErr := k.read(ctx)
		return errors.Join(err, readErr)
	default:
		return err
	}
}

// read adopts the row as the platform has it, which also settles a lost answer.
func (k *Manager) read(ctx context.Context) (row, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stored, err := k.opts.Tables.Read(callCtx, Table, k.opts.Domain)
	if err != nil {
		return row{}, err
	}
	current, err := decodeRow(stored.Value)
	if err != nil {
		return row{}, err
	}
	k.rowVersion = stored.Version
	k.adopt(current)
	return current, nil
}

// adopt makes r the known row and signals when the holder changed.
func (k *Manager) adopt(r row) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.known
	k.known = r
	if before.Epoch != r.Epoch {
		k.extension = Extension{}
	}
	k.held = r.Instance == k.instance && !r.Released && !k.released
	if before.Epoch == r.Epoch && before.Released == r.Released {
		return
	}
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

func (k *Manager) grant() Grant {
	if !k.held {
		return Grant{Domain: k.opts.Domain}
	}
	return Grant{
		Domain:          k.opts.Domain,
		Epoch:           k.known.Epoch,
		Deadline:        latest(k.known.Deadline, k.extension.Until),
		MaxTaskDeadline: k.inherited,
		PreviousHolders: append([]PreviousHolder(nil), k.known.Former...),
	}
}

func (k *Manager) taskLease() time.Duration {
	if k.opts.TaskLease == nil {
		return 0
	}
	return k.opts.TaskLease()
}

func (k *Manager) run(ctx context.Context) {
	ticker := time.NewTicker(pollEvery / 2)
	defer ticker.Stop()
	var watchAt time.Time
	for {
		now := k.opts.Now()
		if _, holds := k.Current(now); holds || !now.Before(watchAt) {
			watchAt = now.Add(pollEvery)
			// An error is settled by a later step; the stored deadline guards until then.
			_ = k.RunOnce(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
