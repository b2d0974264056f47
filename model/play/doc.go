// Package play drives the scheduler's engine through a load in simulated time.
//
// The model: a Scene describes a fleet of workers, an adviser and the queues that
// callers use. Play draws jobs from a seed and lets them arrive, carries out the
// engine's commands on simulated workers, and returns what callers got. Nothing
// else of the product takes part: no store, network or clock.
//
// It is for comparing decisions: the same seed gives the same jobs to each policy.
// What jobs are worth follows the platform's published rules: a job is worth its
// whole value if it is done within its objective, a fifth within three times as
// long, and nothing later.
package play
