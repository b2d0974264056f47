package front

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"tanagerstack.org/core/claim"
	"tanagerstack.org/core/peer"
	"tanagerstack.org/core/policy"
	"tanagerstack.org/core/roster"
	"tanagerstack.org/core/route"
)

const (
	// reasonUnreachable: the owner of the claim did not get the message.
	reasonUnreachable = "claim-owner-unreachable"
	// placesTried bounds the entry VMs that one request is passed on to.
	placesTried = 3
	// holdTimeout bounds the messages about claims.
	holdTimeout = 500 * time.Millisecond
	// openTimeout bounds the search for a live connection to an entry VM. Until
	// it ends nothing was sent, so that another VM may get the request.
	openTimeout = 250 * time.Millisecond
	// downFor is how long an entry VM that could not be reached is left alone.
	downFor = 500 * time.Millisecond
	// fullFor is how long an entry VM that refused a request is left alone.
	fullFor = 100 * time.Millisecond
)

// relay passes requests and claims on to other entry VMs.
type relay struct {
	place   route.Location
	peers   *peer.Node
	policy  *policy.ActiveVersion
	roster  func() *roster.View
	now     func() time.Time
	metrics *metrics
	claims  *claims
	// retry takes a retry from the budget.
	retry func() bool

	mu sync.Mutex
	// bytes is the budget for traffic to other regions.
	bytes *rate.Limiter
	// full has, by entry VM and service, until when a VM that refused a request
	// for want of slots gets no other one.
	full map[string]time.Time
}

// call sends a message to an entry VM and waits for the answer.
func call[A any](ctx context.Context, f *relay, vm roster.VM, q peer.Message) (A, error) {
	if f.peers == nil {
		var none A
		return none, fmt.Errorf("message to %s: %w", vm.Name, peer.ErrNotSent)
	}
	return peer.Call[A](peer.WithConnectTimeout(ctx, openTimeout), f.peers, peer.Address{Name: vm.Name, Addr: vm.PeerAddress}, q)
}

// notHandled reports whether an error proves that the peer did nothing.
func notHandled(err error) bool {
	var remote *peer.RemoteError
	if errors.As(err, &remote) {
		return !remote.Handled()
	}
	return errors.Is(err, peer.ErrNotSent)
}

// pass sends the request to another entry VM and returns its outcome there, or
// an error that proves that nothing was done with it.
func (f *relay) pass(ctx context.Context, r *Request, vm roster.VM, stage string) (Outcome, error) {
	ctx, cancel := context.WithDeadline(ctx, r.NotAfter)
	defer cancel()
	f.metrics.passed.Add(1)
	if r.startedAt.IsZero() {
		r.startedAt = f.now()
	}
	result, err := call[Result](ctx, f, vm, Pass{
		Stage:      stage,
		Caller:     r.Caller,
		Service:    r.Service,
		ID:         r.ID,
		Class:      r.Class,
		Idempotent: r.Idempotent,
		NotAfter:   r.NotAfter,
		Body:       r.Body,
		Acting:     r.acting,
		Immediate:  r.immediate,
	})
	if err == nil || !notHandled(err) {
		f.charge(vm, len(r.Body)+len(result.Body))
	}
	switch {
	case err == nil:
		return result.outcome(), nil
	case notHandled(err):
		return nil, err
	default:
		return Unknown{Detail: fmt.Sprintf("entry VM %s: %s", vm.Name, err)}, nil
	}
}

// toClaimant brings the request to an entry VM that keeps the claim on it.
func (f *relay) toClaimant(ctx context.Context, r *Request, vm roster.VM) Outcome {
	if f.isFull(vm.Name, anyService) {
		return unavailable(reasonUnreachable, f.now().Add(downFor),
			"entry VM %s keeps the claim on this request and could not be reached a moment ago", vm.Name)
	}
	outcome, err := f.pass(context.WithoutCancel(ctx), r, vm, stageOwn)
	if err != nil {
		f.leaveAlone(vm.Name, anyService, downFor)
		return unavailable(reasonUnreachable, f.now().Add(time.Second),
			"entry VM %s keeps the claim on this request and cannot be reached: %s", vm.Name, err)
	}
	return outcome
}

// placeElsewhere passes the request on to where the service has targets. It returns nil
// if no entry VM could take it.
func (f *relay) placeElsewhere(ctx context.Context, r *Request) Outcome {
	return f.placeAmong(ctx, r, route.ForwardCandidates(f.roster(), f.place, r.Service, r.ID, f.now()))
}

// neighbors returns the entry VMs of the own failure domain that may have a slot.
func (f *relay) neighbors(r *Request) []roster.VM {
	elsewhere := route.ForwardCandidates(f.roster(), f.place, r.Service, r.ID, f.now())
	return slices.DeleteFunc(elsewhere, func(vm roster.VM) bool { return vm.Domain != f.place.Domain })
}

// placeAmong passes the request on to the first of the candidates that takes it.
func (f *relay) placeAmong(ctx context.Context, r *Request, candidates []roster.VM) Outcome {
	var refused Outcome
	tried := 0
	for _, vm := range candidates {
		if f.isFull(vm.Name, r.Service) || f.isFull(vm.Name, anyService) {
			continue
		}
		if tried++; tried > placesTried {
			break
		}
		if vm.Region != f.place.Region && !f.affords(r) {
			break
		}
		if outcome := f.claims.secure(ctx, r); outcome != nil {
			return outcome
		}
		outcome, err := f.pass(ctx, r, vm, stagePlace)
		if err != nil {
			f.leaveAlone(vm.Name, anyService, downFor)
			continue
		}
		r.note(outcome)
		if _, again := outcome.(Refused); again {
			f.leaveAlone(vm.Name, r.Service, fullFor)
		} else if !f.again(r, outcome) {
			return outcome
		}
		refused = outcome
	}
	return refused
}

// anyService stands for all services of an entry VM that cannot be reached.
const anyService = ""

// isFull reports whether an entry VM is to be left alone for a service.
func (f *relay) isFull(vm, service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now().Before(f.full[vm+"/"+service])
}

// leaveAlone keeps requests for a service away from an entry VM for a while.
func (f *relay) leaveAlone(vm, service string, length time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.full == nil {
		f.full = make(map[string]time.Time)
	}
	f.full[vm+"/"+service] = f.now().Add(length)
}

// again reports whether an idempotent request may go on to the next entry VM
// although the last one may have run it.
func (f *relay) again(r *Request, outcome Outcome) bool {
	_, unknown := outcome.(Unknown)
	return unknown && r.Idempotent && f.retry()
}

// lookup asks for the outcome of a request that another entry VM has claimed.
func (f *relay) lookup(ctx context.Context, r *Request, vm roster.VM) Outcome {
	ctx, cancel := context.WithDeadline(ctx, r.NotAfter)
	defer cancel()
	result, err := call[Result](ctx, f, vm, Lookup{Key: r.key(), NotAfter: r.NotAfter})
	if err != nil {
		return Unknown{Detail: fmt.Sprintf("entry VM %s has claimed this request and does not answer: %s", vm.Name, err)}
	}
	return result.outcome()
}

// hold asks the replica to remember a claim.
func (f *relay) hold(ctx context.Context, c *claim.Claim[Outcome], vm roster.VM) (HoldAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	return call[HoldAnswer](ctx, f, vm, Hold{Claim: heldClaim(c)})
}

// release ends a hold. A lost message is harmless: the owner may replace it.
func (f *relay) release(ctx context.Context, c *claim.Claim[Outcome], vm roster.VM) {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	if _, err := call[ReleaseAnswer](ctx, f, vm, Release{Key: c.Key, Nonce: c.Nonce}); err != nil {
		f.metrics.holdsLeft.Add(1)
	}
}

// recall asks for the claims that another entry VM holds in memory.
func (f *relay) recall(ctx context.Context, vm roster.VM) (RecallAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	return call[RecallAnswer](ctx, f, vm, Recall{})
}

func heldClaim(c *claim.Claim[Outcome]) HeldClaim {
	return HeldClaim{Key: c.Key, Owner: c.Owner, Nonce: c.Nonce, Digest: c.Digest, KeepUntil: c.KeepUntil}
}
