// Package learn predicts how long tasks run from the runs that were observed before.
//
// A Model is given the duration of each run that ended and, as a lower bound, the age of runs that
// were stopped or are still going on. It predicts the quantiles of a task's duration from what it
// knows about the task's queue, organization, step and kind of worker, and from the caller's
// estimate:
//
//	logarithm of the duration = line(estimate) + effect(worker kind) + effect(step) + residual
//
// For each organization in a queue there is a line, effects, and a histogram of the residuals. What a
// queue's organizations have in common is pooled from all that are no outliers, each with a limited
// weight, so that neither many tasks nor extreme values of one organization move it far. An
// organization of which little is known falls back to that and, if too few organizations are known,
// to the estimate. Older observations have less weight.
//
// A Model has no clock and starts no goroutine. It is not safe for concurrent use.
package learn
