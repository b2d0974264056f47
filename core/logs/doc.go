// Package logs writes structured log lines to an output without blocking the caller.
//
// A line is a message with key-value pairs, written as one JSON object. Lines go
// through a bounded queue to a single writer. If the output is slower than the
// callers, lines are dropped and counted, and the count is logged once the output
// accepts lines again. The last part of the queue is reserved for warnings, so
// that lines about failures are the last to be dropped.
package logs
