// Package burn measures service levels and how fast their error budgets burn.
//
// The model: each finished request is a Sample of a caller and class. A
// Recorder counts samples into one-minute slots of an HDR histogram, a number
// for each caller and class, and forgets slots that have left the longest
// window. Snapshots of several entry VMs merge into one report. A burn rate is
// the share of bad requests in a window, divided by the share that the
// objective allows: at 1 the budget lasts exactly its period.
package burn
