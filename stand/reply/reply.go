// Package reply defines the error type that handlers of fake services return.
//
// A handler returns an *Error. The NewError method of its API converts the error
// to an RFC 9457 problem document. Errors of other types become a 500.
package reply

import (
	"errors"
	"fmt"
	"net/http"
)

// Error is an error answer to an HTTP request.
type Error struct {
	// Status is the HTTP status code.
	Status int
	// Reason is a machine-readable code in kebab case.
	Reason string
	// Detail describes the error for people, including the offending values.
	Detail string
}

// Error returns the reason and the detail.
func (e *Error) Error() string { return e.Reason + ": " + e.Detail }

// Title returns the standard text of the HTTP status.
func (e *Error) Title() string { return http.StatusText(e.Status) }

// New returns an Error whose detail is formatted from format and args.
func New(status int, reason, format string, args ...any) *Error {
	return &Error{Status: status, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// From returns the *Error that err wraps, or a 500 with reason "internal" if there is none.
func From(err error) *Error {
	if replyErr := new(Error); errors.As(err, &replyErr) {
		return replyErr
	}
	return New(http.StatusInternalServerError, "internal", "%v", err)
}
