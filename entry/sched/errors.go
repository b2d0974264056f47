package sched

import (
	"errors"
	"fmt"
	"time"
)

// ErrNotFound means that the caller has no job of that identifier.
var ErrNotFound = errors.New("no such job")

// ErrUnconfirmed means that the platform did not say whether the job's row was
// written. The caller may ask again with the same key.
var ErrUnconfirmed = errors.New("the job may or may not have been accepted")

// Reasons of a RefusedError.
const (
	ReasonNoPolicy     = "no-policy"
	ReasonUnknown      = "unknown-caller"
	ReasonUnknownWork  = "unknown-work"
	ReasonBadField     = "invalid-field"
	ReasonWindow       = "window-passed"
	ReasonTooManyTasks = "too-many-tasks"
	ReasonNeverFits    = "can-never-fit"
	ReasonOverQuota    = "over-quota"
	ReasonTooManyJobs  = "too-many-jobs"
	ReasonStoreDown    = "store-unavailable"
)

// RefusedError says that a job was not accepted and that nothing of it runs.
type RefusedError struct {
	// Reason is machine-readable, in kebab case.
	Reason string
	// Detail says what was wrong, with the numbers.
	Detail string
	// Field names the field at fault and Accepted what it may be, if one is.
	Field    string
	Accepted string
	// RetryAt is the earliest instant at which another try makes sense; zero if none does.
	RetryAt time.Time
}

// Error returns the reason and the detail.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("job refused: %s: %s", e.Reason, e.Detail)
}
