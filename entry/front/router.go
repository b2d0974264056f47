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
	// attemptShare is the share of the remaining window that an attempt may take
	// while another one is allowed after it.
	attemptShare = 0.5
	// patience is how many times the expected duration an attempt gets at least.
	patience = 2
)

// router is the last filter. It takes a slot, has the request dispatched, and
// tries again elsewhere where that is safe.
type router struct {
	place  route.Location
	roster func() *roster.View
	now    func() time.Time
	relay  *relay

	mu    sync.Mutex
	pools map[string]*pool

	budgetMu sync.Mutex
	budget   route.RetryBudget
}

// Apply implements Filter.
func (f *router) Apply(ctx context.Context, r *Request, next Next) Outcome {
	outcome := f.attempts(ctx, r, next)
	if refused, ok := outcome.(Refused); ok && r.mayHaveRun != nil {
		// A later try was refused; an earlier one may have run all the same.
		return Unknown{Detail: r.mayHaveRun.Detail + "; another try was refused: " + refused.Detail}
	}
	return outcome
}

// attempts tries until the request is done, may not be tried again, or nobody
// has a slot for it.
func (f *router) attempts(ctx context.Context, r *Request, next Next) Outcome {
	f.firstTry(r.version.Document.Retry)
	var query route.Query
	query.AvoidProbation = !r.Idempotent
	var last Outcome
	for attempt := 1; ; attempt++ {
		p := f.pool(r.Service)
		taken, free := p.acquireNow(r, query)
		if !free && attempt == 1 {
			if outcome := f.borrow(ctx, r); outcome != nil {
				return outcome
			}
		}
		var refused *Refused
		if !free {
			taken, refused = f.await(ctx, r, p, query)
		}
		if refused != nil {
			return f.elsewhere(ctx, r, last, *refused)
		}
		r.slot = taken
		last = f.try(ctx, r, next, attempt)
		p.finish(taken, r.attempt)
		r.note(last)
		if !f.mayRetry(r, last, attempt) {
			return last
		}
		query.Avoid = append(query.Avoid, taken.target)
	}
}

// borrow passes a request that would have to wait here on to an entry VM of the
// same failure domain that has a slot free. It returns nil if none took it.
func (f *router) borrow(ctx context.Context, r *Request) Outcome {
	if r.origin == fromOwner {
		return nil
	}
	passed := *r
	passed.immediate = true
	outcome := f.relay.placeAmong(ctx, &passed, f.relay.neighbors(r))
	r.secured, r.startedAt, r.mayHaveRun = passed.secured, passed.startedAt, passed.mayHaveRun
	if _, refused := outcome.(Refused); refused {
		return nil
	}
	return outcome
}

// await waits for a slot, unless the request may not.
func (f *router) await(ctx context.Context, r *Request, p *pool, query route.Query) (slot, *Refused) {
	if r.immediate {
		refused := unavailable("no-free-slot", f.now(), "entry VM %s has no slot free right now", f.place.Name)
		return slot{}, &refused
	}
	return p.acquire(ctx, r, query)
}

// try has the request dispatched once.
func (f *router) try(ctx context.Context, r *Request, next Next, attempt int) Outcome {
	deadline := r.NotAfter
	if r.Idempotent && attempt < r.version.Document.Retry.Attempts {
		now := f.now()
		length := max(time.Duration(attemptShare*float64(r.remaining(now))), patience*r.slot.expected)
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

// mayRetry decides whether the request goes to another target after an attempt.
// One that provably did not run may; one that may have run only if it is
// idempotent. Both need time, a policy that allows it and a budget.
func (f *router) mayRetry(r *Request, last Outcome, attempt int) bool {
	switch r.attempt.(type) {
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
	return f.retry()
}

// elsewhere passes the request on to entry VMs that may have a slot for it. It
// returns what the attempts before led to if nobody has.
func (f *router) elsewhere(ctx context.Context, r *Request, last Outcome, refused Refused) Outcome {
	if r.origin == fromOwner || ctx.Err() != nil {
		return firstOf(last, refused)
	}
	if outcome := f.relay.placeElsewhere(ctx, r); outcome != nil {
		return outcome
	}
	return firstOf(last, refused)
}

// firstOf returns the outcome, or the refusal if there is none.
func firstOf(last Outcome, refused Refused) Outcome {
	if last != nil {
		return last
	}
	return refused
}

// pool returns the pool of a service.
func (f *router) pool(service string) *pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pools[service]
	if p == nil {
		p = newPool(service, f.place, f.roster, f.now)
		f.pools[service] = p
	}
	return p
}

// all returns the pools.
func (f *router) all() []*pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	pools := make([]*pool, 0, len(f.pools))
	for _, p := range f.pools {
		pools = append(pools, p)
	}
	return pools
}

func (f *router) firstTry(p policy.Retry) {
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	f.budget.AddFirstAttempt(p.Ratio)
}

func (f *router) retry() bool {
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	return f.budget.TakeRetry()
}
