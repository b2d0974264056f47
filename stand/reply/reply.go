// Package reply has the one error type that stand-in handlers return.
//
// The model: a handler returns an *Error, and the NewError method of its API
// turns the error into that API's RFC 9457 problem document. Any other error
// becomes a 500.
package reply

import (
	"errors"
	"fmt"
	"net/http"
)

// Error is an answer other than success.
type Error struct {
	// Status is the HTTP status.
	Status int
	// Reason is machine-readable, in kebab case.
	Reason string
	// Detail says what was wrong, with the numbers.
	Detail string
}

// Error returns the reason and detail.
func (e *Error) Error() string { return e.Reason + ": " + e.Detail }

// Title returns the name of the status.
func (e *Error) Title() string { return http.StatusText(e.Status) }

// New returns an Error with a formatted detail.
func New(status int, reason, format string, args ...any) *Error {
	return &Error{Status: status, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// From returns err as an *Error; an error of another type becomes a 500.
func From(err error) *Error {
	if known := new(Error); errors.As(err, &known) {
		return known
	}
	return New(http.StatusInternalServerError, "internal", "%v", err)
}
