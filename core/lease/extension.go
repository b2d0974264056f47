package lease

import (
	"slices"
	"time"
)

// Extension lets a holder that is cut off from the platform go on past the
// deadline of its row. It needs the promise of every voter of the row, for a
// bounded time.
type Extension struct {
	Epoch int64
	// Until is the end of the promise.
	Until time.Time
	// TasksUntil is the latest deadline that the holder gives to a task meanwhile.
	MaxTaskDeadline time.Time
}

// ExtensionWanted returns the extension that the holder should ask the voters
// for, and the voters besides itself. It is false while the row's own deadline
// is far enough, or if the holder can't be extended.
func (k *Manager) ExtensionNeeded(now time.Time) (Extension, []string, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.held || now.Add(k.opts.Term/2).Before(k.known.Deadline) || !slices.Contains(k.known.Voters, k.opts.Name) {
		return Extension{}, nil, false
	}
	others := slices.DeleteFunc(slices.Clone(k.known.Voters), func(name string) bool { return name == k.opts.Name })
	return Extension{
		Epoch:           k.known.Epoch,
		Until:           now.Add(k.opts.Term),
		MaxTaskDeadline: now.Add(k.taskLease() + taskMargin),
	}, others, true
}

// Extend puts an extension in force that every voter promised.
func (k *Manager) Extend(e Extension) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held && k.known.Epoch == e.Epoch {
		k.extension = e
	}
}

// Promise promises not to take the lease before the end of an extension, and
// reports whether it did. A promise waits for a taking that is under way.
func (k *Manager) Promise(e Extension) bool {
	k.step.Lock()
	defer k.step.Unlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held || k.known.Epoch > e.Epoch || k.promised.Epoch > e.Epoch {
		return false
	}
	k.promised = Extension{
		Epoch:           e.Epoch,
		Until:           latest(k.promised.Until, e.Until),
		MaxTaskDeadline: latest(k.promised.MaxTaskDeadline, e.MaxTaskDeadline),
	}
	return true
}

// Supersede notes that an epoch was granted to another VM.
func (k *Manager) ObserveEpoch(epoch int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.known.Epoch >= epoch {
		return
	}
	k.known = row{Epoch: epoch}
	k.held = false
	k.extension = Extension{}
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// mayTake reports whether this VM may take the lease that current describes.
func (k *Manager) mayTake(current row, now time.Time) bool {
	k.mu.Lock()
	promised := k.promised.Until
	k.mu.Unlock()
	if !now.After(current.freeAt(k.opts.ClockSkew)) || !now.After(promised.Add(k.opts.ClockSkew)) {
		return false
	}
	if current.Epoch == 0 || current.Released {
		return true
	}
	// An earlier process of this name may have given a promise.
	if !now.After(k.startedAt.Add(k.opts.Term + k.opts.ClockSkew)) {
		return false
	}
	return k.isVoter(current)
}

// isVoter reports whether the holder of current needs this VM's promise, or no
// voter is left whose promise it could have.
func (k *Manager) isVoter(current row) bool {
	if len(current.Voters) == 0 || slices.Contains(current.Voters, k.opts.Name) || k.opts.Voters == nil {
		return true
	}
	for _, name := range k.opts.Voters() {
		if slices.Contains(current.Voters, name) {
			return false
		}
	}
	return true
}

// boundAtTake is the latest deadline that the holder of current may have given to
// a task.
func (k *Manager) boundAtTake(current row) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	bound := latest(current.TasksUntil, k.promised.MaxTaskDeadline)
	if !current.Released && current.Epoch > 0 && current.Deadline.Before(k.startedAt.Add(k.opts.Term)) {
		// An earlier process of this name may have promised more.
		bound = latest(bound, k.startedAt.Add(k.opts.MaxTaskLease+taskMargin))
	}
	return bound
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
