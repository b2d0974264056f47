// Package jobs defines the data model of batch and gang jobs in a cell.
//
// A caller submits a Job to a Queue. A job is a list of steps. Each Step is a
// number of identical tasks, which may start once all tasks of the steps that it
// depends on are done. A recurring job runs its steps several times; each
// repetition is an occurrence. One attempt to execute a task on a worker is a
// run. The runs of a task have increasing numbers. How a run ended (End) decides
// whether the task is done or needs another run.
//
// A Job is immutable once it is accepted; Progress holds its execution state.
// Both are stored as CBOR rows.
package jobs
