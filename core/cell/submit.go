package cell

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/store"
)

// Errors of callers' requests.
var (
	// ErrRefused means that the job was not accepted and will not run.
	ErrRefused = errors.New("job refused")
	// ErrOutcomeUnknown means that it is not known whether the request took effect.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrNotFound means that the job does not exist.
	ErrNotFound = errors.New("no such job")
	// ErrUnavailable means that the request cannot be answered now.
	ErrUnavailable = errors.New("no answer now")
)

// RefusedError is the error of a refused job: the reason, and the time after which the caller
// may retry.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
	// CallerLimit is set if the reason is a limit of the caller's organization and not the load of the cell.
	CallerLimit bool
}

// Error implements error.
func (e *RefusedError) Error() string { return "job refused: " + e.Reason }

// Unwrap returns ErrRefused.
func (e *RefusedError) Unwrap() error { return ErrRefused }

const (
	// minWriteRetry and maxWriteRetry bound the waits between attempts of a write whose answer
	// was lost.
	minWriteRetry = 20 * time.Millisecond
	maxWriteRetry = 300 * time.Millisecond
	// writeRetryLimit is how long a write without an answer is retried before the request
	// fails. The caller can then retry at another VM, which may reach the store.
	writeRetryLimit = 1500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time after which a caller may retry when the
	// store was unavailable: outages last seconds, and callers retry at most four times.
	minRetryAfter = time.Second
	maxRetryAfter = 3 * time.Second
	// retryAfterShare is the fraction of a job's objective after which its caller may retry: a
	// job with a distant objective can wait for the end of an outage.
	retryAfterShare = 0.2
	// maxPendingAge is the greatest age of a number of pending jobs that callers are told. A VM gets
	// a new one with each heartbeat.
	maxPendingAge = 2 * time.Second
)

// retryAfter returns the time after which the caller of a job may retry while the store is
// unavailable.
func retryAfter(job jobs.Job) time.Duration {
	return min(max(time.Duration(retryAfterShare*float64(job.Objective())), minRetryAfter), maxRetryAfter)
}

// Submit stores a job. It returns nil once the job is accepted, also if an earlier attempt was. A job
// that was withdrawn is accepted as canceled.
// The error wraps ErrRefused, jobs.ErrInvalid if the job is too large to be stored, ErrForbidden if
// the ID is that of another organization's job, or ErrOutcomeUnknown if the job may still become
// accepted.
func (n *Node) Submit(ctx context.Context, job jobs.Job) error {
	data, err := jobs.Encode(job)
	if err != nil {
		return &RefusedError{Reason: err.Error()}
	}
	if n.exceedsRow(data) {
		return fmt.Errorf("%w: it takes %d bytes to store, more than %d", jobs.ErrInvalid, len(data), n.opts.MaxRowBytes)
	}
	began := time.Now()
	if refused := n.admit(ctx, &job); refused != nil {
		observeSince(n.metrics.submit, began)
		n.metrics.submits.WithLabelValues(submitOutcome(refused)).Inc()
		return refused
	}
	row, err := n.insert(ctx, job, data)
	if err == nil && row.Version != store.Absent {
		n.notifyLeader(rowUpdate{Row: storedRow{Key: row.Key, Value: row.Value, Version: row.Version}})
	}
	var refused *RefusedError
	if errors.As(err, &refused) {
		refused.RetryAfter = retryAfter(job)
	}
	if errors.Is(err, ErrOutcomeUnknown) && n.opts.Admission.active(n.Config()) {
		n.admission.noteUncertain(time.Now(), job.ID)
	}
	observeSince(n.metrics.submit, began)
	n.metrics.submits.WithLabelValues(submitOutcome(err)).Inc()
	n.opts.Logger.Info("job submission answered", "job", job.ID, "queue", job.Queue.Name, "organization", job.Organization, "error", err, "took", time.Since(began))
	return err
}

// exceedsRow reports whether a value is too large for one row of the store.
func (n *Node) exceedsRow(value []byte) bool {
	return n.opts.MaxRowBytes > 0 && len(value) > n.opts.MaxRowBytes
}

// submitOutcome returns the outcome label of a submission.
func submitOutcome(err error) string {
	switch {
	case err == nil:
		return "accepted"
	case errors.Is(err, ErrRefused):
		return "refused"
	case errors.Is(err, ErrForbidden):
		return "forbidden"
	default:
		return "unknown"
	}
}

// insert writes a job's row if there is none, or over a tombstone. It returns the row, or one with the
// version store.Absent if an earlier attempt of the same organization wrote it.
func (n *Node) insert(ctx context.Context, job jobs.Job, data []byte) (store.Row, error) {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = minWriteRetry
	waits.MaxInterval = maxWriteRetry
	sent := false
	row := store.Row{Table: JobsTable, Key: string(job.ID), Version: store.Absent}
	deadline := time.Now().Add(writeRetryLimit)
	for {
		put := store.Put{Table: row.Table, Key: row.Key, Value: data, Expected: store.Expect(row.Version)}
		version, err := n.opts.Store.Commit(ctx, put)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			row.Version, row.Value = version, data
			return row, nil
		case errors.As(err, &conflict):
			next, present, err := resolveInsertConflict(row, conflict, job.Organization)
			if present == jobPresent || err != nil {
				return store.Row{}, err
			}
			if present == jobWithdrawn {
				if data, err = jobs.Encode(job.Closed(jobs.Canceled)); err != nil {
					return store.Row{}, &RefusedError{Reason: err.Error()}
				}
				n.opts.Logger.Info("withdrawn job submitted", "job", job.ID, "organization", job.Organization, "version", next.Version)
			}
			row = next
			continue
		case errors.Is(err, store.ErrOutcomeUnknown):
			sent = true
		case !sent && (!errors.Is(err, store.ErrBusy) || time.Now().After(deadline)):
			return store.Row{}, &RefusedError{Reason: "the store is away"}
		}
		if time.Now().After(deadline) || !store.Sleep(ctx, waits.NextBackOff()) {
			return store.Row{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
	}
}

// presence is what the row of a job that is to be inserted holds.
type presence int

const (
	// jobAbsent means that the job may be written over the row.
	jobAbsent presence = iota
	// jobPresent means that an earlier attempt wrote the job.
	jobPresent
	// jobWithdrawn means that the job was canceled before.
	jobWithdrawn
)

// resolveInsertConflict determines from a conflict what the row of a job holds; unless it holds the job,
// it returns the row to overwrite. The error is ErrForbidden if another organization's job has the
// ID, and ErrOutcomeUnknown if the job of an organization cannot be told from that of another one. A
// tombstone of another organization does not count.
func resolveInsertConflict(row store.Row, conflict *store.ConflictError, organization string) (next store.Row, present presence, err error) {
	for _, found := range conflict.Rows {
		if found.Key != row.Key {
			continue
		}
		if found.Version == store.Absent {
			return found, jobAbsent, nil
		}
		job, err := jobs.Decode[jobs.Job](found.Value)
		switch {
		case err == nil && job.Withdrawn && job.Organization == organization:
			return found, jobWithdrawn, nil
		case err == nil && (job.Refused || job.Withdrawn):
			return found, jobAbsent, nil
		case err != nil && organization != "":
			return row, jobAbsent, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		case err == nil && job.Organization != organization:
			return row, jobAbsent, ErrForbidden
		}
		return row, jobPresent, nil
	}
	return row, jobAbsent, nil
}

// Cancel stores that a job is canceled. The error is ErrNotFound, ErrTooManyWithdrawals, or wraps
// ErrUnavailable. With ErrNotFound, an insert of the job that is under way has no effect.
func (n *Node) Cancel(ctx context.Context, id jobs.ID) error { return n.CancelFor(ctx, Caller{}, id) }

// CancelFor is Cancel for a caller. The error is ErrForbidden if the caller may not cancel the job.
func (n *Node) CancelFor(ctx context.Context, caller Caller, id jobs.ID) error {
	err := n.cancel(ctx, caller, id)
	n.metrics.cancels.WithLabelValues(cancelOutcome(err)).Inc()
	n.opts.Logger.Info("job cancellation answered", "job", id, "organization", caller.Organization, "error", err)
	return err
}

// cancelOutcome returns the outcome label of a cancellation.
func cancelOutcome(err error) string {
	switch {
	case errors.Is(err, ErrNotFound):
		return "withdrawn"
	case errors.Is(err, ErrTooManyWithdrawals):
		return "refused"
	default:
		return outcomeOf(err)
	}
}

func (n *Node) cancel(ctx context.Context, caller Caller, id jobs.ID) error {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = minWriteRetry
	waits.MaxInterval = maxWriteRetry
	for {
		err := n.cancelOnce(ctx, caller, id)
		if err == nil || errors.Is(err, ErrNotFound) || errors.Is(err, ErrForbidden) || errors.Is(err, ErrTooManyWithdrawals) {
			return err
		}
		if !store.Sleep(ctx, waits.NextBackOff()) {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
	}
}

func (n *Node) cancelOnce(ctx context.Context, caller Caller, id jobs.ID) error {
	job, version, err := n.readJobRow(ctx, id)
	switch {
	case err != nil:
		return err
	case version == store.Absent || job.Refused:
		return n.withdraw(ctx, caller, id, version)
	case job.Withdrawn && job.Organization == caller.Organization:
		return ErrNotFound
	case !caller.mayUse(ownerOf(job)):
		return ErrForbidden
	case job.Withdrawn:
		return n.withdraw(ctx, caller, id, version)
	}
	key := string(id) + cancelSuffix
	version, err = n.opts.Store.Commit(ctx, store.Put{Table: JobsTable, Key: key, Value: []byte{}})
	if err == nil {
		n.notifyLeader(rowUpdate{Row: storedRow{Key: key, Version: version}})
	}
	return err
}

// readJob reads a job from the store. The error is ErrNotFound, also for a tombstone, or wraps
// ErrUnavailable.
func (n *Node) readJob(ctx context.Context, id jobs.ID) (jobs.Job, error) {
	job, version, err := n.readJobRow(ctx, id)
	if err != nil {
		return jobs.Job{}, err
	}
	if version == store.Absent || job.Refused || job.Withdrawn {
		return jobs.Job{}, ErrNotFound
	}
	return job, nil
}

// readJobRow reads the row of a job, which may be a tombstone. The version is store.Absent if there is
// none. The error wraps ErrUnavailable.
func (n *Node) readJobRow(ctx context.Context, id jobs.ID) (job jobs.Job, version int64, err error) {
	row, err := n.opts.Store.Read(ctx, JobsTable, string(id))
	if err == nil && row.Version != store.Absent {
		job, err = jobs.Decode[jobs.Job](row.Value)
	}
	if err != nil {
		return jobs.Job{}, store.Absent, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return job, row.Version, nil
}

// Status returns the state of a job from the leader, or from the store if the leader does not
// know it or does not answer. The error is ErrNotFound, or wraps ErrUnavailable.
func (n *Node) Status(ctx context.Context, id jobs.ID) (jobs.State, error) {
	state, _, err := n.describe(ctx, id)
	return state, err
}

// describe returns the state and the owner of a job.
func (n *Node) describe(ctx context.Context, id jobs.ID) (jobs.State, owner, error) {
	if reply, ok := n.queryLeader(ctx, id); ok && reply.Known {
		return reply.State, owner{reply.Organization, reply.Queue}, nil
	}
	job, err := n.readJob(ctx, id)
	if err != nil {
		return 0, owner{}, err
	}
	state, err := n.storedStatus(ctx, id, job)
	return state, ownerOf(job), err
}

func (n *Node) queryLeader(ctx context.Context, id jobs.ID) (statusReply, bool) {
	if l := n.leader(); l != nil {
		return l.statusReply(id), true
	}
	row := n.elector.current()
	if !row.Address.IsValid() || row.Released {
		return statusReply{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	reply, err := exchange[statusRequest, statusReply](ctx, n.peers, row.Address, pathStatus, statusRequest{Job: id})
	return reply, err == nil
}

// storedStatus derives the state of a job from its stored rows.
func (n *Node) storedStatus(ctx context.Context, id jobs.ID, job jobs.Job) (jobs.State, error) {
	if job.FinalState.Final() {
		return job.FinalState, nil
	}
	state := jobs.Queued
	row, err := n.opts.Store.Read(ctx, progressTable, string(id))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if row.Version != store.Absent {
		p, err := jobs.Decode[jobs.Progress](row.Value)
		if err != nil {
			return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		if p.State.Final() {
			return p.State, nil
		}
		state = jobs.Running
	}
	canceled, err := n.opts.Store.Read(ctx, JobsTable, string(id)+cancelSuffix)
	switch {
	case err != nil:
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	case canceled.Version != store.Absent:
		return jobs.Canceled, nil
	default:
		return state, nil
	}
}

// Pending returns the number of accepted jobs of a queue that have not started, as last
// reported by the leader. The error is ErrUnavailable if there is no report of the last
// maxPendingAge.
func (n *Node) Pending(queue string) (int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if time.Since(n.pendingAt) > maxPendingAge {
		return 0, ErrUnavailable
	}
	return n.pending[queue], nil
}

func isOverloaded(err error) bool { return errors.Is(err, ErrOverloaded) }
