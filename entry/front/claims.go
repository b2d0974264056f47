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

// rosterDelay is how long a change of the roster takes to be seen by most VMs.
const rosterDelay = 300 * time.Millisecond

// claims is the filter that lets only one dispatch of a non-idempotent request
// happen in the fleet. The protocol is described in package claim.
type claims struct {
	place     route.Location
	policy    *policy.ActiveVersion
	roster    func() *roster.View
	now       func() time.Time
	clockSkew time.Duration
	tables    store.Tables
	relay     *relay
	book      *claim.Book[Outcome]
	metrics   *metrics
	// rows are those that this VM has to delete.
	rows rowsToDelete
	// storeTime is how long the tables take to insert a claim.
	storeTime movingMean

	// instance names this process among those of the same VM name.
	instance string
	counter  atomic.Int64
	// startedAt is when this process began to remember claims.
	startedAt time.Time
	// synced is whether the other seats have told what they hold in memory.
	synced atomic.Bool
}

// Apply implements Filter.
func (f *claims) Apply(ctx context.Context, r *Request, next Next) Outcome {
	if r.Idempotent || r.origin == fromOwner {
		return next(ctx, r)
	}
	outcome := f.toKeeper(ctx, r, next)
	if refused, ok := outcome.(Refused); ok && refused.Reason == reasonOwnerChanged && r.origin == fromCaller {
		// Rosters differ for a moment after a change. Nothing was done yet.
		f.pause(ctx, r)
		outcome = f.toKeeper(ctx, r, next)
	}
	return outcome
}

// pause waits until rosters agree again, or the window ends.
func (f *claims) pause(ctx context.Context, r *Request) {
	timer := time.NewTimer(min(rosterDelay, r.remaining(f.now())))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// toKeeper brings a request to an entry VM that keeps its claim.
func (f *claims) toKeeper(ctx context.Context, r *Request, next Next) Outcome {
	home := r.version.Document.Callers[r.Caller].Domain
	order := claim.Order(f.roster(), home, r.key())
	if len(order) == 0 {
		return unavailable("no-claim-owner", f.now().Add(time.Second),
			"no entry VM of failure domain %s is known to keep claims", home)
	}
	if r.origin == fromEntry {
		return f.asOwner(ctx, r, next, order)
	}
	return f.toOwner(ctx, r, next, order)
}

// asOwner handles a request that another entry VM passed on to this one.
func (f *claims) asOwner(ctx context.Context, r *Request, next Next, order []roster.VM) Outcome {
	position := 0
	if r.acting {
		position = 1
	}
	if position >= len(order) || order[position].Name != f.place.Name {
		return unavailable(reasonOwnerChanged, f.now().Add(time.Second),
			"entry VM %s does not keep the claim on this request", f.place.Name)
	}
	return f.own(ctx, r, next)
}

// toOwner brings a request to the owner of its claim, or to the replica if the
// owner cannot be reached and so has not seen it from here. An owner that has
// gone quiet is asked last.
func (f *claims) toOwner(ctx context.Context, r *Request, next Next, order []roster.VM) Outcome {
	positions := []int{0, 1}[:min(2, len(order))]
	if len(positions) == 2 && order[0].State != roster.Live && order[0].Name != f.place.Name {
		positions = []int{1, 0}
	}
	var first Outcome
	for _, position := range positions {
		r.acting = position == 1
		outcome := f.toSeat(ctx, r, next, order[position])
		refused, ok := outcome.(Refused)
		if !ok || !ownerMissing(refused) {
			return outcome
		}
		if first == nil {
			first = outcome
		}
	}
	return first
}

// toSeat brings a request to one of the two entry VMs that may keep its claim.
func (f *claims) toSeat(ctx context.Context, r *Request, next Next, vm roster.VM) Outcome {
	switch {
	case vm.Name == f.place.Name:
		return f.own(ctx, r, next)
	case vm.State == roster.Leaving:
		return unavailable(reasonDraining, f.now(), "entry VM %s, which keeps the claim, is leaving", vm.Name)
	default:
		return f.relay.toClaimant(ctx, r, vm)
	}
}

// ownerMissing reports whether a refusal means that the VM could not decide
// about the claim, so that another one may.
func ownerMissing(r Refused) bool {
	switch r.Reason {
	case reasonDraining, reasonMemory, reasonUnreachable:
		return true
	default:
		return false
	}
}

// own runs the request under this VM's claim, or waits for the first one's outcome.
func (f *claims) own(ctx context.Context, r *Request, next Next) Outcome {
	mine := &claim.Claim[Outcome]{
		Key:       r.key(),
		Owner:     f.place.Name,
		Nonce:     fmt.Sprintf("%s-%d", f.instance, f.counter.Add(1)),
		Digest:    digest(r),
		KeepUntil: r.NotAfter.Add(f.longestWindow() + f.clockSkew),
	}
	present, first := f.book.Open(mine)
	if !first {
		return f.join(ctx, r, present)
	}
	r.claim = mine
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.NotAfter)
	defer cancel()
	outcome := f.secureAndCall(ctx, r, next)
	if refused, ok := outcome.(Refused); ok {
		f.withdraw(ctx, r, refused)
		return outcome
	}
	f.book.End(mine, outcome, outcomeSize(outcome))
	return outcome
}

// secureAndCall secures the claim early if the tables are slow, so that no slot waits for
// them, and calls next.
func (f *claims) secureAndCall(ctx context.Context, r *Request, next Next) Outcome {
	if f.storeTime.mean() > slowStore {
		if outcome := f.secure(ctx, r); outcome != nil {
			return outcome
		}
	}
	return next(ctx, r)
}

// join waits for the outcome of the first request with the same key.
func (f *claims) join(ctx context.Context, r *Request, first *claim.Claim[Outcome]) Outcome {
	f.metrics.doubled.Add(1)
	r.joined = true
	if first.Digest != digest(r) {
		return reused(r)
	}
	if f.book.Phase(first) == claim.Held {
		return f.ask(ctx, r, first.Owner)
	}
	return f.await(ctx, r.NotAfter, first)
}

// reused refuses a request whose identifier belongs to another request.
func reused(r *Request) Refused {
	return Refused{
		Status:   http.StatusConflict,
		Reason:   "request-id-reused",
		Detail:   fmt.Sprintf("another request of this caller has the identifier %q", r.ID),
		Field:    "x-request-id",
		Accepted: "an identifier that was not used before",
	}
}

// await waits for the outcome of a claim of this VM.
func (f *claims) await(ctx context.Context, until time.Time, first *claim.Claim[Outcome]) Outcome {
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

// ask gets the outcome of a request from the entry VM that claimed it.
func (f *claims) ask(ctx context.Context, r *Request, owner string) Outcome {
	view := f.roster()
	for i := range view.VMs {
		if vm := view.VMs[i]; vm.Name == owner && owner != f.place.Name {
			return f.relay.lookup(ctx, r, vm)
		}
	}
	return Unknown{Detail: fmt.Sprintf("entry VM %s, which has claimed this request, is gone", owner)}
}

// longestWindow returns the longest window that any request may have.
func (f *claims) longestWindow() time.Duration {
	version := f.policy.Current()
	if version == nil {
		return 0
	}
	return version.Document.LongestWindow()
}

// remembers reports whether this process is older than any request may be, so
// that it cannot have forgotten a claim that an earlier process held in memory.
func (f *claims) remembers() bool {
	return f.now().Sub(f.startedAt) > f.longestWindow()+f.clockSkew
}

// ours reports whether a nonce is from this process.
func (f *claims) ours(nonce string) bool {
	return strings.HasPrefix(nonce, f.instance+"-")
}

// digest tells a repeat of a request from another one with the same identifier.
func digest(r *Request) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Service + "\n")
	_, _ = h.Write(r.Body)
	return h.Sum64()
}
