// Package burn measures service levels and the burn rates of their error budgets.
//
// Each finished request is a Sample of a series, which is a pair of caller and class. A
// Recorder counts the samples of each series, with an HDR histogram of waiting times,
// in slots of one minute for the last hour and in slots of half an hour for the longest
// window. Older slots are overwritten, so memory is bounded. A Snapshot holds the
// counts of the windows that end at one instant; Merge adds the snapshots of several
// entry VMs. Report compares a snapshot with the objectives of the active policy.
// Predict estimates how many requests of the last hour a policy would have refused.
//
// A burn rate is the share of bad requests in a window divided by the share that the
// objective allows: at 1 the budget lasts exactly its period. Which requests are bad is
// decided when the report is made, so a change of an objective takes effect at once.
package burn
