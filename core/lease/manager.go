package lease

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"tanagerstack.org/core/store"
)

// Timing of a lease. After the holder is killed, the lease can be acquired once the term
// plus the clock skew has passed; other VMs notice within one pollInterval.
const (
	DefaultTerm          = 1500 * time.Millisecond
	DefaultRenewInterval = 400 * time.Millisecond
	pollInterval         = 250 * time.Millisecond
	callTimeout          = 500 * time.Millisecond
	// taskDeadlineMargin is added to the recorded maximum task deadline, so that task leases
	// given between two renewals of the lease stay below it.
	taskDeadlineMargin = 2 * DefaultTerm
)

// Options configure a Manager. Tables, Domain and Name are required.
type Options struct {
	Tables store.Tables
	Domain string
	// Name is the name of this entry VM.
	Name string
	// ClockSkew is the maximum difference between the clocks of two VMs.
	ClockSkew time.Duration
	// Term is the time from a renewal to its deadline; DefaultTerm if zero.
	Term time.Duration
	// RenewInterval is the time between renewals; DefaultRenewInterval if zero.
	RenewInterval time.Duration
	// TaskLease returns the longest lease that this VM currently gives to a task; nil means
	// that it gives none.
	TaskLease func() time.Duration
	// MaxTaskLease is the longest lease that any VM ever gives to a task.
	MaxTaskLease time.Duration
	// Voters returns the names of the entry VMs in the domain's stored roster, including this
	// one; nil if leases are never extended.
	Voters func() []string
	// Eligible reports whether this VM may acquire the lease; nil means always.
	Eligible func() bool
	// Now returns the current time; time.Now if nil.
	Now func() time.Time
}

// Manager acquires and renews the lease of a failure domain for one entry VM. It is safe for
// concurrent use.
type Manager struct {
	opts      Options
	instance  string
	startedAt time.Time

	// storeMu serializes calls to the tables, so that row versions are seen in order.
	storeMu sync.Mutex
	// rowVersion is the version of lastRow; guarded by storeMu.
	rowVersion  int64
	nextRenewal time.Time

	mu sync.Mutex
	// lastRow is the last row that was read or written. held is set if its holder is this
	// process.
	lastRow row
	held    bool
	// rowKnown is set once this process has read the row.
	rowKnown bool
	// unresolved are the writes of unknown outcome over rowVersion, one for each epoch and set of
	// voters. One of them may still take effect while the row has that version.
	unresolved []row
	released   bool
	// inheritedTaskDeadline is the latest deadline that previous holders may have given to a
	// task, as of the acquisition.
	inheritedTaskDeadline time.Time
	// extension is the extension that the voters have promised to this VM.
	extension Extension
	// promise is the extension that this VM has promised to the current holder.
	promise Extension
	changed chan struct{}
}

// NewManager returns a Manager that does not hold the lease.
func NewManager(opts Options) *Manager {
	if opts.Term <= 0 {
		opts.Term = DefaultTerm
	}
	if opts.RenewInterval <= 0 {
		opts.RenewInterval = DefaultRenewInterval
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

// Start acquires and renews the lease in the background until ctx ends. It does not release
// the lease then.
func (m *Manager) Start(ctx context.Context) {
	go m.run(ctx)
}

// Current returns the grant of this VM and whether it is valid at now.
func (m *Manager) Current(now time.Time) (Grant, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	grant := m.grant()
	return grant, grant.Valid(now)
}

// Holder returns the name of the last known holder, or "" if it is unknown or has released
// the lease.
func (m *Manager) Holder() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastRow.Released {
		return ""
	}
	return m.lastRow.Holder
}

// Instance returns the random ID that distinguishes this process from other processes of the
// same VM.
func (m *Manager) Instance() string { return m.instance }

// Superseded reports whether an epoch newer than the given one is known, or this VM has released the
// lease.
func (m *Manager) Superseded(epoch int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastRow.Epoch > epoch || m.released
}

// Changed returns a channel that receives a value when the holder changes. Its buffer has
// one element, so that several changes may cause one signal.
func (m *Manager) Changed() <-chan struct{} { return m.changed }

// MaxTaskDeadline returns the latest deadline that this VM may give to a task now. Other VMs
// know it from the lease row or from a promised extension, and wait for it after a takeover.
func (m *Manager) MaxTaskDeadline() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return latest(m.lastRow.MaxTaskDeadline, m.extension.MaxTaskDeadline)
}

// RemovePreviousHolder removes a previous holder that is proved to have ended. The stored row
// lists it until the next renewal.
func (m *Manager) RemovePreviousHolder(f PreviousHolder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var kept []PreviousHolder
	for _, other := range m.lastRow.PreviousHolders {
		if other != f {
			kept = append(kept, other)
		}
	}
	m.lastRow.PreviousHolders = kept
}

// Release gives up the lease, so that another VM can acquire it without waiting. This VM does
// not acquire it again. The caller must have stopped sending commands.
func (m *Manager) Release(ctx context.Context) error {
	m.storeMu.Lock()
	defer m.storeMu.Unlock()
	m.mu.Lock()
	held := m.held
	m.held, m.released = false, true
	next := m.lastRow
	m.mu.Unlock()
	if !held {
		return nil
	}
	next.Released = true
	if err := m.write(ctx, next); err != nil {
		return fmt.Errorf("release lease of %s: %w", m.opts.Domain, err)
	}
	return nil
}

// RunOnce renews the lease if this VM holds it and a renewal is due. If this VM does not hold
// the lease, it reads the row and acquires the lease if it is free.
func (m *Manager) RunOnce(ctx context.Context) error {
	m.storeMu.Lock()
	defer m.storeMu.Unlock()
	now := m.opts.Now()
	m.mu.Lock()
	held, released, lastRow := m.held, m.released, m.lastRow
	m.mu.Unlock()
	if released {
		return nil
	}
	if held {
		if now.Before(m.nextRenewal) {
			return nil
		}
		return m.renew(ctx, now, lastRow)
	}
	return m.tryAcquire(ctx, now)
}

// tryAcquire reads the row and acquires the lease if this VM may do so.
func (m *Manager) tryAcquire(ctx context.Context, now time.Time) error {
	current, err := m.read(ctx)
	if err != nil {
		return err
	}
	if m.opts.Eligible != nil && !m.opts.Eligible() {
		return nil
	}
	if !m.mayAcquire(current, now) {
		return nil
	}
	next := current.successor(m.opts.Name, m.instance)
	next.MaxTaskDeadline = m.takeoverTaskDeadline(current)
	m.mu.Lock()
	m.inheritedTaskDeadline = next.MaxTaskDeadline
	m.mu.Unlock()
	return m.renew(ctx, now, next)
}

// renew writes r with new deadlines, which are relative to now, a time before the write.
func (m *Manager) renew(ctx context.Context, now time.Time, r row) error {
	r.Deadline = now.Add(m.opts.Term)
	if bound := now.Add(m.taskLease() + taskDeadlineMargin); bound.After(r.MaxTaskDeadline) {
		r.MaxTaskDeadline = bound
	}
	if m.opts.Voters != nil {
		r.Voters = m.opts.Voters()
	}
	m.nextRenewal = now.Add(m.opts.RenewInterval)
	return m.write(ctx, r)
}

// write commits r if the stored row still has the version rowVersion. After a conflict, or if
// the result of the write is unknown, it reads the row.
func (m *Manager) write(ctx context.Context, r row) error {
	data, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode lease row: %w", err)
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	forget := m.noteUnresolved(r)
	version, err := m.opts.Tables.Commit(callCtx, store.Put{
		Table: Table, Key: m.opts.Domain, Value: data, Expected: store.Expect(m.rowVersion),
	})
	var conflict *store.ConflictError
	switch {
	case err == nil:
		m.setRowVersion(version)
		m.observe(r)
		return nil
	case errors.Is(err, store.ErrOutcomeUnknown):
		_, readErr := m.read(ctx)
		return errors.Join(err, readErr)
	case errors.As(err, &conflict):
		forget()
		_, readErr := m.read(ctx)
		return errors.Join(err, readErr)
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrRejected):
		forget()
		return err
	default:
		return err
	}
}

// setRowVersion records the version of the stored row. A new version resolves all writes of
// unknown outcome: each has taken effect or is void. The caller must hold storeMu.
func (m *Manager) setRowVersion(version int64) {
	if version == m.rowVersion {
		return
	}
	m.rowVersion = version
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unresolved = nil
}

// noteUnresolved records a write that is about to be sent, so that its outcome is unknown. The
// function that it returns undoes this. The caller must hold storeMu.
func (m *Manager) noteUnresolved(r row) (forget func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.unresolved
	if !slices.ContainsFunc(before, func(known row) bool {
		return known.Epoch == r.Epoch && slices.Equal(known.Voters, r.Voters)
	}) {
		m.unresolved = append(slices.Clone(before), r)
	}
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.unresolved = before
	}
}

// possibleRows returns the rows of which one is stored, unless another VM has written since: the
// last known one and the writes of unknown outcome. The caller must hold m.mu.
func (m *Manager) possibleRows() []row {
	return append([]row{m.lastRow}, m.unresolved...)
}

// read reads the stored row and makes it the last known one.
func (m *Manager) read(ctx context.Context) (row, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stored, err := m.opts.Tables.Read(callCtx, Table, m.opts.Domain)
	if err != nil {
		return row{}, err
	}
	current, err := decodeRow(stored.Value)
	if err != nil {
		return row{}, err
	}
	m.setRowVersion(stored.Version)
	m.observe(current)
	return current, nil
}

// observe makes r the last known row and signals if the holder changed. It ignores a row from
// before an epoch that is known already.
func (m *Manager) observe(r row) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rowKnown = true
	before := m.lastRow
	if r.Epoch < before.Epoch {
		return
	}
	m.lastRow = r
	if before.Epoch != r.Epoch {
		m.extension = Extension{}
	}
	m.held = r.Instance == m.instance && !r.Released && !m.released
	if before.Epoch == r.Epoch && before.Released == r.Released {
		return
	}
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

func (m *Manager) grant() Grant {
	if !m.held {
		return Grant{Domain: m.opts.Domain}
	}
	return Grant{
		Domain:          m.opts.Domain,
		Epoch:           m.lastRow.Epoch,
		Deadline:        latest(m.lastRow.Deadline, m.extension.Until),
		MaxTaskDeadline: m.inheritedTaskDeadline,
		PreviousHolders: append([]PreviousHolder(nil), m.lastRow.PreviousHolders...),
	}
}

func (m *Manager) taskLease() time.Duration {
	if m.opts.TaskLease == nil {
		return 0
	}
	return m.opts.TaskLease()
}

func (m *Manager) run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval / 2)
	defer ticker.Stop()
	var nextPoll time.Time
	for {
		now := m.opts.Now()
		if _, holds := m.Current(now); holds || !now.Before(nextPoll) {
			nextPoll = now.Add(pollInterval)
			// A later call retries after an error; until then, the stored deadline limits the
			// grant.
			_ = m.RunOnce(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
