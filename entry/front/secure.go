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
	// storeShare is the share of the remaining window that one call to the
	// tables may take, so that the claim can still be held in memory.
	storeShare = 0.25
	// storeTimeout bounds one call to the tables on the way of a request.
	storeTimeout = time.Second
)

// secure makes the claim of a request safe against another dispatch. It returns
// nil if the request may be sent now, and its outcome if not.
func (f *claims) secure(ctx context.Context, r *Request) Outcome {
	if r.claim == nil || r.secured {
		return nil
	}
	outcome := f.secureOnce(ctx, r)
	r.secured = outcome == nil
	return outcome
}

func (f *claims) secureOnce(ctx context.Context, r *Request) Outcome {
	if !f.tables.Reachable() {
		return f.secureInMemory(ctx, r)
	}
	if !f.synced.Load() && !f.remembers() {
		return unavailable(reasonMemory, f.retryAt(),
			"entry VM %s has just started and not yet learned which claims are held", f.place.Name)
	}
	return f.secureInTables(ctx, r)
}

// secureInTables inserts the claim's row if it is absent.
func (f *claims) secureInTables(ctx context.Context, r *Request) Outcome {
	bounded, cancel := f.boundStore(ctx, r)
	defer cancel()
	started := f.now()
	version, err := f.insert(bounded, r.claim, store.Absent)
	f.storeTime.observe(f.now().Sub(started))
	var conflict *store.ConflictError
	switch {
	case err == nil:
		f.book.SetSent(r.claim, version)
		return nil
	case errors.As(err, &conflict) && len(conflict.Rows) > 0:
		return f.settle(ctx, r, conflict.Rows[0])
	case errors.Is(err, store.ErrOutcomeUnknown):
		return f.settleByReading(ctx, r)
	default:
		return f.secureInMemory(ctx, r)
	}
}

// insert writes the claim's row over a row of the expected version. It returns
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

// settleByReading finds out whether an insert took effect whose answer was lost.
func (f *claims) settleByReading(ctx context.Context, r *Request) Outcome {
	bounded, cancel := f.boundStore(ctx, r)
	defer cancel()
	row, err := f.tables.Read(bounded, claim.Table, r.claim.Key.String())
	if err != nil {
		return f.secureInMemory(ctx, r)
	}
	if row.Version == store.Absent {
		return f.insertAgain(ctx, r, store.Absent)
	}
	return f.settle(ctx, r, row)
}

// settle decides about a request whose key has a row.
func (f *claims) settle(ctx context.Context, r *Request, row store.Row) Outcome {
	if row.Version == store.Absent {
		return f.insertAgain(ctx, r, store.Absent)
	}
	present, err := claim.DecodeRow(row.Value)
	switch {
	case err != nil:
		return Unknown{Detail: err.Error()}
	case present.Nonce == r.claim.Nonce:
		f.book.SetSent(r.claim, row.Version)
		return nil
	case f.now().After(present.KeepUntil), f.ours(present.Nonce):
		// An old row, or one of a request of this process that was refused: had
		// it run, the book would know it.
		return f.insertAgain(ctx, r, row.Version)
	case present.Digest != r.claim.Digest:
		return reused(r)
	case present.Owner == f.place.Name:
		return Unknown{Detail: "an earlier process of this entry VM claimed the request"}
	default:
		return f.ask(ctx, r, present.Owner)
	}
}

// insertAgain is the second and last try to write the row.
func (f *claims) insertAgain(ctx context.Context, r *Request, expected int64) Outcome {
	bounded, cancel := f.boundStore(ctx, r)
	defer cancel()
	version, err := f.insert(bounded, r.claim, expected)
	if err != nil {
		return unavailable("claim-unsettled", f.now(), "the claim could not be written: %s", err)
	}
	f.book.SetSent(r.claim, version)
	return nil
}

// secureInMemory holds the claim here and on the replica while the tables do
// not answer.
func (f *claims) secureInMemory(ctx context.Context, r *Request) Outcome {
	if r.acting {
		return unavailable("claim-owner-unreachable", f.now().Add(time.Second),
			"neither the owner of the claim nor the table service can be reached")
	}
	if !f.remembers() {
		return unavailable(reasonMemory, f.retryAt(),
			"the table service cannot be reached and entry VM %s started less than one longest window ago", f.place.Name)
	}
	replica, ok := f.replica(r.claim.Key)
	if !ok {
		return unavailable("claim-no-replica", f.now().Add(time.Second),
			"the table service cannot be reached and failure domain %s has no second entry VM", f.place.Domain)
	}
	held, err := f.relay.hold(ctx, r.claim, replica)
	switch {
	case err != nil:
		return unavailable("claim-no-replica", f.now().Add(time.Second),
			"the table service cannot be reached and the claim could not be held by %s: %s", replica.Name, err)
	case !held.Accepted && held.Owner == f.place.Name:
		return Unknown{Detail: "an earlier process of this entry VM claimed the request"}
	case !held.Accepted:
		return f.ask(ctx, r, held.Owner)
	}
	f.metrics.memoryClaims.Add(1)
	f.book.SetSent(r.claim, 0)
	return nil
}

// replica returns the second entry VM in the key's order. This VM is the first.
func (f *claims) replica(key claim.Key) (roster.VM, bool) {
	order := claim.Order(f.roster(), f.place.Domain, key)
	if len(order) < 2 || order[0].Name != f.place.Name {
		return roster.VM{}, false
	}
	return order[1], true
}

// withdraw undoes the claim of a request that did not run.
func (f *claims) withdraw(ctx context.Context, r *Request, refused Refused) {
	version, held := f.book.Drop(r.claim, refused)
	if version != 0 {
		f.rows.add(claim.StoredRow{Key: r.claim.Key, Version: version})
	}
	if replica, ok := f.replica(r.claim.Key); held && ok {
		f.relay.release(context.WithoutCancel(ctx), r.claim, replica)
	}
}

func (f *claims) boundStore(ctx context.Context, r *Request) (context.Context, context.CancelFunc) {
	share := time.Duration(storeShare * float64(r.remaining(f.now())))
	return context.WithTimeout(ctx, min(share, storeTimeout))
}

// retryAt is when this process will remember all claims.
func (f *claims) retryAt() time.Time {
	return f.startedAt.Add(f.longestWindow() + f.clockSkew)
}
