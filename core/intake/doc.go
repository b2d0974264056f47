// Package intake decides whether a VM accepts a job when it is submitted.
//
// The leader takes a Snapshot of its load and sends it with its heartbeat
// replies. Each VM decides by the last one that it got, less what it has
// accepted since. Decide is a pure function of the snapshot, the request
// and an instant.
//
// The prediction is optimistic: it counts only work that is known to go
// first, and what is uncertain is accepted. So a refusal means that the job
// could not have earned anything, or that its organization sends more than
// its weight while the queue is too full for the jobs of others, or while
// the work that organizations are owed leaves no capacity for it.
package intake
