// Package ledger accounts for the capacity that tasks occupy on the workers of a failure domain.
//
// A worker has a capacity, and each task that may be on it is a charge against that capacity. A
// charge is Reserved (decided, nothing sent), Unconfirmed (a start was sent and its outcome is
// not known) or Running. All three count in full. A charge is released only with a Proof that the
// task is not on the worker: nothing was sent, the worker reports so, or the task's lease has
// expired by every clock. A task whose state is not known therefore counts as running.
//
// A Ledger only holds state: it has no clock, and times are arguments. It is not safe for
// concurrent use.
package ledger
