package policy

import (
	"fmt"
	"time"
)

// ExceptionsWarningLimit is the number of exceptions above which Lint returns a warning:
// a longer list indicates that a default is wrong.
const ExceptionsWarningLimit = 20

// Lint returns warnings about the exceptions of the document: too many of them, or
// exceptions that have ended, have no effect or never apply. Documents with warnings are
// valid.
func (d *Document) Lint(now time.Time) []string {
	var warnings []string
	if count := len(d.Exceptions); count > ExceptionsWarningLimit {
		warnings = append(warnings, fmt.Sprintf("there are %d exceptions, more than %d: consider a change of the defaults", count, ExceptionsWarningLimit))
	}
	for i := range d.Exceptions {
		if warning := d.lintException(i, now); warning != "" {
			warnings = append(warnings, warning)
		}
	}
	return warnings
}

// lintException returns a warning about the i-th exception, or "".
func (d *Document) lintException(i int, now time.Time) string {
	e := &d.Exceptions[i]
	if e.Ended(now) {
		return fmt.Sprintf("exception %s ended at %s: remove it", e.Name, e.Until.Format(time.RFC3339))
	}
	if d.Defaults.overlay(e.Limits) == d.Defaults {
		return fmt.Sprintf("exception %s has no effect: its limits are the defaults", e.Name)
	}
	for j := range d.Exceptions[:i] {
		earlier := &d.Exceptions[j]
		if !earlier.Ended(now) && earlier.covers(e) && !endsBefore(earlier, e) {
			return fmt.Sprintf("exception %s never applies: %s comes first and matches all that it matches", e.Name, earlier.Name)
		}
	}
	return ""
}

// endsBefore reports whether a ends while b still applies.
func endsBefore(a, b *Exception) bool {
	return !a.Until.IsZero() && (b.Until.IsZero() || a.Until.Before(b.Until))
}
