package sched

import (
	"context"
	"crypto/rand"
	"errors"
	"strings"
	"time"

	"tanagerstack.org/core/api/caller"
	"tanagerstack.org/core/store"
)

const (
	// submitTries bounds how often an unconfirmed acceptance is tried again.
	submitTries = 4
	submitPause = 50 * time.Millisecond
	// nudgeTimeout bounds the message to the holder after an acceptance.
	nudgeTimeout = 300 * time.Millisecond
	// identifierLetters is the length of the random part of a job's identifier.
	identifierLetters = 12
	storeRetryAfter   = 2 * time.Second
)

// Submit accepts a job durably. The error is a *RefusedError if the job was not
// accepted, or ErrUnconfirmed if that is not known.
func (s *Scheduler) Submit(ctx context.Context, callerName string, spec *caller.JobSpec) (*caller.Job, error) {
	now := s.opts.Now()
	domain, team, err := s.check(callerName, spec, now)
	if err != nil {
		return nil, err
	}
	row := &jobRow{
		ID:         domain + "-" + strings.ToLower(rand.Text()[:identifierLetters]),
		Caller:     callerName,
		Team:       team,
		Domain:     domain,
		Spec:       *spec,
		State:      caller.JobStateAccepted,
		AcceptedAt: now,
	}
	limits, exception := s.document().Limits(callerName, "", "", now)
	if err := s.checkPending(ctx, row, limits, exception); err != nil {
		return nil, err
	}
	existing, version, err := s.insert(ctx, row)
	if err != nil {
		return nil, err
	}
	if existing != "" {
		return s.Get(ctx, callerName, existing)
	}
	s.nudge(ctx, row, version)
	return rowView(row), nil
}

// keyOf is the row that makes an acceptance happen at most once: the caller's
// key, or the job itself where the caller named none.
func (r *jobRow) keyOf() string {
	if r.Spec.Key.Value != "" {
		return "key/" + r.Caller + "/" + r.Spec.Key.Value
	}
	return "job/" + r.ID
}

// insert commits the rows of a new job. It returns the identifier of an earlier
// job of the same key, if there is one.
func (s *Scheduler) insert(ctx context.Context, row *jobRow) (string, int64, error) {
	data, err := row.encode()
	if err != nil {
		return "", 0, err
	}
	absent := store.Expect(store.Absent)
	changes := []store.Change{
		store.Put{Table: tableKeys, Key: row.keyOf(), Value: []byte(row.ID), Expected: absent},
		store.Put{Table: tableJobs, Key: row.key(), Value: data, Expected: absent},
		store.Put{Table: tableInbox, Key: row.key(), Value: []byte("{}")},
	}
	unsettled := false
	for range submitTries {
		version, err := s.opts.Tables.Commit(ctx, changes...)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			return "", version, nil
		case errors.As(err, &conflict):
			id, version, err := s.settle(ctx, row)
			if err == nil || !errors.Is(err, store.ErrUnavailable) {
				return id, version, err
			}
			unsettled = true
		case errors.Is(err, store.ErrOutcomeUnknown):
			unsettled = true
		case !unsettled:
			return "", 0, refusedByStore(s.opts.Now(), err)
		}
		if !pause(ctx, submitPause) {
			break
		}
	}
	return "", 0, ErrUnconfirmed
}

// settle reads which job the key belongs to: this one if an unconfirmed write
// took effect.
func (s *Scheduler) settle(ctx context.Context, row *jobRow) (string, int64, error) {
	key, err := s.opts.Tables.Read(ctx, tableKeys, row.keyOf())
	if err != nil {
		return "", 0, err
	}
	if id := string(key.Value); id != row.ID {
		return id, 0, nil
	}
	return "", key.Version, nil
}

func refusedByStore(now time.Time, err error) error {
	return &RefusedError{
		Reason:  ReasonStoreDown,
		Detail:  "the job could not be stored and was not accepted: " + err.Error(),
		RetryAt: now.Add(storeRetryAfter),
	}
}

// nudge tells the holder of the job's domain. If that fails, the holder finds
// the job in its inbox.
func (s *Scheduler) nudge(ctx context.Context, row *jobRow, version int64) {
	data, err := row.encode()
	if err != nil {
		return
	}
	if h := s.current(); h != nil && row.Domain == s.opts.Domain {
		_ = h.accept(data, version)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, nudgeTimeout)
	defer cancel()
	_, _ = s.relay(ctx, row.Domain, NudgeMessage{Domain: row.Domain, Row: data, Version: version})
}

// pause waits, and reports whether ctx is still open.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
