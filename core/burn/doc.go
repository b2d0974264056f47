// Package burn measures service levels and how fast their error budgets burn.
//
// The model: each finished request is a Sample of a caller and class. A
// Recorder counts samples into one-minute slots, with an HDR histogram of
// waiting times for each series, which is a caller and class. Slots older than
// an hour merge into slots of half an hour, and these are forgotten after the
// longest window, so memory is bounded. A Snapshot holds the windows that end
// now; snapshots of several entry VMs merge into one. A Report compares a
// snapshot with the objectives of the policy in force.
//
// A burn rate is the share of bad requests in a window, divided by the share
// that the objective allows: at 1 the budget lasts exactly its period. Which
// requests are bad is decided when the report is made, so a change of an
// objective shows at once.
package burn
