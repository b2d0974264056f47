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

// The errors of a caller's request.
var (
	// ErrRefused means that the job was not accepted and will not run.
	ErrRefused = errors.New("job refused")
	// ErrUncertain means that it is not known whether the request took effect.
	ErrUncertain = errors.New("outcome unknown")
	// ErrNotFound means that there is no such job.
	ErrNotFound = errors.New("no such job")
	// ErrUnavailable means that there is no answer now.
	ErrUnavailable = errors.New("no answer now")
)

// RefusedError says why a job was refused and when it makes sense to return.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
}

// Error names the reason.
func (e *RefusedError) Error() string { return "job refused: " + e.Reason }

// Unwrap returns ErrRefused.
func (e *RefusedError) Unwrap() error { return ErrRefused }

const (
	// settleRetry and lastSettleRetry are the waits before a write is sent again
	// whose answer was lost.
	settleRetry     = 20 * time.Millisecond
	lastSettleRetry = 300 * time.Millisecond
	// unsettledFor is how long a write without an answer is tried again before the
	// caller is let go: another VM may reach the store.
	unsettledFor = 1500 * time.Millisecond
	// firstReturn and lastReturn bound when a caller may return after the store
	// was away: outages last seconds, and callers return four times at most.
	firstReturn = time.Second
	lastReturn  = 3 * time.Second
	// returnShare is the part of a job's objective after which its caller may
	// return: work that has long to go can wait out an outage.
	returnShare = 0.2
)

// returnAfter is when a caller of a job may return while the store is away.
func returnAfter(job jobs.Job) time.Duration {
	return min(max(time.Duration(returnShare*float64(job.Objective())), firstReturn), lastReturn)
}

// Submit stores a job. It returns nil once the job is accepted, also if an
// earlier attempt was. The error wraps ErrRefused, or ErrUncertain if the job may
// still come to be accepted.
func (n *Node) Submit(ctx context.Context, job jobs.Job) error {
	data, err := jobs.Encode(job)
	if err != nil {
		return &RefusedError{Reason: err.Error()}
	}
	began := time.Now()
	version, err := n.insert(ctx, store.Row{Table: JobsTable, Key: string(job.ID), Version: store.Absent}, data)
	if err == nil && version != store.Absent {
		n.tellLeader(news{Row: storedRow{Key: string(job.ID), Value: data, Version: version}})
	}
	var refused *RefusedError
	if errors.As(err, &refused) {
		refused.RetryAfter = returnAfter(job)
	}
	observe(n.metrics.submit, began)
	n.metrics.submits.WithLabelValues(submitOutcome(err)).Inc()
	n.opts.Logger.Info("job submitted", "job", job.ID, "queue", job.Queue.Name, "error", err, "took", time.Since(began))
	return err
}

// submitOutcome names what a caller was told, for a label.
func submitOutcome(err error) string {
	switch {
	case err == nil:
		return "accepted"
	case errors.Is(err, ErrRefused):
		return "refused"
	default:
		return "unknown"
	}
}

// insert writes a job's row where there is none, or over the mark of a refusal.
// It returns the version of the row, or Absent if an earlier attempt wrote it.
func (n *Node) insert(ctx context.Context, row store.Row, data []byte) (int64, error) {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = settleRetry
	waits.MaxInterval = lastSettleRetry
	sent := false
	giveUp := time.Now().Add(unsettledFor)
	for {
		put := store.Put{Table: row.Table, Key: row.Key, Value: data, Expected: store.Expect(row.Version)}
		version, err := n.opts.Store.Commit(ctx, put)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			return version, nil
		case errors.As(err, &conflict):
			next, accepted := settleInsert(row, conflict)
			if accepted {
				return store.Absent, nil
			}
			row = next
			continue
		case errors.Is(err, store.ErrOutcomeUnknown):
			sent = true
		case !sent && (!errors.Is(err, store.ErrBusy) || time.Now().After(giveUp)):
			return store.Absent, &RefusedError{Reason: "the store is away"}
		}
		if time.Now().After(giveUp) || !store.Sleep(ctx, waits.NextBackOff()) {
			return store.Absent, fmt.Errorf("%w: %w", ErrUncertain, err)
		}
	}
}

// settleInsert reads from a conflict whether the job is accepted already, or
// which row to write over.
func settleInsert(row store.Row, conflict *store.ConflictError) (next store.Row, accepted bool) {
	for _, present := range conflict.Rows {
		if present.Key != row.Key {
			continue
		}
		if present.Version == store.Absent {
			return present, false
		}
		job, err := jobs.Decode[jobs.Job](present.Value)
		if err != nil || !job.Refused {
			return row, true
		}
		return present, false
	}
	return row, false
}

// Cancel stores that a job is canceled. The error is ErrNotFound, or wraps
// ErrUnavailable.
func (n *Node) Cancel(ctx context.Context, id jobs.ID) error {
	err := n.cancel(ctx, id)
	n.metrics.cancels.WithLabelValues(outcomeOf(err)).Inc()
	n.opts.Logger.Info("job cancel", "job", id, "error", err)
	return err
}

func (n *Node) cancel(ctx context.Context, id jobs.ID) error {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = settleRetry
	waits.MaxInterval = lastSettleRetry
	for {
		err := n.cancelOnce(ctx, id)
		if err == nil || errors.Is(err, ErrNotFound) {
			return err
		}
		if !store.Sleep(ctx, waits.NextBackOff()) {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
	}
}

func (n *Node) cancelOnce(ctx context.Context, id jobs.ID) error {
	if _, err := n.readJob(ctx, id); err != nil {
		return err
	}
	key := string(id) + cancelSuffix
	version, err := n.opts.Store.Commit(ctx, store.Put{Table: JobsTable, Key: key, Value: []byte{}})
	if err == nil {
		n.tellLeader(news{Row: storedRow{Key: key, Version: version}})
	}
	return err
}

// readJob reads a job from the store.
func (n *Node) readJob(ctx context.Context, id jobs.ID) (jobs.Job, error) {
	row, err := n.opts.Store.Read(ctx, JobsTable, string(id))
	if err != nil {
		return jobs.Job{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if row.Version == store.Absent {
		return jobs.Job{}, ErrNotFound
	}
	job, err := jobs.Decode[jobs.Job](row.Value)
	if err != nil {
		return jobs.Job{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if job.Refused {
		return jobs.Job{}, ErrNotFound
	}
	return job, nil
}

// Status returns the state of a job: from the leader, or else from the store.
func (n *Node) Status(ctx context.Context, id jobs.ID) (jobs.State, error) {
	if reply, ok := n.askLeader(ctx, id); ok && reply.Known {
		return reply.State, nil
	}
	return n.storedStatus(ctx, id)
}

func (n *Node) askLeader(ctx context.Context, id jobs.ID) (statusReply, bool) {
	if l := n.leader(); l != nil {
		status := l.status(id)
		return statusReply{Leading: true, Known: status.Known, State: status.State}, true
	}
	row := n.elector.current()
	if !row.Address.IsValid() || row.Released {
		return statusReply{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	reply, err := exchange[statusQuestion, statusReply](ctx, n.peers, row.Address, pathStatus, statusQuestion{Job: id})
	return reply, err == nil
}

// storedStatus reads what is stored of a job.
func (n *Node) storedStatus(ctx context.Context, id jobs.ID) (jobs.State, error) {
	job, err := n.readJob(ctx, id)
	if err != nil {
		return 0, err
	}
	if job.FinalState.Final() {
		return job.FinalState, nil
	}
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
		return jobs.Running, nil
	}
	canceled, err := n.opts.Store.Read(ctx, JobsTable, string(id)+cancelSuffix)
	if err == nil && canceled.Version != store.Absent {
		return jobs.Canceled, nil
	}
	return jobs.Queued, nil
}

// Pending returns how many accepted jobs of a queue have not begun.
func (n *Node) Pending(queue string) (int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pendingAt.IsZero() {
		return 0, ErrUnavailable
	}
	return n.pending[queue], nil
}

func isOverloaded(err error) bool { return errors.Is(err, ErrOverloaded) }
