// Package logs writes structured lines to one output without ever blocking.
//
// The model: a line is a message and keys with values, written as one JSON
// object. Lines go through a bounded queue to a single writer. Where the output
// is slower than the lines, lines are dropped and counted; the count is written
// once there is room again. Warnings may use the last part of the queue, which
// plain lines may not, so that decisions on failures are the last to go.
package logs
