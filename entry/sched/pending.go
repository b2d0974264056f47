package sched

import (
	"context"
	"fmt"
	"time"

	"tanagerstack.org/core/peer"
	"tanagerstack.org/core/policy"
	"tanagerstack.org/core/store"
)

// pendingRetryAfter is when a caller at its limit of jobs may try again.
const pendingRetryAfter = 5 * time.Second

// PendingMessage asks the holder of a domain how many jobs of a caller have not
// ended.
type PendingMessage struct {
	Domain  string `cbor:"1,keyasint"`
	Caller  string `cbor:"2,keyasint"`
	Relayed bool   `cbor:"3,keyasint,omitempty"`
}

// Kind names the message.
func (PendingMessage) Kind() string { return "job-pending" }

func (s *Scheduler) handlePending(ctx context.Context, _ peer.Identity, m PendingMessage) (JobAnswer, error) {
	if h := s.current(); h != nil && m.Domain == s.opts.Domain {
		return JobAnswer{Held: true, Pending: h.pending(m.Caller)}, nil
	}
	if m.Relayed {
		return JobAnswer{}, nil
	}
	m.Relayed = true
	return s.relay(ctx, m.Domain, m)
}

// checkPending refuses a new job of a caller that has too many that have not
// ended. The holder counts; jobs submitted at the same instant may all pass, and
// without a holder to ask none is refused, since the limit is against floods and
// an accepted job is as safe as any.
func (s *Scheduler) checkPending(ctx context.Context, row *jobRow, limits policy.Limits, exception string) error {
	if limits.PendingJobs <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, nudgeTimeout)
	defer cancel()
	answer, err := s.handlePending(ctx, peer.Identity{Name: s.opts.Name}, PendingMessage{Domain: row.Domain, Caller: row.Caller})
	if err != nil || answer.Pending < limits.PendingJobs || s.known(ctx, row) {
		return nil
	}
	return &RefusedError{
		Reason:   ReasonTooManyJobs,
		Field:    "jobs",
		Accepted: fmt.Sprintf("up to %d that have not ended%s", limits.PendingJobs, byException(exception)),
		Detail:   fmt.Sprintf("%d jobs of %s have not ended", answer.Pending, row.Caller),
		RetryAt:  s.opts.Now().Add(pendingRetryAfter),
	}
}

// known reports whether the job was accepted before under the caller's key. A
// repeat of it adds no job.
func (s *Scheduler) known(ctx context.Context, row *jobRow) bool {
	if row.Spec.Key.Value == "" {
		return false
	}
	key, err := s.opts.Tables.Read(ctx, tableKeys, row.keyOf())
	return err == nil && key.Version != store.Absent
}

// pending counts the jobs of a caller that have not ended.
func (h *holder) pending(callerName string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, j := range h.jobs {
		if j.row.Caller == callerName && !ended(j.row.State) {
			count++
		}
	}
	return count
}

func byException(name string) string {
	if name == "" {
		return ""
	}
	return " (exception " + name + ")"
}
