package front

import (
	"fmt"
	"net/http"
	"time"

	"tanagerstack.org/core/claim"
)

// Pass is a request on its way to another entry VM.
type Pass struct {
	// Stage says what the receiver does: stageOwn or stagePlace.
	Stage      string    `cbor:"1,keyasint"`
	Caller     string    `cbor:"2,keyasint"`
	Service    string    `cbor:"3,keyasint"`
	ID         string    `cbor:"4,keyasint"`
	Class      string    `cbor:"5,keyasint"`
	Idempotent bool      `cbor:"6,keyasint"`
	NotAfter   time.Time `cbor:"7,keyasint"`
	Body       []byte    `cbor:"8,keyasint"`
	// Acting asks the receiver to stand in for the owner of the claim.
	Acting bool `cbor:"9,keyasint,omitempty"`
	// Immediate asks the receiver to refuse unless a slot is free right now.
	Immediate bool `cbor:"10,keyasint,omitempty"`
}

// The stages of a Pass.
const (
	// stageOwn: the receiver keeps the claim on the request.
	stageOwn = "own"
	// stagePlace: the receiver has a slot for the request, or refuses it.
	stagePlace = "place"
)

// Kind implements peer.Message.
func (Pass) Kind() string { return "request-pass" }

// Lookup asks for the outcome of a request that the receiver has claimed.
type Lookup struct {
	Key      claim.Key `cbor:"1,keyasint"`
	NotAfter time.Time `cbor:"2,keyasint"`
}

// Kind implements peer.Message.
func (Lookup) Kind() string { return "claim-lookup" }

// Hold asks the replica to remember a claim of the sender.
type Hold struct {
	Claim HeldClaim `cbor:"1,keyasint"`
}

// Kind implements peer.Message.
func (Hold) Kind() string { return "claim-hold" }

// HeldClaim is a claim that memories hold and the tables do not have.
type HeldClaim struct {
	Key       claim.Key `cbor:"1,keyasint"`
	Owner     string    `cbor:"2,keyasint"`
	Nonce     string    `cbor:"3,keyasint"`
	Digest    uint64    `cbor:"4,keyasint"`
	KeepUntil time.Time `cbor:"5,keyasint"`
}

// HoldAnswer says whether the claim is held. If not, Owner is who claimed it before.
type HoldAnswer struct {
	Accepted bool   `cbor:"1,keyasint"`
	Owner    string `cbor:"2,keyasint,omitempty"`
}

// Release ends a Hold whose request did not run.
type Release struct {
	Key   claim.Key `cbor:"1,keyasint"`
	Nonce string    `cbor:"2,keyasint"`
}

// Kind implements peer.Message.
func (Release) Kind() string { return "claim-release" }

// ReleaseAnswer says that the release was handled.
type ReleaseAnswer struct{}

// Recall asks for all claims that the receiver holds in memory only.
type Recall struct{}

// Kind implements peer.Message.
func (Recall) Kind() string { return "claim-recall" }

// RecallAnswer lists the claims. Unsure means that the receiver may have
// forgotten some, because it has just restarted.
type RecallAnswer struct {
	Claims []HeldClaim `cbor:"1,keyasint"`
	Unsure bool        `cbor:"2,keyasint"`
}

// Result is an Outcome on the wire.
type Result struct {
	// Kind is "completed", "refused" or "unknown".
	Kind    string   `cbor:"1,keyasint"`
	Body    []byte   `cbor:"2,keyasint,omitempty"`
	Refused *Refused `cbor:"3,keyasint,omitempty"`
	Detail  string   `cbor:"4,keyasint,omitempty"`
}

// resultOf turns an outcome into its shape on the wire.
func resultOf(o Outcome) Result {
	switch o := o.(type) {
	case Completed:
		return Result{Kind: "completed", Body: o.Body}
	case Refused:
		return Result{Kind: "refused", Refused: &o}
	case Unknown:
		return Result{Kind: "unknown", Detail: o.Detail}
	default:
		return Result{Kind: "unknown", Detail: fmt.Sprintf("unexpected outcome %T", o)}
	}
}

// outcome turns a result back. What it does not know may have run.
func (r Result) outcome() Outcome {
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
