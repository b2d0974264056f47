// Package worker is a stand-in for worker agents.
//
// The model: a Fleet holds many agents, each with a capacity. A task is not a
// process: it is a Command, read once, that says how long the task runs and what
// it uses, and the agent works out from the clock how far it has come. A task
// runs under a lease and lapses at the lease's deadline. Commands carry the epoch
// of the lease holder; an agent rejects an epoch older than the newest it saw.
//
// The agents keep a common record. A task that runs in two places at once is
// recorded as doubled. A start that does not fit next to the running tasks is not
// run, and is recorded as an overload, because the scheduler must never plan it.
package worker
