// Package slope measures what processes use and how that grows with a size.
//
// The model: a Process is watched for a while, which gives a Usage: processor
// time, memory and traffic, each as a rate or an amount. Usages at several sizes
// of one role are Points; Fit draws a straight line through them for each
// measure, so that a larger size can be worked out. The spread of a line is the
// largest distance of a point from it.
package slope
