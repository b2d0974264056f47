package front

import (
	"context"
	"sync"
	"time"

	"tanagerstack.org/core/policy"
	"tanagerstack.org/core/roster"
	"tanagerstack.org/core/route"
)

const (
	// attemptShare is the share of the remaining window that an attempt may use if
	// another attempt is allowed after it.
	attemptShare = 0.5
	// minAttemptFactor is the minimum time of an attempt, as a multiple of its expected
	// duration.
	minAttemptFactor = 2
)

// router is the last filter. It takes a slot, dispatches the request, and retries on other
// targets and entry VMs where that is safe.
type router struct {
	location  route.Location
	roster    func() *roster.View
	now       func() time.Time
	forwarder *forwarder

	mu    sync.Mutex
	pools map[string]*pool

	budgetMu sync.Mutex
	budget   route.RetryBudget
}

// Apply implements Filter.
func (f *router) Apply(ctx context.Context, r *Request, next Next) Outcome {
	outcome := f.runAttempts(ctx, r, next)
	if refused, ok := outcome.(Refused); ok && r.mayHaveRun != nil {
		// The last attempt was refused, but an earlier one may have run.
		return Unknown{Detail: r.mayHaveRun.Detail + "; another try was refused: " + refused.Detail}
	}
	return outcome
}

// runAttempts dispatches the request until it completes, may not be retried, or no slot
// is available.
func (f *router) runAttempts(ctx context.Context, r *Request, next Next) Outcome {
	f.addFirstAttempt(r.version.Document.Retry)
	var query route.Query
	query.AvoidProbation = !r.Idempotent
	var last Outcome
	for attempt := 1; ; attempt++ {
		p := f.pool(r.Service)
		taken, free := p.tryAcquire(r, query)
		if !free && attempt == 1 {
			if outcome := f.forwardToNeighbor(ctx, r); outcome != nil {
				return outcome
			}
		}
		var refused *Refused
		if !free {
			taken, refused = f.awaitSlot(ctx, r, p, query)
		}
		if refused != nil {
			return f.forwardOrRefuse(ctx, r, last, *refused)
		}
		r.slot = taken
		last = f.dispatchOnce(ctx, r, next, attempt)
		p.finish(taken, r.attemptResult)
		r.recordUnknown(last)
		if !f.mayRetry(r, last, attempt) {
			return last
		}
		query.Avoid = append(query.Avoid, taken.target)
	}
}

// forwardToNeighbor forwards a request that would have to wait for a slot here to an entry
// VM of the same failure domain with a free slot. It returns nil if none accepts it.
func (f *router) forwardToNeighbor(ctx context.Context, r *Request) Outcome {
	if r.origin == forwardedForRoute {
		return nil
	}
	forwarded := *r
	forwarded.noWait = true
	outcome := f.forwarder.forwardToFirst(ctx, &forwarded, f.forwarder.sameDomainCandidates(r))
	r.claimSecured, r.startedAt, r.mayHaveRun = forwarded.claimSecured, forwarded.startedAt, forwarded.mayHaveRun
	if _, refused := outcome.(Refused); refused {
		return nil
	}
	return outcome
}

// awaitSlot waits for a slot. It refuses the request at once if it may not wait.
func (f *router) awaitSlot(ctx context.Context, r *Request, p *pool, query route.Query) (slot, *Refused) {
	if r.noWait {
		refused := unavailable("no-free-slot", f.now(), "entry VM %s has no slot free right now", f.location.Name)
		return slot{}, &refused
	}
	return p.acquire(ctx, r, query)
}

// dispatchOnce dispatches the request once. If the request is idempotent and the policy
// allows another attempt, the deadline leaves part of the window for it.
func (f *router) dispatchOnce(ctx context.Context, r *Request, next Next, attempt int) Outcome {
	deadline := r.NotAfter
	if r.Idempotent && attempt < r.version.Document.Retry.Attempts {
		now := f.now()
		length := max(time.Duration(attemptShare*float64(r.remaining(now))), minAttemptFactor*r.slot.expected)
		deadline = earlier(deadline, now.Add(length))
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	return next(ctx, r)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// mayRetry reports whether the request may be sent to another target after an attempt. A
// request that provably did not run may be retried, one that may have run only if it is
// idempotent. Both need time left in the window, attempts left under the policy and a
// retry left in the budget.
func (f *router) mayRetry(r *Request, last Outcome, attempt int) bool {
	switch r.attemptResult.(type) {
	case route.NotSent, route.Rejected:
	case route.Failed, route.Lost:
		if !r.Idempotent {
			return false
		}
	default:
		return false
	}
	if _, done := last.(Completed); done {
		return false
	}
	if attempt >= r.version.Document.Retry.Attempts || r.remaining(f.now()) <= 0 {
		return false
	}
	return f.takeRetry()
}

// forwardOrRefuse forwards the request to other entry VMs that may have a slot. If none
// received it, the outcome is that of the last attempt, or refused if there was none.
func (f *router) forwardOrRefuse(ctx context.Context, r *Request, last Outcome, refused Refused) Outcome {
	if r.origin == forwardedForRoute || ctx.Err() != nil {
		return outcomeOr(last, refused)
	}
	if outcome := f.forwarder.forwardToCandidates(ctx, r); outcome != nil {
		return outcome
	}
	return outcomeOr(last, refused)
}

// outcomeOr returns last, or refused if last is nil.
func outcomeOr(last Outcome, refused Refused) Outcome {
	if last != nil {
		return last
	}
	return refused
}

// pool returns the pool of a service. It creates the pool on first use.
func (f *router) pool(service string) *pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pools[service]
	if p == nil {
		p = newPool(service, f.location, f.roster, f.now)
		f.pools[service] = p
	}
	return p
}

// allPools returns the pools of all services, in no particular order.
func (f *router) allPools() []*pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	pools := make([]*pool, 0, len(f.pools))
	for _, p := range f.pools {
		pools = append(pools, p)
	}
	return pools
}

// addFirstAttempt credits the retry budget for a new request.
func (f *router) addFirstAttempt(p policy.Retry) {
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	f.budget.AddFirstAttempt(p.Ratio)
}

// takeRetry takes a retry from the budget. It returns false if none is left.
func (f *router) takeRetry() bool {
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	return f.budget.TakeRetry()
}
