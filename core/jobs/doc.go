// Package jobs has the model of batch and gang work on the workers of a cell.
//
// The model: a caller submits a Job to a Queue. A job is a list of steps; each
// Step is a number of like Tasks, which start once all tasks of the steps that
// it comes after are done. A recurring job runs its steps several times, each
// time as an Occurrence. A task is started as a Run on one worker; runs of a
// task are numbered, and the number only rises. A run ends, and depending on how
// it ended the task is done or is started again.
//
// A Job never changes once it is accepted. What became of it is its Progress.
// Both are stored as rows in a compact encoding.
package jobs
