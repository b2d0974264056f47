package front

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerstack.org/core/claim"
	"tanagerstack.org/core/policy"
	"tanagerstack.org/core/roster"
	"tanagerstack.org/core/route"
	"tanagerstack.org/core/store"
)

// rosterDelay is how long a roster change takes to reach most VMs.
const rosterDelay = 300 * time.Millisecond

// claims is the filter that ensures that a non-idempotent request is dispatched at
// most once in the fleet. Package claim describes the protocol.
type claims struct {
	location  route.Location
	policy    *policy.ActiveVersion
	roster    func() *roster.View
	now       func() time.Time
	clockSkew time.Duration
	tables    store.Tables
	forwarder *forwarder
	book      *claim.Book[Outcome]
	metrics   *metrics
	// obsoleteRows are claim rows that this VM has to delete from the tables.
	obsoleteRows rowQueue
	// insertTime is the moving average of the time to insert a claim row.
	insertTime movingMean

	// instance is a random ID that tells this process from earlier ones of the VM.
	instance string
	counter  atomic.Int64
	// startedAt is when this process started to keep claims in memory.
	startedAt time.Time
	// synced is whether all other VMs of the failure domain with a seat have sent
	// the claims that they hold in memory.
	synced atomic.Bool
}

// Apply implements Filter.
func (f *claims) Apply(ctx context.Context, r *Request, next Next) Outcome {
	if r.Idempotent || r.origin == forwardedForRoute {
		return next(ctx, r)
	}
	outcome := f.runOrForward(ctx, r, next)
	if refused, ok := outcome.(Refused); ok && refused.Reason == reasonOwnerChanged && r.origin == fromCaller {
		// After a roster change the VMs disagree for a moment on the owner. The
		// request has not run, so a second try is safe.
		f.awaitRosterUpdate(ctx, r)
		outcome = f.runOrForward(ctx, r, next)
	}
	return outcome
}

// awaitRosterUpdate waits for rosterDelay, or until the window of the request ends.
func (f *claims) awaitRosterUpdate(ctx context.Context, r *Request) {
	timer := time.NewTimer(min(rosterDelay, r.remaining(f.now())))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// runOrForward runs a request on this VM, or forwards it to the owner of its claim
// or to the owner's replica.
func (f *claims) runOrForward(ctx context.Context, r *Request, next Next) Outcome {
	home := r.version.Document.Callers[r.Caller].Domain
	order := claim.Order(f.roster(), home, r.key())
	if len(order) == 0 {
		return unavailable("no-claim-owner", f.now().Add(time.Second),
			"no entry VM of failure domain %s is known to keep claims", home)
	}
	if r.origin == forwardedForClaim {
		return f.runForwarded(ctx, r, next, order)
	}
	return f.tryOwnerThenReplica(ctx, r, next, order)
}

// runForwarded runs a request that another entry VM forwarded to this one as the
// owner of its claim, or as the replica if actingOwner is set. It refuses the
// request if this VM's roster says otherwise.
func (f *claims) runForwarded(ctx context.Context, r *Request, next Next, order []roster.VM) Outcome {
	position := 0
	if r.actingOwner {
		position = 1
	}
	if position >= len(order) || order[position].Name != f.location.Name {
		return unavailable(reasonOwnerChanged, f.now().Add(time.Second),
			"entry VM %s does not keep the claim on this request", f.location.Name)
	}
	return f.runClaimed(ctx, r, next)
}

// tryOwnerThenReplica sends a request to the owner of its claim, and to the replica
// if the owner could not handle it: an unreachable owner has not received the
// request from here. The replica comes first if the owner is not live.
func (f *claims) tryOwnerThenReplica(ctx context.Context, r *Request, next Next, order []roster.VM) Outcome {
	positions := []int{0, 1}[:min(2, len(order))]
	if len(positions) == 2 && order[0].State != roster.Live && order[0].Name != f.location.Name {
		positions = []int{1, 0}
	}
	var first Outcome
	for _, position := range positions {
		r.actingOwner = position == 1
		outcome := f.runOrForwardTo(ctx, r, next, order[position])
		refused, ok := outcome.(Refused)
		if !ok || !ownerUnavailable(refused) {
			return outcome
		}
		if first == nil {
			first = outcome
		}
	}
	return first
}

// runOrForwardTo runs a request here if vm is this VM, and forwards it to vm otherwise.
// It refuses the request if vm is leaving.
func (f *claims) runOrForwardTo(ctx context.Context, r *Request, next Next, vm roster.VM) Outcome {
	switch {
	case vm.Name == f.location.Name:
		return f.runClaimed(ctx, r, next)
	case vm.State == roster.Leaving:
		return unavailable(reasonDraining, f.now(), "entry VM %s, which keeps the claim, is leaving", vm.Name)
	default:
		return f.forwarder.forwardToOwner(ctx, r, vm)
	}
}

// ownerUnavailable reports whether a refusal means that the VM could not make a
// decision on the claim, so that another VM may.
func ownerUnavailable(r Refused) bool {
	switch r.Reason {
	case reasonDraining, reasonMemory, reasonUnreachable:
		return true
	default:
		return false
	}
}

// runClaimed runs the request under a claim of this VM. If the key is already
// claimed, it returns the outcome of the first request instead.
func (f *claims) runClaimed(ctx context.Context, r *Request, next Next) Outcome {
	own := &claim.Claim[Outcome]{
		Key:       r.key(),
		Owner:     f.location.Name,
		Nonce:     fmt.Sprintf("%s-%d", f.instance, f.counter.Add(1)),
		Digest:    digest(r),
		KeepUntil: r.NotAfter.Add(f.longestWindow() + f.clockSkew),
	}
	existing, first := f.book.Open(own)
	if !first {
		return f.joinFirst(ctx, r, existing)
	}
	r.claim = own
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.NotAfter)
	defer cancel()
	outcome := f.secureAndCall(ctx, r, next)
	if refused, ok := outcome.(Refused); ok {
		f.withdraw(ctx, r, refused)
		return outcome
	}
	f.book.End(own, outcome, outcomeSize(outcome))
	return outcome
}

// secureAndCall calls next. If the tables are slow it secures the claim first, so
// that no slot is occupied while waiting for them.
func (f *claims) secureAndCall(ctx context.Context, r *Request, next Next) Outcome {
	if f.insertTime.mean() > slowInsert {
		if outcome := f.secure(ctx, r); outcome != nil {
			return outcome
		}
	}
	return next(ctx, r)
}

// joinFirst returns the outcome of the first request with the same key. It refuses
// the request if its content differs from the first one's.
func (f *claims) joinFirst(ctx context.Context, r *Request, first *claim.Claim[Outcome]) Outcome {
	f.metrics.duplicates.Add(1)
	r.duplicate = true
	if first.Digest != digest(r) {
		return reusedIDRefusal(r)
	}
	if f.book.Phase(first) == claim.Held {
		return f.lookupOutcome(ctx, r, first.Owner)
	}
	return f.awaitOutcome(ctx, r.NotAfter, first)
}

// reusedIDRefusal is the refusal of a request whose identifier was used for a
// different request.
func reusedIDRefusal(r *Request) Refused {
	return Refused{
		Status:   http.StatusConflict,
		Reason:   "request-id-reused",
		Detail:   fmt.Sprintf("another request of this caller has the identifier %q", r.ID),
		Field:    "x-request-id",
		Accepted: "an identifier that was not used before",
	}
}

// awaitOutcome waits until a claim of this VM has an outcome, at most until the given
// time.
func (f *claims) awaitOutcome(ctx context.Context, until time.Time, first *claim.Claim[Outcome]) Outcome {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	select {
	case <-first.Done():
	case <-ctx.Done():
		return Unknown{Detail: "the first request with this identifier has not ended"}
	}
	outcome, ok := f.book.Outcome(first)
	if !ok {
		return Unknown{Detail: "the first request with this identifier ran; its answer is not kept"}
	}
	return outcome
}

// lookupOutcome gets the outcome of a request from the entry VM that claimed it.
func (f *claims) lookupOutcome(ctx context.Context, r *Request, owner string) Outcome {
	view := f.roster()
	for i := range view.VMs {
		if vm := view.VMs[i]; vm.Name == owner && owner != f.location.Name {
			return f.forwarder.lookupOutcome(ctx, r, vm)
		}
	}
	return Unknown{Detail: fmt.Sprintf("entry VM %s, which has claimed this request, is gone", owner)}
}

// longestWindow returns the longest window that the policy allows any request, or 0
// without a policy.
func (f *claims) longestWindow() time.Duration {
	version := f.policy.Current()
	if version == nil {
		return 0
	}
	return version.Document.LongestWindow()
}

// memoryComplete reports whether this process has been running for longer than the
// longest window plus the clock skew. Claims that an earlier process of this VM held
// in memory have expired by then, so none that is still needed can be missing.
func (f *claims) memoryComplete() bool {
	return f.now().Sub(f.startedAt) > f.longestWindow()+f.clockSkew
}

// isOwnNonce reports whether this process created the nonce.
func (f *claims) isOwnNonce(nonce string) bool {
	return strings.HasPrefix(nonce, f.instance+"-")
}

// digest hashes the service and body of a request, to detect different requests with
// the same identifier.
func digest(r *Request) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Service + "\n")
	_, _ = h.Write(r.Body)
	return h.Sum64()
}
