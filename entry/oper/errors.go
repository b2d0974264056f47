package oper

import (
	"errors"
	"fmt"

	"tanagerstack.org/core/policy"
)

// ErrNoPolicy means that no version of the policy is in force on this VM.
var ErrNoPolicy = errors.New("no policy is in force yet")

// ErrTablesUnavailable means that a change was refused since the platform's
// tables were not reached. Nothing was changed.
var ErrTablesUnavailable = errors.New("the platform's tables are not reachable; nothing was changed")

// ErrUnconfirmed means that a change may have been accepted: its write was not
// confirmed in time.
var ErrUnconfirmed = errors.New("the change was not confirmed and may have been accepted; look at the history before another try")

// FieldError reports a field of a call that is at fault.
type FieldError struct {
	Field    string
	Detail   string
	Accepted string
}

// Error names the field.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s (accepted: %s)", e.Field, e.Detail, e.Accepted)
}

// VersionConflictError means that another version was accepted first.
type VersionConflictError struct {
	// Current is the newest accepted version.
	Current *policy.Version
	// Difference has the lines that differ between the expected version and Current.
	Difference string
}

// Error names the version.
func (e *VersionConflictError) Error() string {
	return fmt.Sprintf("version %d by %s was accepted first", e.Current.Number, e.Current.Author)
}

// NotFoundError means that what was asked for does not exist.
type NotFoundError struct{ What string }

// Error names it.
func (e *NotFoundError) Error() string { return e.What + " does not exist" }
