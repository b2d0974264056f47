// Package slope measures the resource usage of processes and how it grows with a size.
//
// Watch measures the Usage of a Process over a period: processor time, memory and
// traffic, each as a rate or an amount. Usages at several sizes of one role are
// Points. Fit fits a straight line to them for each measure, to extrapolate to a
// larger size. The spread of a line is the largest distance of a point from it.
package slope
