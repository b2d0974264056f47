package front

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome is the result of a request: Completed, Refused or Unknown.
type Outcome interface{ outcome() }

// Completed means that the request ran. Body is its complete response.
type Completed struct{ Body []byte }

// Refused means that the request did not run: no byte of it reached a target.
type Refused struct {
	// Status is the HTTP status code of the refusal.
	Status int `cbor:"1,keyasint"`
	// Reason is a machine-readable code in kebab case.
	Reason string `cbor:"2,keyasint"`
	// Detail is a human-readable explanation with the values involved.
	Detail string `cbor:"3,keyasint"`
	// Field is the invalid field of the request, and Accepted describes its valid
	// values. Both are empty if no field is invalid.
	Field    string `cbor:"4,keyasint,omitempty"`
	Accepted string `cbor:"5,keyasint,omitempty"`
	// RetryAt is the earliest time at which a retry may succeed, or zero if none can.
	RetryAt time.Time `cbor:"6,keyasint"`
	// Rule is the policy field that caused the refusal, if any.
	Rule string `cbor:"7,keyasint,omitempty"`
}

// Unknown means that the request may have run.
type Unknown struct{ Detail string }

func (Completed) outcome() {}
func (Refused) outcome()   {}
func (Unknown) outcome()   {}

// Refusal reasons on which the forwarding entry VM makes decisions.
const (
	reasonDraining     = "draining"
	reasonOwnerChanged = "claim-owner-changed"
	reasonMemory       = "claim-memory"
)

// unavailable returns a refusal with status 503, for causes other than the request.
func unavailable(reason string, retryAt time.Time, format string, args ...any) Refused {
	return Refused{
		Status:  http.StatusServiceUnavailable,
		Reason:  reason,
		Detail:  fmt.Sprintf(format, args...),
		RetryAt: retryAt,
	}
}

// invalid returns a refusal with status 400 for an invalid field.
func invalid(field, accepted, format string, args ...any) Refused {
	return Refused{
		Status:   http.StatusBadRequest,
		Reason:   "bad-" + field,
		Detail:   fmt.Sprintf(format, args...),
		Field:    field,
		Accepted: accepted,
	}
}

// outcomeSize returns the number of bytes needed to keep an outcome in memory.
func outcomeSize(o Outcome) int {
	switch o := o.(type) {
	case Completed:
		return len(o.Body)
	default:
		return 0
	}
}
