package policy

import "time"

// Limits returns the limits of a request of caller, class and service at now, and the
// name of the exception that applies, or "" if there is none.
//
// The first exception in the document that matches and has not ended applies. The limits
// that it sets replace the defaults.
func (d *Document) Limits(caller, class, service string, now time.Time) (Limits, string) {
	for i := range d.Exceptions {
		e := &d.Exceptions[i]
		if e.Matches(caller, class, service) && !e.Ended(now) {
			return d.Defaults.overlay(e.Limits), e.Name
		}
	}
	return d.Defaults, ""
}

// LongestWindow returns the longest window that any request may have. Windows of ended
// exceptions count too, since requests admitted under them may still be running.
func (d *Document) LongestWindow() time.Duration {
	longest := d.Defaults.Window
	for i := range d.Exceptions {
		longest = max(longest, d.Exceptions[i].Limits.Window)
	}
	return time.Duration(longest)
}

// Matches reports whether the exception matches requests of caller, class and service.
// It ignores Until.
func (e *Exception) Matches(caller, class, service string) bool {
	return matches(e.Caller, caller) && matches(e.Class, class) && matches(e.Service, service)
}

// Ended reports whether the exception has an end that is not after now.
func (e *Exception) Ended(now time.Time) bool {
	return !e.Until.IsZero() && !now.Before(e.Until)
}

// covers reports whether e matches all requests that other matches.
func (e *Exception) covers(other *Exception) bool {
	return matches(e.Caller, other.Caller) && matches(e.Class, other.Class) && matches(e.Service, other.Service)
}

// matches reports whether a field of an exception matches name.
func matches(pattern, name string) bool {
	return pattern == "" || pattern == name
}

// overlay returns l with its fields replaced by the nonzero fields of other.
func (l Limits) overlay(other Limits) Limits {
	return Limits{
		RequestsPerSecond: orDefault(l.RequestsPerSecond, other.RequestsPerSecond),
		Burst:             orDefault(l.Burst, other.Burst),
		Concurrent:        orDefault(l.Concurrent, other.Concurrent),
		BodyBytes:         orDefault(l.BodyBytes, other.BodyBytes),
		Window:            orDefault(l.Window, other.Window),
		JobTasks:          orDefault(l.JobTasks, other.JobTasks),
		PendingJobs:       orDefault(l.PendingJobs, other.PendingJobs),
	}
}

// orDefault returns value, or fallback if value is zero.
func orDefault[T comparable](fallback, value T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
