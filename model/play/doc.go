// Package play runs the scheduler's engine under a load in simulated time.
//
// A Scenario describes a fleet of workers, an adviser and the queues that callers use.
// Simulate draws jobs from a seed, submits them at their arrival times, executes the
// engine's commands on simulated workers and returns what callers got. The engine is the
// only part of the product that runs: there is no store, network or clock.
//
// The package compares scheduling decisions: the same seed gives the same jobs to each
// policy. The value of a job follows the platform's published rules: a job yields its full
// value if it is done within its objective, a fifth of it within three times the objective,
// and nothing later.
package play
