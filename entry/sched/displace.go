package sched

import (
	"fmt"
	"time"

	"tanagerstack.org/core/api/caller"
	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/place"
	"tanagerstack.org/core/queue"
	"tanagerstack.org/core/roster"
)

const (
	// displaceAgain is the wait before more tasks are stopped for the same job.
	displaceAgain = 2 * time.Second
	// defaultGangReservation is used where the policy names none.
	defaultGangReservation = 2 * time.Minute
)

// displaceFor stops batch tasks after a checkpoint, so that an urgent job fits.
// Their room is free for it once the workers say that they have stopped; urgent
// jobs are first in the queue then. The lock must be held.
func (h *holder) displaceFor(j *job, d place.Demand, now time.Time) {
	if now.Before(j.displaceAt) {
		return
	}
	found := place.Preempt(&h.ledger, d, h.victims())
	j.displaceAt = now.Add(displaceAgain)
	if len(found) == 0 {
		j.displaceAt = now.Add(placeEvery)
	}
	for _, displacement := range found {
		for _, victim := range displacement.Victims {
			h.displace(h.links[displacement.Worker], victim.Task, "displaced by urgent job "+j.row.ID)
		}
	}
}

// displace stops a running task after a checkpoint; it is placed again later. The
// lock must be held.
func (h *holder) displace(l *link, key ledger.Task, why string) {
	j := h.jobs[key.Job]
	if j == nil || j.tasks[key.Index].phase != running {
		return
	}
	j.set(key.Index, stopping)
	j.tasks[key.Index].reason = why
	h.trace(j.row.ID, "displace", "stopping", fmt.Sprintf("task %d on %s: %s", key.Index, l.name, why))
	h.orderStop(l, key, true)
}

// victims are the running tasks of batch jobs that are not urgent, by worker. The
// lock must be held.
func (h *holder) victims() map[string][]place.Victim {
	victims := make(map[string][]place.Victim)
	for _, j := range h.jobs {
		if j.row.Spec.Urgent.Value || j.row.Spec.Kind != caller.JobSpecKindBatch || j.ends != "" {
			continue
		}
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.phase != running {
				continue
			}
			c, _ := h.ledger.Find(t.worker, j.key(i))
			victims[t.worker] = append(victims[t.worker], place.Victim{Task: j.key(i), Amount: c.Amount, StartedAt: t.startedAt})
		}
	}
	return victims
}

// moveServices stops the tasks of services on a leaving worker; they are placed
// elsewhere. Batch tasks run on, and gang tasks too. The lock must be held.
func (h *holder) moveServices(l *link) {
	for _, c := range h.ledger.ChargesOf(l.name) {
		j := h.jobs[c.Task.Job]
		if j != nil && j.row.Spec.Kind == caller.JobSpecKindService {
			h.displace(l, c.Task, "worker "+l.name+" is leaving")
		}
	}
}

// reserveFor sets workers aside for a gang, or a task of an aged batch job, that
// does not fit. One job at a time has a reservation, so that two can't wait for
// each other. The lock must be held.
func (h *holder) reserveFor(j *job, d place.Demand, now time.Time) {
	if h.reserved != nil && h.reserved.Job != j.row.ID && now.Before(h.reserved.Until) {
		return
	}
	until := now.Add(h.gangReservation())
	if h.reserved != nil && h.reserved.Job == j.row.ID {
		until = h.reserved.Until
	}
	if now.Before(j.reserveAt) {
		return
	}
	d.Reserved = nil
	r, ok := place.Reserve(&h.ledger, j.row.ID, d, h.releases())
	if !ok {
		return
	}
	if h.reserved == nil || h.reserved.Job != j.row.ID {
		h.trace(j.row.ID, "reserve", "reserved", fmt.Sprintf("%d workers until %s; expected to fit at %s",
			len(r.PerWorker), until.Format(time.RFC3339), r.ReadyAt.Format(time.RFC3339)))
	}
	r.UpdatedAt, r.Until = now, until
	h.reserved = &r
}

// dropReservation ends a reservation that is used, void or too old. A gang whose
// reservation aged out waits as long before it gets another. The lock must be held.
func (h *holder) dropReservation(now time.Time) {
	if h.reserved == nil {
		return
	}
	j := h.jobs[h.reserved.Job]
	switch {
	case j == nil || j.pending == 0 || j.ends != "" || j.placedAt.After(h.reserved.UpdatedAt):
	case now.After(h.reserved.Until):
		j.reserveAt = now.Add(h.gangReservation())
		h.trace(j.row.ID, "reserve", "aged-out", "other jobs get their turn")
	default:
		return
	}
	h.reserved = nil
	h.queueChanged()
}

// heldFrom is the room that a job must leave free for the gang with the
// reservation. Work that is expected to end before the gang fits may use it. The
// lock must be held.
func (h *holder) heldFrom(j *job, now time.Time) map[string]roster.Resources {
	r := h.reserved
	if r == nil || r.Job == j.row.ID || j.row.Spec.Urgent.Value {
		return nil
	}
	learned := h.learned[workload{j.row.Caller, j.row.Spec.Work}]
	run := learned.expectedRun(j.row.Spec.ExpectedRun)
	if run > 0 && now.Add(run).Before(r.ReadyAt) {
		return nil
	}
	return r.PerWorker
}

// releases are the expected ends of running tasks, by worker. The lock must be held.
func (h *holder) releases() map[string][]place.ExpectedRelease {
	releases := make(map[string][]place.ExpectedRelease)
	for _, j := range h.jobs {
		learned := h.learned[workload{j.row.Caller, j.row.Spec.Work}]
		run := learned.expectedRun(j.row.Spec.ExpectedRun)
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.worker == "" || (t.phase != running && t.phase != starting && t.phase != stopping) {
				continue
			}
			c, _ := h.ledger.Find(t.worker, j.key(i))
			release := place.ExpectedRelease{Amount: c.Amount}
			if j.row.Spec.Kind != caller.JobSpecKindService {
				release.EndsAt = expectedEnd(t, run, j.row.Spec.NotAfter)
			}
			releases[t.worker] = append(releases[t.worker], release)
		}
	}
	return releases
}

// expectedEnd is when a task should end: by its run time, or else by its window.
func expectedEnd(t *task, run time.Duration, notAfter time.Time) time.Time {
	if run <= 0 || t.startedAt.IsZero() {
		return notAfter
	}
	return earliest(t.startedAt.Add(run), notAfter)
}

func (h *holder) gangReservation() time.Duration {
	if document := h.s.document(); document != nil && document.Jobs.GangReservation > 0 {
		return time.Duration(document.Jobs.GangReservation)
	}
	return defaultGangReservation
}

// queueChanged makes all waiting jobs try again. The lock must be held.
func (h *holder) queueChanged() {
	h.generation++
	signal(h.wake)
}

// demandOf is the demand for n tasks of a job. The lock must be held.
func (h *holder) demandOf(j *job, it queue.Item, n int, now time.Time) place.Demand {
	return place.Demand{PerTask: it.PerTask, Count: n, Strategy: j.policy(), Avoid: j.failedOn, Reserved: h.heldFrom(j, now)}
}
