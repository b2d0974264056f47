// Package cell implements an entry VM's part in the scheduler of a cell.
//
// All VMs of a cell run the same Node. Each accepts jobs from callers and stores them; a job is
// accepted once its row is committed. One VM, the leader, follows the stored jobs and the
// directory of workers, runs the engine and executes its commands. The leader is the VM that
// wrote the leader row last. The epoch of the row is the fencing token of all its commands, which
// ends those of an earlier leader on each worker that a later one reaches. On the others, a leader
// that was replaced without noticing acts until the end of its term, which the next leader waits
// for. The other VMs, the followers, send heartbeats to the leader, send advice requests to the
// adviser for it, and forward status requests to it. If it does not answer, they read the store
// instead. A leader with many workers sends its commands through some of the followers, the
// relays, each of which exchanges messages with the workers near it. A relay makes no decisions.
//
// The tables, all in the platform's store:
//
//   - jobs: JOB holds a job as it was accepted, or a marker that it was refused; JOB/cancel
//     exists once the job was canceled.
//   - progress: JOB holds the recorded progress of the job.
//   - leader: "cell" names the leader and the workers that may have runs of it or of an
//     earlier leader; "epoch" changes only when the leader does, so that a write of the leader
//     can depend on it.
package cell
