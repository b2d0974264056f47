package front

import (
	"context"
	"errors"
	"time"

	"tanagerstack.org/core/claim"
	"tanagerstack.org/core/roster"
	"tanagerstack.org/core/store"
)

const (
	// storeShare is the share of the remaining window that one call to the tables may
	// use. The rest leaves time to hold the claim in memory if the call fails.
	storeShare = 0.25
	// storeTimeout limits one call to the tables during a request.
	storeTimeout = time.Second
)

// secure records the claim of a request so that no other VM can dispatch the request. It
// returns nil if the request may be sent now, and its outcome otherwise.
func (f *claims) secure(ctx context.Context, r *Request) Outcome {
	if r.claim == nil || r.claimSecured {
		return nil
	}
	outcome := f.secureOnce(ctx, r)
	r.claimSecured = outcome == nil
	return outcome
}

// secureOnce secures the claim in the tables, or in memory if they are unreachable.
func (f *claims) secureOnce(ctx context.Context, r *Request) Outcome {
	if !f.tables.Reachable() {
		return f.secureInMemory(ctx, r)
	}
	if !f.synced.Load() && !f.memoryComplete() {
		return unavailable(reasonMemory, f.memoryCompleteAt(),
			"entry VM %s has just started and not yet learned which claims are held", f.location.Name)
	}
	return f.secureInTables(ctx, r)
}

// secureInTables inserts the claim's row if the key has none. If the tables do not
// respond, the claim is held in memory instead.
func (f *claims) secureInTables(ctx context.Context, r *Request) Outcome {
	storeCtx, cancel := f.storeContext(ctx, r)
	defer cancel()
	started := f.now()
	version, err := f.insert(storeCtx, r.claim, store.Absent)
	f.insertTime.observe(f.now().Sub(started))
	var conflict *store.ConflictError
	switch {
	case err == nil:
		f.book.SetSent(r.claim, version)
		return nil
	case errors.As(err, &conflict) && len(conflict.Rows) > 0:
		return f.resolveConflict(ctx, r, conflict.Rows[0])
	case errors.Is(err, store.ErrOutcomeUnknown):
		return f.resolveByReading(ctx, r)
	default:
		return f.secureInMemory(ctx, r)
	}
}

// insert writes the claim's row if the present row has the expected version. It returns
// the version of the new row.
func (f *claims) insert(ctx context.Context, c *claim.Claim[Outcome], expected int64) (int64, error) {
	value, err := claim.Row{Owner: c.Owner, Nonce: c.Nonce, Digest: c.Digest, KeepUntil: c.KeepUntil}.Encode()
	if err != nil {
		return 0, err
	}
	return f.tables.Commit(ctx, store.Put{
		Table:    claim.Table,
		Key:      c.Key.String(),
		Value:    value,
		Expected: store.Expect(expected),
	})
}

// resolveByReading reads the row after an insert whose result is unknown, to find out
// whether the insert took effect.
func (f *claims) resolveByReading(ctx context.Context, r *Request) Outcome {
	storeCtx, cancel := f.storeContext(ctx, r)
	defer cancel()
	row, err := f.tables.Read(storeCtx, claim.Table, r.claim.Key.String())
	if err != nil {
		return f.secureInMemory(ctx, r)
	}
	if row.Version == store.Absent {
		return f.retryInsert(ctx, r, store.Absent)
	}
	return f.resolveConflict(ctx, r, row)
}

// resolveConflict decides what happens to a request whose key already has a row. It returns
// nil if the request may be sent.
func (f *claims) resolveConflict(ctx context.Context, r *Request, row store.Row) Outcome {
	if row.Version == store.Absent {
		return f.retryInsert(ctx, r, store.Absent)
	}
	existing, err := claim.DecodeRow(row.Value)
	switch {
	case err != nil:
		return Unknown{Detail: err.Error()}
	case existing.Nonce == r.claim.Nonce:
		f.book.SetSent(r.claim, row.Version)
		return nil
	case f.now().After(existing.KeepUntil), f.isOwnNonce(existing.Nonce):
		// The row has expired, or belongs to an earlier request of this process that
		// was refused: if that request had run, the book would contain its claim.
		return f.retryInsert(ctx, r, row.Version)
	case existing.Digest != r.claim.Digest:
		return reusedIDRefusal(r)
	case existing.Owner == f.location.Name:
		return Unknown{Detail: "an earlier process of this entry VM claimed the request"}
	default:
		return f.lookupOutcome(ctx, r, existing.Owner)
	}
}

// retryInsert makes the second and last attempt to write the row.
func (f *claims) retryInsert(ctx context.Context, r *Request, expected int64) Outcome {
	storeCtx, cancel := f.storeContext(ctx, r)
	defer cancel()
	version, err := f.insert(storeCtx, r.claim, expected)
	if err != nil {
		return unavailable("claim-unsettled", f.now(), "the claim could not be written: %s", err)
	}
	f.book.SetSent(r.claim, version)
	return nil
}

// secureInMemory holds the claim on this VM and on the replica while the tables do not
// respond.
func (f *claims) secureInMemory(ctx context.Context, r *Request) Outcome {
	if r.actingOwner {
		return unavailable("claim-owner-unreachable", f.now().Add(time.Second),
			"neither the owner of the claim nor the table service can be reached")
	}
	if !f.memoryComplete() {
		return unavailable(reasonMemory, f.memoryCompleteAt(),
			"the table service cannot be reached and entry VM %s started less than one longest window ago", f.location.Name)
	}
	replica, ok := f.replica(r.claim.Key)
	if !ok {
		return unavailable("claim-no-replica", f.now().Add(time.Second),
			"the table service cannot be reached and failure domain %s has no second entry VM", f.location.Domain)
	}
	held, err := f.forwarder.hold(ctx, r.claim, replica)
	switch {
	case err != nil:
		return unavailable("claim-no-replica", f.now().Add(time.Second),
			"the table service cannot be reached and the claim could not be held by %s: %s", replica.Name, err)
	case !held.Accepted && held.Owner == f.location.Name:
		return Unknown{Detail: "an earlier process of this entry VM claimed the request"}
	case !held.Accepted:
		return f.lookupOutcome(ctx, r, held.Owner)
	}
	f.metrics.memoryClaims.Add(1)
	f.book.SetSent(r.claim, 0)
	return nil
}

// replica returns the second entry VM in the key's order. It returns false if there is
// none or if this VM is not the first.
func (f *claims) replica(key claim.Key) (roster.VM, bool) {
	order := claim.Order(f.roster(), f.location.Domain, key)
	if len(order) < 2 || order[0].Name != f.location.Name {
		return roster.VM{}, false
	}
	return order[1], true
}

// withdraw removes the claim of a request that did not run.
func (f *claims) withdraw(ctx context.Context, r *Request, refused Refused) {
	version, held := f.book.Drop(r.claim, refused)
	if version != 0 {
		f.obsoleteRows.add(claim.StoredRow{Key: r.claim.Key, Version: version})
	}
	if replica, ok := f.replica(r.claim.Key); held && ok {
		f.forwarder.release(context.WithoutCancel(ctx), r.claim, replica)
	}
}

// storeContext returns a context that limits one call to the tables.
func (f *claims) storeContext(ctx context.Context, r *Request) (context.Context, context.CancelFunc) {
	share := time.Duration(storeShare * float64(r.remaining(f.now())))
	return context.WithTimeout(ctx, min(share, storeTimeout))
}

// memoryCompleteAt returns the time from which memoryComplete holds.
func (f *claims) memoryCompleteAt() time.Time {
	return f.startedAt.Add(f.longestWindow() + f.clockSkew)
}
