// Package ledger counts what each worker of a failure domain carries.
//
// The model: a worker has a capacity, and each task that may be on it is a
// charge against that capacity. A charge is Reserved (decided, nothing sent),
// Unsettled (a start was sent and its outcome is not known) or Running. All three
// count in full. A charge goes only with a Proof that the task is not on the
// worker: nothing was sent, the worker says so, or the task's lease has lapsed by
// every clock. What is not known therefore counts as running.
//
// A Ledger is state for pure decisions: it has no clock, and instants are
// arguments. It is not safe for concurrent use.
package ledger
