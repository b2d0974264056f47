package lease

import (
	"slices"
	"time"
)

// Extension lets a holder that is cut off from the platform keep the lease past the
// deadline of its row for a limited time. Every voter of the row must promise it.
type Extension struct {
	Epoch int64
	// Until is when the extension ends.
	Until time.Time
	// MaxTaskDeadline is the latest deadline that the holder gives to a task in that time.
	MaxTaskDeadline time.Time
}

// ExtensionNeeded returns the extension to request, and the names of the other voters. It
// returns false if this VM does not hold the lease or may not be a voter itself, or if the row's
// deadline is more than half a term away.
func (m *Manager) ExtensionNeeded(now time.Time) (Extension, []string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.held || now.Add(m.opts.Term/2).Before(m.lastRow.Deadline) {
		return Extension{}, nil, false
	}
	var others []string
	for _, r := range m.possibleRows() {
		if !slices.Contains(r.Voters, m.opts.Name) {
			return Extension{}, nil, false
		}
		others = append(others, r.Voters...)
	}
	slices.Sort(others)
	others = slices.DeleteFunc(slices.Compact(others), func(name string) bool { return name == m.opts.Name })
	return Extension{
		Epoch:           m.lastRow.Epoch,
		Until:           now.Add(m.opts.Term),
		MaxTaskDeadline: now.Add(m.taskLease() + taskDeadlineMargin),
	}, others, true
}

// Extend applies an extension that every voter has promised. It does nothing if this VM no
// longer holds the lease under the extension's epoch.
func (m *Manager) Extend(e Extension) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held && m.lastRow.Epoch == e.Epoch {
		m.extension = e
	}
}

// Promise promises that this VM does not acquire the lease before the end of an extension.
// It returns false and promises nothing if this VM holds the lease, knows or may have acquired
// a newer epoch than the extension's, or has not read the row since its start: its previous
// process may have acquired the lease. It first waits for an acquisition in progress.
func (m *Manager) Promise(e Extension) bool {
	m.storeMu.Lock()
	defer m.storeMu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	newer := func(r row) bool { return r.Epoch > e.Epoch }
	if !m.rowKnown || m.held || m.promise.Epoch > e.Epoch || slices.ContainsFunc(m.possibleRows(), newer) {
		return false
	}
	m.promise = Extension{
		Epoch:           e.Epoch,
		Until:           latest(m.promise.Until, e.Until),
		MaxTaskDeadline: latest(m.promise.MaxTaskDeadline, e.MaxTaskDeadline),
	}
	return true
}

// ObserveEpoch records that another VM holds the lease under an epoch. If the epoch is newer
// than the last known one, this VM no longer holds the lease.
func (m *Manager) ObserveEpoch(epoch int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastRow.Epoch >= epoch {
		return
	}
	m.lastRow = row{Epoch: epoch}
	m.held = false
	m.extension = Extension{}
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// mayAcquire reports whether this VM may acquire the lease over the row current.
func (m *Manager) mayAcquire(current row, now time.Time) bool {
	m.mu.Lock()
	promised := m.promise.Until
	m.mu.Unlock()
	if !now.After(current.freeAt(m.opts.ClockSkew)) || !now.After(promised.Add(m.opts.ClockSkew)) {
		return false
	}
	if current.Epoch == 0 || current.Released {
		return true
	}
	// A previous process of this VM may have made a promise.
	if !now.After(m.startedAt.Add(m.opts.Term + m.opts.ClockSkew)) {
		return false
	}
	return m.entitledToAcquire(current)
}

// entitledToAcquire reports whether this VM is a voter of current, so that the holder cannot
// extend the lease without its promise, or no voter of current is in the stored roster. It
// returns true if the row has no voters.
func (m *Manager) entitledToAcquire(current row) bool {
	if len(current.Voters) == 0 || slices.Contains(current.Voters, m.opts.Name) || m.opts.Voters == nil {
		return true
	}
	for _, name := range m.opts.Voters() {
		if slices.Contains(current.Voters, name) {
			return false
		}
	}
	return true
}

// takeoverTaskDeadline returns the latest deadline that the holder of current may have given
// to a task.
func (m *Manager) takeoverTaskDeadline(current row) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	bound := latest(current.MaxTaskDeadline, m.promise.MaxTaskDeadline)
	if !current.Released && current.Epoch > 0 && current.Deadline.Before(m.startedAt.Add(m.opts.Term)) {
		// A previous process of this VM may have promised an extension with a later deadline.
		bound = latest(bound, m.startedAt.Add(m.opts.MaxTaskLease+taskDeadlineMargin))
	}
	return bound
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
