// Package engine decides which tasks run on which workers of a cell.
//
// An Engine handles events (a job was accepted, a worker was polled, a start was answered, time
// passed) and returns commands (start a run, stop a run, request advice, record progress). It has
// no clock, socket or goroutine, so that it can be tested in simulated time. One VM of the cell,
// the leader, runs an Engine. An Engine is used for one epoch of the leadership.
//
// These rules keep a task from running twice and a worker from being overloaded:
//
//   - An Engine starts nothing on a worker before it has polled it. A poll raises the worker's
//     fencing token to the epoch, so that the worker drops commands of earlier leaders, and it
//     lists everything that runs there.
//   - Each start that may have reached a worker counts as a run there and occupies capacity until
//     its end is proved: the worker reports the result, a poll that was sent after a confirmed
//     stop does not list the run, or the worker's lease must have expired even if its clock runs
//     as slowly as it may, at a time when no later leader can have renewed it.
//   - An Engine starts runs and grants leases only until the end of its term, which each proof of
//     its leadership extends.
//   - A run whose worker crashes counts as a suspect. After several crashes its task runs alone on
//     a worker, and is given up if that one crashes too.
//   - Results are acknowledged to a worker only after the progress that they caused is committed,
//     so the next leader finds each result either at the worker or in the store.
//   - Nothing starts that would bring what an organization may have running above its cap. Each run
//     counts that may exist on any worker, and after a takeover each task that may have one.
//   - Jobs from an earlier epoch wait until each worker that the previous leader may have used
//     was polled, or its leases must have expired.
package engine
