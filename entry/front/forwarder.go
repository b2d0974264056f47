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
	// reasonUnreachable: the message did not reach the owner of the claim.
	reasonUnreachable = "claim-owner-unreachable"
	// maxForwards limits the number of entry VMs to which one request is forwarded.
	maxForwards = 3
	// claimMessageTimeout limits each exchange of messages about claims.
	claimMessageTimeout = 500 * time.Millisecond
	// connectTimeout limits the time to get a working connection to an entry VM. If
	// it expires nothing was sent, so another VM may get the request.
	connectTimeout = 250 * time.Millisecond
	// unreachableBackoff is how long an unreachable entry VM gets no requests.
	unreachableBackoff = 500 * time.Millisecond
	// refusedBackoff is how long an entry VM that refused a request gets no further
	// requests for the same service.
	refusedBackoff = 100 * time.Millisecond
)

// forwarder forwards requests to other entry VMs and exchanges claims with them.
type forwarder struct {
	location route.Location
	peers    *peer.Node
	policy   *policy.ActiveVersion
	roster   func() *roster.View
	now      func() time.Time
	metrics  *metrics
	claims   *claims
	// takeRetry takes a retry from the retry budget. It returns false if none is left.
	takeRetry func() bool

	mu sync.Mutex
	// regionLimiter is the byte budget for cross-region traffic, or nil before its
	// first use.
	regionLimiter *rate.Limiter
	// backoffUntil is the time until which a VM that refused a request or was
	// unreachable gets no requests. The key is "VM/service".
	backoffUntil map[string]time.Time
}

// call sends a message to an entry VM and waits for the response.
func call[A any](ctx context.Context, f *forwarder, vm roster.VM, m peer.Message) (A, error) {
	if f.peers == nil {
		var none A
		return none, fmt.Errorf("message to %s: %w", vm.Name, peer.ErrNotSent)
	}
	return peer.Call[A](peer.WithConnectTimeout(ctx, connectTimeout), f.peers, peer.Address{Name: vm.Name, Addr: vm.PeerAddress}, m)
}

// notHandled reports whether an error proves that the peer did not handle the message.
func notHandled(err error) bool {
	var remote *peer.RemoteError
	if errors.As(err, &remote) {
		return !remote.Handled()
	}
	return errors.Is(err, peer.ErrNotSent)
}

// forward sends the request to another entry VM and returns its outcome. An error proves
// that the VM did not handle the request.
func (f *forwarder) forward(ctx context.Context, r *Request, vm roster.VM, stage string) (Outcome, error) {
	ctx, cancel := context.WithDeadline(ctx, r.NotAfter)
	defer cancel()
	f.metrics.forwarded.Add(1)
	if r.startedAt.IsZero() {
		r.startedAt = f.now()
	}
	result, err := call[OutcomeMessage](ctx, f, vm, ForwardedRequest{
		Stage:       stage,
		Caller:      r.Caller,
		Service:     r.Service,
		ID:          r.ID,
		Class:       r.Class,
		Idempotent:  r.Idempotent,
		NotAfter:    r.NotAfter,
		Body:        r.Body,
		ActingOwner: r.actingOwner,
		NoWait:      r.noWait,
	})
	if err == nil || !notHandled(err) {
		f.chargeRegionBudget(vm, len(r.Body)+len(result.Body))
	}
	switch {
	case err == nil:
		return result.toOutcome(), nil
	case notHandled(err):
		return nil, err
	default:
		return Unknown{Detail: fmt.Sprintf("entry VM %s: %s", vm.Name, err)}, nil
	}
}

// forwardToOwner forwards the request to the owner of its claim, or to the replica. It
// refuses the request if the VM cannot be reached.
func (f *forwarder) forwardToOwner(ctx context.Context, r *Request, vm roster.VM) Outcome {
	if f.inBackoff(vm.Name, anyService) {
		return unavailable(reasonUnreachable, f.now().Add(unreachableBackoff),
			"entry VM %s keeps the claim on this request and could not be reached a moment ago", vm.Name)
	}
	outcome, err := f.forward(context.WithoutCancel(ctx), r, vm, stageClaim)
	if err != nil {
		f.backOff(vm.Name, anyService, unreachableBackoff)
		return unavailable(reasonUnreachable, f.now().Add(time.Second),
			"entry VM %s keeps the claim on this request and cannot be reached: %s", vm.Name, err)
	}
	return outcome
}

// forwardToCandidates forwards the request to another entry VM that may have slots of
// the service. It returns nil if the request was sent to none.
func (f *forwarder) forwardToCandidates(ctx context.Context, r *Request) Outcome {
	return f.forwardToFirst(ctx, r, route.ForwardCandidates(f.roster(), f.location, r.Service, r.ID, f.now()))
}

// sameDomainCandidates returns the entry VMs of the own failure domain that may have a
// slot of the service.
func (f *forwarder) sameDomainCandidates(r *Request) []roster.VM {
	candidates := route.ForwardCandidates(f.roster(), f.location, r.Service, r.ID, f.now())
	return slices.DeleteFunc(candidates, func(vm roster.VM) bool { return vm.Domain != f.location.Domain })
}

// forwardToFirst forwards the request to the candidates in turn until one returns an outcome
// that is final: it is not a refusal and may not be retried. Otherwise it returns the last
// outcome, or nil if the request was sent to none.
func (f *forwarder) forwardToFirst(ctx context.Context, r *Request, candidates []roster.VM) Outcome {
	var last Outcome
	forwards := 0
	for _, vm := range candidates {
		if f.inBackoff(vm.Name, r.Service) || f.inBackoff(vm.Name, anyService) {
			continue
		}
		if forwards++; forwards > maxForwards {
			break
		}
		if vm.Region != f.location.Region && !f.fitsRegionBudget(r) {
			break
		}
		if outcome := f.claims.secure(ctx, r); outcome != nil {
			return outcome
		}
		outcome, err := f.forward(ctx, r, vm, stageRoute)
		if err != nil {
			f.backOff(vm.Name, anyService, unreachableBackoff)
			continue
		}
		r.recordUnknown(outcome)
		if _, isRefused := outcome.(Refused); isRefused {
			f.backOff(vm.Name, r.Service, refusedBackoff)
		} else if !f.mayRetry(r, outcome) {
			return outcome
		}
		last = outcome
	}
	return last
}

// anyService is the service name in backoffUntil that stands for all services of a VM.
const anyService = ""

// inBackoff reports whether an entry VM gets no requests for a service at present.
func (f *forwarder) inBackoff(vm, service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now().Before(f.backoffUntil[vm+"/"+service])
}

// backOff stops requests for a service to an entry VM for the given time.
func (f *forwarder) backOff(vm, service string, length time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.backoffUntil == nil {
		f.backoffUntil = make(map[string]time.Time)
	}
	f.backoffUntil[vm+"/"+service] = f.now().Add(length)
}

// mayRetry reports whether a request with an Unknown outcome may be sent to the next
// entry VM: it must be idempotent and within the retry budget.
func (f *forwarder) mayRetry(r *Request, outcome Outcome) bool {
	_, unknown := outcome.(Unknown)
	return unknown && r.Idempotent && f.takeRetry()
}

// lookupOutcome asks another entry VM for the outcome of a request that it has claimed.
func (f *forwarder) lookupOutcome(ctx context.Context, r *Request, vm roster.VM) Outcome {
	ctx, cancel := context.WithDeadline(ctx, r.NotAfter)
	defer cancel()
	result, err := call[OutcomeMessage](ctx, f, vm, OutcomeRequest{Key: r.key(), NotAfter: r.NotAfter})
	if err != nil {
		return Unknown{Detail: fmt.Sprintf("entry VM %s has claimed this request and does not answer: %s", vm.Name, err)}
	}
	return result.toOutcome()
}

// hold asks the replica to hold a claim in memory.
func (f *forwarder) hold(ctx context.Context, c *claim.Claim[Outcome], vm roster.VM) (HoldResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, claimMessageTimeout)
	defer cancel()
	return call[HoldResponse](ctx, f, vm, HoldRequest{Claim: toHeldClaim(c)})
}

// release asks the replica to drop a held claim. A lost message is harmless, because the
// owner may replace a held claim.
func (f *forwarder) release(ctx context.Context, c *claim.Claim[Outcome], vm roster.VM) {
	ctx, cancel := context.WithTimeout(ctx, claimMessageTimeout)
	defer cancel()
	if _, err := call[ReleaseResponse](ctx, f, vm, ReleaseRequest{Key: c.Key, Nonce: c.Nonce}); err != nil {
		f.metrics.holdsNotReleased.Add(1)
	}
}

// fetchHeldClaims returns the claims that another entry VM holds in memory only.
func (f *forwarder) fetchHeldClaims(ctx context.Context, vm roster.VM) (HeldClaimsResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, claimMessageTimeout)
	defer cancel()
	return call[HeldClaimsResponse](ctx, f, vm, HeldClaimsRequest{})
}

func toHeldClaim(c *claim.Claim[Outcome]) HeldClaim {
	return HeldClaim{Key: c.Key, Owner: c.Owner, Nonce: c.Nonce, Digest: c.Digest, KeepUntil: c.KeepUntil}
}
