// Package worker implements fake worker agents.
//
// A Fleet holds many agents, each with a capacity. A task is not a process: its
// Command specifies how long it runs and what it uses, and the agent computes the
// progress from the clock. A task runs under a lease and expires at the deadline
// of the lease. Requests from a lease holder carry its epoch; an agent rejects an
// epoch that is older than the newest one it has seen.
//
// All agents of a Fleet share one record. A task that runs on two agents at
// once is recorded as doubled. A start that does not fit in the capacity left by
// running tasks is refused and recorded as an overload, because the scheduler must
// never place a task there.
package worker
