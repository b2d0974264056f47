// Package engine decides what runs where on the workers of a cell.
//
// The model: an Engine takes events (a job was accepted, a worker was seen, a
// start was answered, time passed) and returns commands (start a run, stop one,
// ask the adviser, record progress). It has no clock, socket or goroutine, so
// that it can be tested in simulated time. One VM of the cell, the leader,
// runs an Engine; an Engine lives for one epoch of the leadership.
//
// What keeps a task from running twice and a worker from being overloaded:
//
//   - An Engine starts nothing on a worker before it has looked at it: a look
//     raises the worker's fence to the epoch, so that orders of earlier leaders
//     are dropped there, and lists everything that runs there.
//   - Each start that may have reached a worker counts as a run there, with its
//     room, until there is proof of its end: the worker lists the end, a look
//     that was sent after a stop was confirmed does not list the run, or the
//     worker's lease must have lapsed by the slowest clock it may have.
//   - Ends are confirmed to a worker only after the progress that they made is
//     committed, so the next leader finds each end at the worker or in the store.
//   - Jobs from an earlier epoch wait until each worker that the earlier leader
//     may have used was looked at, or its leases must have lapsed.
package engine
