package oper

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"

	"tanagerstack.org/core/policy"
	"tanagerstack.org/core/store"
)

// confirmTimeout limits a change, from reading the policy head to the confirmation of its write.
const confirmTimeout = 5 * time.Second

// policyStore reads and writes policy versions in the platform's tables.
type policyStore struct {
	tables store.Tables
	active *policy.ActiveVersion
	now    func() time.Time
}

// policyChange is a policy version that an operator wants to apply.
type policyChange struct {
	// expectedVersion is the number of the version that the operator started from; 0 if there was
	// none.
	expectedVersion int64
	author          string
	reason          string
	text            string
}

// headRow is the policy head with the version of its row in the tables.
type headRow struct {
	policy.Head
	rowVersion int64
}

// apply writes a new version and returns it. The error is a *policy.InvalidError, *FieldError or
// *VersionConflictError, or wraps ErrTablesUnavailable or ErrUnconfirmed.
func (c *policyStore) apply(ctx context.Context, ch policyChange) (*policy.Version, error) {
	doc, err := ch.validate()
	if err != nil {
		return nil, err
	}
	// If the caller disconnects, the change still runs until its outcome is known.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout)
	defer cancel()
	head, err := c.readHead(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTablesUnavailable, err)
	}
	if head.Number != ch.expectedVersion {
		return nil, c.conflictError(ctx, ch.expectedVersion, head.Number)
	}
	v := &policy.Version{
		Number:    head.Number + 1,
		ID:        rand.Text(),
		Author:    ch.author,
		Reason:    strings.TrimSpace(ch.reason),
		AppliedAt: c.now().UTC(),
		Text:      ch.text,
		Document:  doc,
	}
	if err := c.commit(ctx, head, v); err != nil {
		return nil, err
	}
	return v, nil
}

// validate checks the change and decodes its document. The error is a *FieldError or a
// *policy.InvalidError.
func (ch *policyChange) validate() (*policy.Document, error) {
	if err := policy.CheckReason(ch.reason); err != nil {
		return nil, &FieldError{Field: "reason", Detail: err.Error(), Accepted: policy.AcceptedReason}
	}
	if strings.TrimSpace(ch.author) == "" {
		return nil, &FieldError{Field: "author", Detail: "is empty", Accepted: "who answers for the change"}
	}
	return policy.Decode(ch.text)
}

// commit writes the head and the version's row in one transaction. If the response is lost, it
// repeats the write for up to confirmTimeout: the repeated write either succeeds, because the first
// had no effect, or conflicts. After a conflict, the row of the version shows which write succeeded.
func (c *policyStore) commit(ctx context.Context, head headRow, v *policy.Version) error {
	changes, err := encodeChanges(head, v)
	if err != nil {
		return err
	}
	outcomeUnknown := false
	attempt := func() (struct{}, error) {
		_, err := c.tables.Commit(ctx, changes...)
		switch {
		case err == nil:
			return struct{}{}, nil
		case errors.Is(err, store.ErrOutcomeUnknown):
			outcomeUnknown = true
			return struct{}{}, err
		case errors.Is(err, store.ErrUnavailable) && outcomeUnknown:
			return struct{}{}, err
		default:
			return struct{}{}, backoff.Permanent(err)
		}
	}
	_, err = backoff.Retry(ctx, attempt, backoff.WithBackOff(commitBackOff()), backoff.WithMaxElapsedTime(confirmTimeout))
	var conflict *store.ConflictError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return c.resolveConflict(ctx, head.Number, v, outcomeUnknown)
	case outcomeUnknown:
		return fmt.Errorf("%w: %w", ErrUnconfirmed, err)
	default:
		return fmt.Errorf("%w: %w", ErrTablesUnavailable, err)
	}
}

// commitBackOff returns the back-off between attempts at a write whose outcome is unknown.
func commitBackOff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 50 * time.Millisecond
	b.MaxInterval = 500 * time.Millisecond
	return b
}

// resolveConflict is called after a write of v conflicted. It returns nil if the conflict was with an
// earlier attempt to write v itself, which therefore succeeded. Otherwise it returns a
// *VersionConflictError, or the error that kept it from finding out.
func (c *policyStore) resolveConflict(ctx context.Context, expected int64, v *policy.Version, outcomeUnknown bool) error {
	written, err := c.readVersion(ctx, v.Number)
	if err == nil && written != nil && written.ID == v.ID {
		return nil
	}
	if err != nil && outcomeUnknown {
		return fmt.Errorf("%w: %w", ErrUnconfirmed, err)
	}
	head, err := c.readHead(ctx)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTablesUnavailable, err)
	}
	return c.conflictError(ctx, expected, head.Number)
}

// conflictError returns a *VersionConflictError with the difference between the expected and the
// current version, or a *FieldError if no version was accepted yet.
func (c *policyStore) conflictError(ctx context.Context, expected, current int64) error {
	if current == 0 {
		return &FieldError{Field: "expected-version", Detail: fmt.Sprintf("is %d, but there is no version yet", expected), Accepted: "0"}
	}
	newest, err := c.readVersion(ctx, current)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTablesUnavailable, err)
	}
	if newest == nil {
		return fmt.Errorf("policy version %d is named by the head but has no row", current)
	}
	before := ""
	if old, err := c.readVersion(ctx, expected); err == nil && old != nil {
		before = old.Text
	}
	return &VersionConflictError{Current: newest, Difference: policy.Diff(before, newest.Text)}
}

// encodeChanges returns the transaction that writes v and points the head to it. It succeeds only if
// the head row is unchanged and the number of v is still free.
func encodeChanges(head headRow, v *policy.Version) ([]store.Change, error) {
	headValue, err := policy.EncodeHead(policy.Head{Number: v.Number, ID: v.ID})
	if err != nil {
		return nil, err
	}
	row, err := policy.EncodeRow(v)
	if err != nil {
		return nil, err
	}
	return []store.Change{
		store.Put{Table: policy.Table, Key: policy.CurrentKey, Value: headValue, Expected: store.Expect(head.rowVersion)},
		store.Put{Table: policy.HistoryTable, Key: policy.HistoryKey(v.Number), Value: row, Expected: store.Expect(store.Absent)},
	}, nil
}

// readHead returns the policy head, with number 0 if no version was accepted yet.
func (c *policyStore) readHead(ctx context.Context) (headRow, error) {
	row, err := c.tables.Read(ctx, policy.Table, policy.CurrentKey)
	if err != nil || row.Version == store.Absent {
		return headRow{}, err
	}
	head, err := policy.DecodeHead(row.Value)
	return headRow{Head: head, rowVersion: row.Version}, err
}

// readVersion returns an accepted version without its decoded document, or nil if it does not exist.
func (c *policyStore) readVersion(ctx context.Context, number int64) (*policy.Version, error) {
	if number <= 0 {
		return nil, nil
	}
	row, err := c.tables.Read(ctx, policy.HistoryTable, policy.HistoryKey(number))
	if err != nil || row.Version == store.Absent {
		return nil, err
	}
	return policy.DecodeRowWithoutDocument(row.Value)
}

// history returns up to limit accepted versions, newest first.
func (c *policyStore) history(ctx context.Context, limit int) ([]*policy.Version, error) {
	head, err := c.readHead(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTablesUnavailable, err)
	}
	var versions []*policy.Version
	for number := head.Number; number > 0 && len(versions) < limit; number-- {
		v, err := c.readVersion(ctx, number)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrTablesUnavailable, err)
		}
		if v != nil {
			versions = append(versions, v)
		}
	}
	return versions, nil
}
