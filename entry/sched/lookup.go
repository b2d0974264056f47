package sched

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"tanagerstack.org/core/api/caller"
	"tanagerstack.org/core/peer"
	"tanagerstack.org/core/store"
)

// ErrUnavailable means that a job's state can't be read or changed now.
var ErrUnavailable = errors.New("the job can't be reached now")

// Get reports a job: its live state if its domain's holder is reached, else what
// its row tells.
func (s *Scheduler) Get(ctx context.Context, callerName, id string) (*caller.Job, error) {
	domain, ok := domainOf(id)
	if !ok {
		return nil, ErrNotFound
	}
	message := LookupMessage{Domain: domain, Caller: callerName, ID: id}
	answer, err := s.ask(ctx, domain, message, func(h *holder) (JobAnswer, error) { return h.lookup(callerName, id) })
	if err == nil && answer.Found {
		return decodeAnswer(answer)
	}
	row, _, err := s.readJob(ctx, domain, callerName, id)
	if err != nil {
		return nil, err
	}
	return rowView(row), nil
}

// Cancel asks for the end of a job. When it returns, the wish is durable.
func (s *Scheduler) Cancel(ctx context.Context, callerName, id string) (*caller.Job, error) {
	domain, ok := domainOf(id)
	if !ok {
		return nil, ErrNotFound
	}
	message := CancelMessage{Domain: domain, Caller: callerName, ID: id}
	answer, err := s.ask(ctx, domain, message, func(h *holder) (JobAnswer, error) { return h.cancel(ctx, callerName, id) })
	if err == nil && answer.Found {
		return decodeAnswer(answer)
	}
	return s.cancelRow(ctx, domain, callerName, id)
}

// ask asks the holder of a domain, which may be this VM.
func (s *Scheduler) ask(ctx context.Context, domain string, m peer.Message, local func(*holder) (JobAnswer, error)) (JobAnswer, error) {
	if h := s.current(); h != nil && domain == s.opts.Domain {
		return local(h)
	}
	return s.relay(ctx, domain, m)
}

// readJob reads a job's row, ended or not, with its version among those not ended.
func (s *Scheduler) readJob(ctx context.Context, domain, callerName, id string) (*jobRow, int64, error) {
	key := domain + "/" + id
	for _, table := range []string{tableJobs, tableEnded, tableJobs} {
		stored, err := s.opts.Tables.Read(ctx, table, key)
		if err != nil {
			return nil, 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		if stored.Version == store.Absent {
			continue
		}
		row, err := decodeJob(stored.Value)
		if err != nil {
			return nil, 0, err
		}
		if row.Caller != callerName {
			return nil, 0, ErrNotFound
		}
		return &row, stored.Version, nil
	}
	return nil, 0, ErrNotFound
}

// cancelRow writes the wish into the job's row, for a holder that can't be reached.
func (s *Scheduler) cancelRow(ctx context.Context, domain, callerName, id string) (*caller.Job, error) {
	for range submitTries {
		row, version, err := s.readJob(ctx, domain, callerName, id)
		if err != nil {
			return nil, err
		}
		if ended(row.State) || row.CancelRequested {
			return rowView(row), nil
		}
		row.CancelRequested = true
		data, err := row.encode()
		if err != nil {
			return nil, err
		}
		_, err = s.opts.Tables.Commit(ctx,
			store.Put{Table: tableJobs, Key: row.key(), Value: data, Expected: store.Expect(version)},
			store.Put{Table: tableInbox, Key: row.key(), Value: []byte("{}")})
		var conflict *store.ConflictError
		if err == nil {
			return rowView(row), nil
		}
		if !errors.As(err, &conflict) && !errors.Is(err, store.ErrOutcomeUnknown) {
			return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
	}
	return nil, ErrUnavailable
}

// lookup answers for a job that has not ended.
func (h *holder) lookup(callerName, id string) (JobAnswer, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.answer(callerName, id)
}

// answer encodes a job for its caller. The lock must be held.
func (h *holder) answer(callerName, id string) (JobAnswer, error) {
	j := h.jobs[id]
	if j == nil || j.row.Caller != callerName {
		return JobAnswer{Held: true}, nil
	}
	data, err := j.view().MarshalJSON()
	if err != nil {
		return JobAnswer{}, fmt.Errorf("encode job %s: %w", id, err)
	}
	return JobAnswer{Held: true, Found: true, Job: data}, nil
}

// cancel ends a job by its caller's wish, once the wish is written.
func (h *holder) cancel(ctx context.Context, callerName, id string) (JobAnswer, error) {
	h.mu.Lock()
	j := h.jobs[id]
	if j == nil || j.row.Caller != callerName {
		h.mu.Unlock()
		return JobAnswer{Held: true}, nil
	}
	h.requestCancel(j)
	h.mu.Unlock()
	if err := h.waitWritten(ctx, j); err != nil {
		return JobAnswer{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.answer(callerName, id)
}

// waitWritten waits until the recorder wrote the job's changes.
func (h *holder) waitWritten(ctx context.Context, j *job) error {
	for {
		h.mu.Lock()
		wrote, busy := h.wrote, j.dirty || j.writing
		h.mu.Unlock()
		if !busy {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
		case <-wrote:
		}
	}
}

func decodeAnswer(answer JobAnswer) (*caller.Job, error) {
	var job caller.Job
	if err := job.UnmarshalJSON(answer.Job); err != nil {
		return nil, fmt.Errorf("decode the holder's answer: %w", err)
	}
	return &job, nil
}

// domainOf is the failure domain in a job's identifier, DOMAIN-LETTERS.
func domainOf(id string) (string, bool) {
	at := strings.LastIndexByte(id, '-')
	if at <= 0 || strings.ContainsRune(id, '/') {
		return "", false
	}
	return id[:at], true
}
