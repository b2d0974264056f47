package front

import (
	"context"
	"fmt"
	"strings"

	"tanagerstack.org/core/claim"
	"tanagerstack.org/core/peer"
)

// receivePass runs a request that another entry VM passed on.
func (f *Front) receivePass(ctx context.Context, _ peer.Identity, m Pass) (Result, error) {
	if !f.gate.enter() {
		return resultOf(f.drainingRefusal()), nil
	}
	defer f.gate.leave()
	r := &Request{
		Caller:     m.Caller,
		Service:    m.Service,
		ID:         m.ID,
		Class:      m.Class,
		Idempotent: m.Idempotent,
		ArrivedAt:  f.now(),
		NotAfter:   m.NotAfter,
		Body:       m.Body,
		acting:     m.Acting,
		immediate:  m.Immediate,
		version:    f.opts.Policy.Current(),
	}
	if r.version == nil {
		return resultOf(unavailable("no-policy", f.now(), "entry VM %s has no policy yet", f.opts.Name)), nil
	}
	switch m.Stage {
	case stageOwn:
		r.origin = fromEntry
		return resultOf(f.ownChain(ctx, r)), nil
	case stagePlace:
		r.origin = fromOwner
		return resultOf(f.placeChain(ctx, r)), nil
	default:
		return Result{}, &peer.RemoteError{Code: peer.CodeMalformed, Detail: fmt.Sprintf("unknown stage %q", m.Stage)}
	}
}

// receiveLookup answers with the outcome of a request claimed here.
func (f *claims) receiveLookup(ctx context.Context, _ peer.Identity, m Lookup) (Result, error) {
	found := f.book.Find(m.Key)
	if found == nil || f.book.Phase(found) == claim.Held {
		return resultOf(Unknown{Detail: "entry VM " + f.place.Name + " does not know the request's outcome"}), nil
	}
	return resultOf(f.await(ctx, m.NotAfter, found)), nil
}

// receiveHold remembers a claim for its owner, if this VM is the replica.
func (f *claims) receiveHold(_ context.Context, from peer.Identity, m Hold) (HoldAnswer, error) {
	order := claim.Order(f.roster(), f.place.Domain, m.Claim.Key)
	if len(order) < 2 || order[0].Name != from.Name || order[1].Name != f.place.Name {
		return HoldAnswer{}, fmt.Errorf("entry VM %s is not the replica of %s for this key", f.place.Name, from.Name)
	}
	if !f.remembers() {
		return HoldAnswer{}, fmt.Errorf("entry VM %s started less than one longest window ago", f.place.Name)
	}
	held := claimOf(m.Claim)
	present, added := f.book.Hold(held)
	if added || f.replaceHold(present, held) {
		return HoldAnswer{Accepted: true}, nil
	}
	return HoldAnswer{Owner: present.Owner}, nil
}

// replaceHold replaces the hold of a request that the same process of the owner
// has refused since.
func (f *claims) replaceHold(present, held *claim.Claim[Outcome]) bool {
	instance, _, _ := strings.Cut(held.Nonce, "-")
	if present.Owner != held.Owner || !strings.HasPrefix(present.Nonce, instance+"-") {
		return false
	}
	return f.book.Replace(present, held)
}

// receiveRelease ends a hold.
func (f *claims) receiveRelease(_ context.Context, _ peer.Identity, m Release) (ReleaseAnswer, error) {
	f.book.Release(m.Key, m.Nonce)
	return ReleaseAnswer{}, nil
}

// receiveRecall lists what only memories know.
func (f *claims) receiveRecall(context.Context, peer.Identity, Recall) (RecallAnswer, error) {
	now := f.now()
	_, usable := f.roster().OwnSeat(now)
	answer := RecallAnswer{Unsure: !usable && !f.remembers()}
	for _, c := range f.book.Unstored(now, recallLimit) {
		answer.Claims = append(answer.Claims, heldClaim(c))
	}
	if len(answer.Claims) == recallLimit {
		answer.Unsure = true
	}
	return answer, nil
}

// learn asks the other seats of the failure domain for the claims that they hold
// in memory. Only when all have answered may this VM rely on the tables.
func (f *claims) learn(ctx context.Context) {
	view := f.roster()
	if f.synced.Load() || view == nil || view.Seat < 0 {
		return
	}
	for i := range view.VMs {
		vm := view.VMs[i]
		if vm.Domain != f.place.Domain || vm.Seat < 0 || vm.Name == f.place.Name {
			continue
		}
		answer, err := f.relay.recall(ctx, vm)
		if err != nil || answer.Unsure {
			return
		}
		for _, held := range answer.Claims {
			f.book.Hold(claimOf(held))
		}
	}
	f.synced.Store(true)
}

func claimOf(h HeldClaim) *claim.Claim[Outcome] {
	return &claim.Claim[Outcome]{Key: h.Key, Owner: h.Owner, Nonce: h.Nonce, Digest: h.Digest, KeepUntil: h.KeepUntil}
}
