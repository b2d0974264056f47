package front

import (
	"context"
	"fmt"
	"strings"

	"tanagerstack.org/core/claim"
	"tanagerstack.org/core/peer"
)

// handleForwardedRequest runs a request that another entry VM forwarded to this one.
func (f *Front) handleForwardedRequest(ctx context.Context, _ peer.Identity, m ForwardedRequest) (OutcomeMessage, error) {
	if !f.inFlight.begin() {
		return toOutcomeMessage(f.drainingRefusal()), nil
	}
	defer f.inFlight.end()
	r := &Request{
		Caller:      m.Caller,
		Service:     m.Service,
		ID:          m.ID,
		Class:       m.Class,
		Idempotent:  m.Idempotent,
		ArrivedAt:   f.now(),
		NotAfter:    m.NotAfter,
		Body:        m.Body,
		actingOwner: m.ActingOwner,
		noWait:      m.NoWait,
		version:     f.opts.Policy.Current(),
	}
	if r.version == nil {
		return toOutcomeMessage(unavailable("no-policy", f.now(), "entry VM %s has no policy yet", f.opts.Name)), nil
	}
	switch m.Stage {
	case stageClaim:
		r.origin = forwardedForClaim
		return toOutcomeMessage(f.claimChain(ctx, r)), nil
	case stageRoute:
		r.origin = forwardedForRoute
		return toOutcomeMessage(f.routeChain(ctx, r)), nil
	default:
		return OutcomeMessage{}, &peer.RemoteError{Code: peer.CodeMalformed, Detail: fmt.Sprintf("unknown stage %q", m.Stage)}
	}
}

// handleOutcomeRequest returns the outcome of a request claimed by this VM.
func (f *claims) handleOutcomeRequest(ctx context.Context, _ peer.Identity, m OutcomeRequest) (OutcomeMessage, error) {
	found := f.book.Find(m.Key)
	if found == nil || f.book.Phase(found) == claim.Held {
		return toOutcomeMessage(Unknown{Detail: "entry VM " + f.location.Name + " does not know the request's outcome"}), nil
	}
	return toOutcomeMessage(f.awaitOutcome(ctx, m.NotAfter, found)), nil
}

// handleHold holds a claim in memory for its owner. It returns an error if this VM is not
// the replica or has not been running for the longest window.
func (f *claims) handleHold(_ context.Context, from peer.Identity, m HoldRequest) (HoldResponse, error) {
	order := claim.Order(f.roster(), f.location.Domain, m.Claim.Key)
	if len(order) < 2 || order[0].Name != from.Name || order[1].Name != f.location.Name {
		return HoldResponse{}, fmt.Errorf("entry VM %s is not the replica of %s for this key", f.location.Name, from.Name)
	}
	if !f.memoryComplete() {
		return HoldResponse{}, fmt.Errorf("entry VM %s started less than one longest window ago", f.location.Name)
	}
	requested := fromHeldClaim(m.Claim)
	existing, added := f.book.Hold(requested)
	if added || f.replaceHold(existing, requested) {
		return HoldResponse{Accepted: true}, nil
	}
	return HoldResponse{Owner: existing.Owner}, nil
}

// replaceHold replaces the existing held claim if the same process of the same owner created
// it. That process has refused the earlier request since. It reports whether it did so.
func (f *claims) replaceHold(existing, requested *claim.Claim[Outcome]) bool {
	instance, _, _ := strings.Cut(requested.Nonce, "-")
	if existing.Owner != requested.Owner || !strings.HasPrefix(existing.Nonce, instance+"-") {
		return false
	}
	return f.book.Replace(existing, requested)
}

// handleRelease drops a held claim.
func (f *claims) handleRelease(_ context.Context, _ peer.Identity, m ReleaseRequest) (ReleaseResponse, error) {
	f.book.Release(m.Key, m.Nonce)
	return ReleaseResponse{}, nil
}

// handleHeldClaims returns the claims that are held in memory only.
func (f *claims) handleHeldClaims(context.Context, peer.Identity, HeldClaimsRequest) (HeldClaimsResponse, error) {
	now := f.now()
	_, usable := f.roster().OwnSeat(now)
	answer := HeldClaimsResponse{Incomplete: !usable && !f.memoryComplete()}
	for _, c := range f.book.Unstored(now, heldClaimsLimit) {
		answer.Claims = append(answer.Claims, toHeldClaim(c))
	}
	if len(answer.Claims) == heldClaimsLimit {
		answer.Incomplete = true
	}
	return answer, nil
}

// syncHeldClaims fetches the claims that the other VMs with a seat in the failure domain hold
// in memory. Until all have sent theirs completely, a claim missing from the tables may
// still exist, so this VM must not rely on the tables alone.
func (f *claims) syncHeldClaims(ctx context.Context) {
	view := f.roster()
	if f.synced.Load() || view == nil || view.Seat < 0 {
		return
	}
	for i := range view.VMs {
		vm := view.VMs[i]
		if vm.Domain != f.location.Domain || vm.Seat < 0 || vm.Name == f.location.Name {
			continue
		}
		answer, err := f.forwarder.fetchHeldClaims(ctx, vm)
		if err != nil || answer.Incomplete {
			return
		}
		for _, held := range answer.Claims {
			f.book.Hold(fromHeldClaim(held))
		}
	}
	f.synced.Store(true)
}

func fromHeldClaim(h HeldClaim) *claim.Claim[Outcome] {
	return &claim.Claim[Outcome]{Key: h.Key, Owner: h.Owner, Nonce: h.Nonce, Digest: h.Digest, KeepUntil: h.KeepUntil}
}
