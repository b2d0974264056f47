// Package lease decides who schedules the jobs of a failure domain.
//
// The model: each failure domain has one lease row in the platform's tables. It
// names the holder, an epoch that grows by one with each holder, and a deadline.
// The holder renews early and checks its stored deadline right before each
// command; another entry VM may take the lease only after the deadline plus the
// greatest clock skew. Workers reject commands of an older epoch.
package lease
