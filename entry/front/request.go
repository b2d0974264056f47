package front

import (
	"io"
	"time"

	"tanagerstack.org/core/claim"
	"tanagerstack.org/core/policy"
	"tanagerstack.org/core/route"
)

// origin tells how a request reached this entry VM.
type origin int

const (
	// fromCaller: the caller sent it.
	fromCaller origin = iota
	// forwardedForClaim: another entry VM forwarded it to this one as the owner of its
	// claim, or as the replica if actingOwner is set.
	forwardedForClaim
	// forwardedForRoute: another entry VM forwarded it to run on a slot of this VM.
	forwardedForRoute
)

// Request is a service request in the filter chain.
type Request struct {
	Caller     string
	Service    string
	ID         string
	Class      string
	Idempotent bool
	ArrivedAt  time.Time
	// NotAfter is the end of the request's window. Before the window filter it is zero
	// if the caller set none.
	NotAfter time.Time
	Body     []byte

	origin origin
	// version is the policy version that applies to the request.
	version *policy.Version
	// exception is the policy exception that sets the request's limits, if any.
	exception string
	// bodyReader is the unread body. It is nil once the limits filter has read it.
	bodyReader io.Reader
	// declaredBytes is the Content-Length, or -1 if unknown.
	declaredBytes int64
	// actingOwner is whether the replica handles the request in place of the owner of
	// the claim.
	actingOwner bool
	// claim is this VM's claim on a non-idempotent request.
	claim *claim.Claim[Outcome]
	// claimSecured is whether the claim is recorded, in the tables or on the replica,
	// so that no other VM can dispatch the request.
	claimSecured bool
	// noWait is whether the request is refused unless a slot is free.
	noWait bool
	// mayHaveRun is the outcome of the first attempt that may have run, or nil.
	mayHaveRun *Unknown
	// duplicate is whether the request repeats an earlier one and gets its outcome.
	duplicate bool
	// startedAt is when the request was first sent to a target or forwarded.
	startedAt time.Time
	// slot and attemptResult belong to the current attempt of the route filter.
	slot          slot
	attemptResult route.Result
}

// slot is a slot of a target that was taken for a request.
type slot struct {
	target string
	caller string
	conns  *targetConns
	// expected is the expected maximum duration of an attempt.
	expected time.Duration
}

func (r *Request) key() claim.Key { return claim.Key{Caller: r.Caller, ID: r.ID} }

// remaining returns the rest of the window at now. It is negative after its end.
func (r *Request) remaining(now time.Time) time.Duration { return r.NotAfter.Sub(now) }

// recordUnknown sets mayHaveRun to the outcome if it is the first one that is Unknown.
func (r *Request) recordUnknown(outcome Outcome) {
	if unknown, ok := outcome.(Unknown); ok && r.mayHaveRun == nil {
		r.mayHaveRun = &unknown
	}
}
