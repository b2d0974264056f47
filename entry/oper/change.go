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

// settleTimeout bounds how long a change waits to be confirmed.
const settleTimeout = 5 * time.Second

// changer writes new versions of the policy.
type changer struct {
	tables store.Tables
	keeper *policy.ActiveVersion
	now    func() time.Time
}

// change is what an operator asks for.
type change struct {
	// expected is the number of the version that the operator started from; 0
	// if there was none.
	expected int64
	author   string
	reason   string
	text     string
}

// headRow is the head with the version of its row.
type headRow struct {
	policy.Head
	rowVersion int64
}

// apply writes a new version and returns it. The error is a
// *policy.InvalidError, *FieldError or *VersionConflictError, or wraps
// ErrTablesUnavailable or ErrUnconfirmed.
func (c *changer) apply(ctx context.Context, ch change) (*policy.Version, error) {
	doc, err := ch.check()
	if err != nil {
		return nil, err
	}
	// A caller that hangs up does not leave its change half settled.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	head, err := c.readHead(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTablesUnavailable, err)
	}
	if head.Number != ch.expected {
		return nil, c.conflict(ctx, ch.expected, head.Number)
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

func (ch *change) check() (*policy.Document, error) {
	if err := policy.CheckReason(ch.reason); err != nil {
		return nil, &FieldError{Field: "reason", Detail: err.Error(), Accepted: policy.AcceptedReason}
	}
	if strings.TrimSpace(ch.author) == "" {
		return nil, &FieldError{Field: "author", Detail: "is empty", Accepted: "who answers for the change"}
	}
	return policy.Decode(ch.text)
}

// commit writes the head and the version's row in one transaction. A lost
// answer is settled by trying again: the second try either takes effect alone
// or conflicts, and then the row of the version says whose write won.
func (c *changer) commit(ctx context.Context, head headRow, v *policy.Version) error {
	changes, err := encodeChanges(head, v)
	if err != nil {
		return err
	}
	unsettled := false
	attempt := func() (struct{}, error) {
		_, err := c.tables.Commit(ctx, changes...)
		switch {
		case err == nil:
			return struct{}{}, nil
		case errors.Is(err, store.ErrOutcomeUnknown):
			unsettled = true
			return struct{}{}, err
		case errors.Is(err, store.ErrUnavailable) && unsettled:
			return struct{}{}, err
		default:
			return struct{}{}, backoff.Permanent(err)
		}
	}
	_, err = backoff.Retry(ctx, attempt, backoff.WithBackOff(settleBackOff()), backoff.WithMaxElapsedTime(settleTimeout))
	var conflict *store.ConflictError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return c.settle(ctx, head.Number, v, unsettled)
	case unsettled:
		return fmt.Errorf("%w: %w", ErrUnconfirmed, err)
	default:
		return fmt.Errorf("%w: %w", ErrTablesUnavailable, err)
	}
}

func settleBackOff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 50 * time.Millisecond
	b.MaxInterval = 500 * time.Millisecond
	return b
}

// settle is called after a conflict and finds out whether an earlier try of
// the same change was what it conflicted with.
func (c *changer) settle(ctx context.Context, expected int64, v *policy.Version, unsettled bool) error {
	written, err := c.readVersion(ctx, v.Number)
	if err == nil && written != nil && written.ID == v.ID {
		return nil
	}
	if err != nil && unsettled {
		return fmt.Errorf("%w: %w", ErrUnconfirmed, err)
	}
	head, err := c.readHead(ctx)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTablesUnavailable, err)
	}
	return c.conflict(ctx, expected, head.Number)
}

// conflict describes what was accepted since the expected version.
func (c *changer) conflict(ctx context.Context, expected, current int64) error {
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

// readHead returns the head, with number 0 if no version was ever accepted.
func (c *changer) readHead(ctx context.Context) (headRow, error) {
	row, err := c.tables.Read(ctx, policy.Table, policy.CurrentKey)
	if err != nil || row.Version == store.Absent {
		return headRow{}, err
	}
	head, err := policy.DecodeHead(row.Value)
	return headRow{Head: head, rowVersion: row.Version}, err
}

// readVersion returns an accepted version without its document, or nil.
func (c *changer) readVersion(ctx context.Context, number int64) (*policy.Version, error) {
	if number <= 0 {
		return nil, nil
	}
	row, err := c.tables.Read(ctx, policy.HistoryTable, policy.HistoryKey(number))
	if err != nil || row.Version == store.Absent {
		return nil, err
	}
	return policy.DecodeRowWithoutDocument(row.Value)
}

// history returns up to limit versions, newest first.
func (c *changer) history(ctx context.Context, limit int) ([]*policy.Version, error) {
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
