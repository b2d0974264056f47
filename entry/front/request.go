package front

import (
	"io"
	"time"

	"tanagerstack.org/core/claim"
	"tanagerstack.org/core/policy"
	"tanagerstack.org/core/route"
)

// origin is where a request came to this entry VM from.
type origin int

const (
	// fromCaller: the caller sent it here.
	fromCaller origin = iota
	// fromEntry: an entry VM passed it on to this one as the owner of its claim.
	fromEntry
	// fromOwner: an entry VM passed it on to be placed in this failure domain.
	fromOwner
)

// Request is a service request on its way through the filters.
type Request struct {
	Caller     string
	Service    string
	ID         string
	Class      string
	Idempotent bool
	ArrivedAt  time.Time
	// NotAfter is the end of the window.
	NotAfter time.Time
	Body     []byte

	origin origin
	// version is the policy that the request is judged by.
	version   *policy.Version
	exception string
	// input is the body before the limits filter has read it.
	input      io.Reader
	inputBytes int64
	// acting is whether this VM stands in for the owner of the claim.
	acting bool
	// claim is this VM's claim on a non-idempotent request.
	claim *claim.Claim[Outcome]
	// secured is whether the claim is safe against another dispatch.
	secured bool
	// immediate is whether the request may not wait for a slot here.
	immediate bool
	// mayHaveRun is the outcome of the first try that may have run.
	mayHaveRun *Unknown
	// joined is whether the request repeats another one and gets its outcome.
	joined bool
	// startedAt is when the request was first sent to a target or passed on.
	startedAt time.Time
	// slot and attempt are the present try of the route filter.
	slot    slot
	attempt route.Result
}

// slot is a slot of a target that is taken for a request.
type slot struct {
	target string
	caller string
	lanes  *lanes
	// expected is how long an attempt takes at most, as far as is known.
	expected time.Duration
}

func (r *Request) key() claim.Key { return claim.Key{Caller: r.Caller, ID: r.ID} }

// remaining returns how much of the window is left at now.
func (r *Request) remaining(now time.Time) time.Duration { return r.NotAfter.Sub(now) }

// note remembers that a try may have run.
func (r *Request) note(outcome Outcome) {
	if unknown, ok := outcome.(Unknown); ok && r.mayHaveRun == nil {
		r.mayHaveRun = &unknown
	}
}
