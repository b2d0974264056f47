package front

import (
	"fmt"
	"net/http"
	"time"

	"tanagerstack.org/core/claim"
)

// ForwardedRequest is a request forwarded to another entry VM. The response is an
// OutcomeMessage.
type ForwardedRequest struct {
	// Stage is the stage at which the receiver continues: stageClaim or stageRoute.
	Stage      string    `cbor:"1,keyasint"`
	Caller     string    `cbor:"2,keyasint"`
	Service    string    `cbor:"3,keyasint"`
	ID         string    `cbor:"4,keyasint"`
	Class      string    `cbor:"5,keyasint"`
	Idempotent bool      `cbor:"6,keyasint"`
	NotAfter   time.Time `cbor:"7,keyasint"`
	Body       []byte    `cbor:"8,keyasint"`
	// ActingOwner makes the receiver act as the owner of the claim, whose replica it is.
	ActingOwner bool `cbor:"9,keyasint,omitempty"`
	// NoWait makes the receiver refuse the request unless a slot is free.
	NoWait bool `cbor:"10,keyasint,omitempty"`
}

// The stages of a ForwardedRequest.
const (
	// stageClaim: the receiver owns the claim on the request.
	stageClaim = "own"
	// stageRoute: the receiver runs the request on a slot of its own, or refuses it.
	stageRoute = "place"
)

// Kind implements peer.Message.
func (ForwardedRequest) Kind() string { return "request-pass" }

// OutcomeRequest asks for the outcome of a request that the receiver has claimed. The
// response is an OutcomeMessage.
type OutcomeRequest struct {
	Key      claim.Key `cbor:"1,keyasint"`
	NotAfter time.Time `cbor:"2,keyasint"`
}

// Kind implements peer.Message.
func (OutcomeRequest) Kind() string { return "claim-lookup" }

// HoldRequest asks the replica to hold a claim of the sender in memory.
type HoldRequest struct {
	Claim HeldClaim `cbor:"1,keyasint"`
}

// Kind implements peer.Message.
func (HoldRequest) Kind() string { return "claim-hold" }

// HeldClaim is a claim that is held in memory only and has no row in the tables.
type HeldClaim struct {
	Key       claim.Key `cbor:"1,keyasint"`
	Owner     string    `cbor:"2,keyasint"`
	Nonce     string    `cbor:"3,keyasint"`
	Digest    uint64    `cbor:"4,keyasint"`
	KeepUntil time.Time `cbor:"5,keyasint"`
}

// HoldResponse reports whether the replica holds the claim. If not, Owner is the VM that
// already claimed the key.
type HoldResponse struct {
	Accepted bool   `cbor:"1,keyasint"`
	Owner    string `cbor:"2,keyasint,omitempty"`
}

// ReleaseRequest asks the replica to drop a held claim whose request did not run.
type ReleaseRequest struct {
	Key   claim.Key `cbor:"1,keyasint"`
	Nonce string    `cbor:"2,keyasint"`
}

// Kind implements peer.Message.
func (ReleaseRequest) Kind() string { return "claim-release" }

// ReleaseResponse confirms a ReleaseRequest.
type ReleaseResponse struct{}

// HeldClaimsRequest asks for all claims that the receiver holds in memory only.
type HeldClaimsRequest struct{}

// Kind implements peer.Message.
func (HeldClaimsRequest) Kind() string { return "claim-recall" }

// HeldClaimsResponse lists the claims. Incomplete means that some may be missing, because
// the receiver restarted recently and has no usable seat, or because it holds at least
// heldClaimsLimit claims.
type HeldClaimsResponse struct {
	Claims     []HeldClaim `cbor:"1,keyasint"`
	Incomplete bool        `cbor:"2,keyasint"`
}

// OutcomeMessage is the wire format of an Outcome.
type OutcomeMessage struct {
	// Kind is "completed", "refused" or "unknown".
	Kind    string   `cbor:"1,keyasint"`
	Body    []byte   `cbor:"2,keyasint,omitempty"`
	Refused *Refused `cbor:"3,keyasint,omitempty"`
	Detail  string   `cbor:"4,keyasint,omitempty"`
}

// toOutcomeMessage converts an Outcome to its wire format.
func toOutcomeMessage(o Outcome) OutcomeMessage {
	switch o := o.(type) {
	case Completed:
		return OutcomeMessage{Kind: "completed", Body: o.Body}
	case Refused:
		return OutcomeMessage{Kind: "refused", Refused: &o}
	case Unknown:
		return OutcomeMessage{Kind: "unknown", Detail: o.Detail}
	default:
		return OutcomeMessage{Kind: "unknown", Detail: fmt.Sprintf("unexpected outcome %T", o)}
	}
}

// toOutcome converts a message back to an Outcome. A message of an unknown kind becomes
// Unknown, because the request may have run.
func (r OutcomeMessage) toOutcome() Outcome {
	switch {
	case r.Kind == "completed":
		return Completed{Body: r.Body}
	case r.Kind == "refused" && r.Refused != nil:
		refused := *r.Refused
		if refused.Status < http.StatusBadRequest {
			refused.Status = http.StatusServiceUnavailable
		}
		return refused
	default:
		return Unknown{Detail: r.Detail}
	}
}
