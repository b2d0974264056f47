// Package sched schedules the jobs of a failure domain.
//
// The model: any entry VM may accept a job. A job is accepted once its row is
// committed in the platform's tables; a row in the domain's inbox then tells the
// domain's lease holder of it, and a peer message tells it sooner.
//
// Only the lease holder places tasks. While an entry VM holds the lease it has a
// holder: the jobs that have not ended, a ledger of what each worker may carry, a
// queue, and a link to each worker. Controllers act on that state, each a loop of
// its own:
//
//   - leader starts a holder when the lease is won and ends it when it is lost;
//   - link sends one worker its starts, renewals and stops, one at a time;
//   - placer walks the queue and reserves workers;
//   - recorder writes changed jobs to the tables, one row a job;
//   - watcher follows the roster and ends what can't run any more.
//   - inbox reads which jobs are new or changed.
//
// Three rules keep a task from running twice. A command goes out only under a
// valid grant, and carries its epoch and an instant after which it is void. A
// task that may be on a worker is charged there until there is proof that it is
// not. A new holder fences and lists every worker that may have tasks, or waits
// out the latest lease that was given, before it starts a task of an older job.
package sched
