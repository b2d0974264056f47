package oper

import (
	"errors"
	"fmt"

	"tanagerstack.org/core/policy"
)

// ErrNoPolicy means that no policy version is in force on this VM.
var ErrNoPolicy = errors.New("no policy is in force yet")

// ErrTablesUnavailable means that the platform's tables could not be read or written. The policy
// was not changed.
var ErrTablesUnavailable = errors.New("the platform's tables are not reachable; nothing was changed")

// ErrUnconfirmed means that a change may or may not have been accepted: its write was not confirmed
// in time.
var ErrUnconfirmed = errors.New("the change was not confirmed and may have been accepted; look at the history before another try")

// FieldError reports an invalid field of a call.
type FieldError struct {
	// Field is the name of the field.
	Field string
	// Detail says what is wrong with the value.
	Detail string
	// Accepted describes the accepted values.
	Accepted string
}

// Error returns the field, the detail and the accepted values.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s (accepted: %s)", e.Field, e.Detail, e.Accepted)
}

// VersionConflictError means that another version was accepted first.
type VersionConflictError struct {
	// Current is the newest accepted version.
	Current *policy.Version
	// Difference lists the lines that differ between the expected version and Current.
	Difference string
}

// Error returns the number and the author of the current version.
func (e *VersionConflictError) Error() string {
	return fmt.Sprintf("version %d by %s was accepted first", e.Current.Number, e.Current.Author)
}

// NotFoundError means that the requested resource does not exist.
type NotFoundError struct{ Resource string }

// Error returns the name of the resource and says that it does not exist.
func (e *NotFoundError) Error() string { return e.Resource + " does not exist" }
