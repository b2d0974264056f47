// Package lease decides who schedules the jobs of a failure domain.
//
// The model: each failure domain has one lease row in the platform's tables. It
// names the holder, an epoch that grows by one with each holder, and a deadline.
// The holder renews early and checks its stored deadline right before each
// command; another entry VM may take the lease only after the deadline plus the
// greatest clock skew. Workers reject commands of an older epoch.
//
// The row also records the latest deadline that any holder gave to a task, so
// that a new holder knows how long to wait for workers that don't answer.
//
// A holder that is cut off from the platform may go on with an Extension: every
// voter (each entry VM of the stored roster, as the row names them) promises not
// to take the lease before a bounded instant. One missing promise, and the grant
// ends with the row's deadline. A VM that the row does not name as a voter takes
// the lease only when none of the voters is in the stored roster any more; one
// that was just started first waits as long as a promise can last.
package lease
