package front

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome is how a request ended.
type Outcome interface{ outcome() }

// Completed means that the request ran and its whole answer is Body.
type Completed struct{ Body []byte }

// Refused means that the request did not run: no byte of it reached a target.
type Refused struct {
	// Status is the HTTP status code of the refusal.
	Status int `cbor:"1,keyasint"`
	// Reason is machine-readable, in kebab case.
	Reason string `cbor:"2,keyasint"`
	// Detail has the numbers, for people.
	Detail string `cbor:"3,keyasint"`
	// Field is the field at fault, if one is, and Accepted what it accepts.
	Field    string `cbor:"4,keyasint,omitempty"`
	Accepted string `cbor:"5,keyasint,omitempty"`
	// RetryAt is the earliest instant at which another try makes sense, if any does.
	RetryAt time.Time `cbor:"6,keyasint"`
	// Rule is the policy field that led to the refusal, if one did.
	Rule string `cbor:"7,keyasint,omitempty"`
}

// Unknown means that the request may have run.
type Unknown struct{ Detail string }

func (Completed) outcome() {}
func (Refused) outcome()   {}
func (Unknown) outcome()   {}

// Reasons of refusals that other entry VMs act upon.
const (
	reasonDraining     = "draining"
	reasonOwnerChanged = "claim-owner-changed"
	reasonMemory       = "claim-memory"
)

// unavailable is a refusal that is not the caller's fault.
func unavailable(reason string, retryAt time.Time, format string, args ...any) Refused {
	return Refused{
		Status:  http.StatusServiceUnavailable,
		Reason:  reason,
		Detail:  fmt.Sprintf(format, args...),
		RetryAt: retryAt,
	}
}

// invalid is a refusal of bad input.
func invalid(field, accepted, format string, args ...any) Refused {
	return Refused{
		Status:   http.StatusBadRequest,
		Reason:   "bad-" + field,
		Detail:   fmt.Sprintf(format, args...),
		Field:    field,
		Accepted: accepted,
	}
}

// outcomeSize returns the bytes that keeping an outcome takes.
func outcomeSize(o Outcome) int {
	switch o := o.(type) {
	case Completed:
		return len(o.Body)
	default:
		return 0
	}
}
