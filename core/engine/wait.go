package engine

import (
	"cmp"
	"slices"
	"time"

	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/orgs"
	"tanagerstack.org/core/roster"
)

// waitReason tells why a job with tasks to start waits.
type waitReason string

// Reasons why a job waits.
const (
	// waitsForEarlierRuns means that runs of its tasks, or of its organization, may be left that are
	// not known here, or that earlier runs of its gang have not ended.
	waitsForEarlierRuns waitReason = "earlier-runs"
	// waitsForCap means that a task would bring the organization above its cap.
	waitsForCap waitReason = "cap"
	// waitsForShare means that there is too little capacity, and others go first because the job is
	// excess or its organization uses its fair share.
	waitsForShare waitReason = "share"
	// waitsForAdvice means that the job has no valid ticket.
	waitsForAdvice waitReason = "advice"
	// waitsForWorkers means that the tasks would not fit if all workers were empty that may run them.
	waitsForWorkers waitReason = "workers"
	// waitsForCapacity means that there is too little capacity that is not kept for others.
	waitsForCapacity waitReason = "capacity"
)

const (
	// minLoggedWait is the shortest wait that is logged. Most jobs wait that long for their tickets.
	minLoggedWait = 300 * time.Millisecond
	// waitLogInterval is the shortest time between two log lines about the wait of a job: where the
	// workers are full, the reason alternates between advice and capacity.
	waitLogInterval = time.Second
)

// wait is why a job waits.
type wait struct {
	reason waitReason
	// since is the beginning of the wait and notedAt the last time at which the job waited.
	since, notedAt time.Time
	// logged is the reason in the last log line about this wait, and loggedAt the time of it.
	logged   waitReason
	loggedAt time.Time
}

// noteWait records why a job waits, and logs changes of the reason. The first reason of a pass counts,
// that of the job's most urgent step.
func (e *Engine) noteWait(now time.Time, j *job, reason waitReason) {
	if e.opts.Logger == nil || !e.config.HasOrganizations() {
		return
	}
	w := &j.wait
	if w.notedAt.Equal(now) {
		return
	}
	if now.Sub(w.notedAt) > waitLogInterval {
		*w = wait{since: now}
	}
	w.reason, w.notedAt = reason, now
	if reason == w.logged || now.Sub(w.since) < minLoggedWait || now.Sub(w.loggedAt) < waitLogInterval {
		return
	}
	w.logged, w.loggedAt = reason, now
	keysAndValues := []any{"job", j.ID, "queue", j.Queue.Name, "reason", string(reason), "organization", j.Organization, "excess", j.excess,
		"waited", now.Sub(w.since), "age", now.Sub(j.ArrivedAt), "late-by", now.Sub(j.deadline), "config", e.config.Version}
	if o := j.organization; o != nil {
		keysAndValues = append(keysAndValues, "usage", o.usage, "earlier", o.earlier, "fair-share", o.fairShare)
		if o.entry != nil {
			keysAndValues = append(keysAndValues, "cap", o.entry.Cap)
		}
	}
	e.log("job waits", keysAndValues...)
}

// capReason returns why no task of a step may start for which waitsForCap reports true.
func (e *Engine) capReason(s *step) waitReason {
	o := s.job.organization
	if o.entry == nil || o.unknownRuns > 0 || e.unknownJobsMayRun() {
		return waitsForEarlierRuns
	}
	if o.earlier != (roster.Resources{}) && ledger.Fits(s.PerTask, ledger.Difference(unboundedWhereZero(o.entry.Cap), o.usage)) {
		return waitsForEarlierRuns
	}
	return waitsForCap
}

// reasonOf returns why tasks of a step found no capacity.
func (e *Engine) reasonOf(p *pass, s *step) waitReason {
	switch {
	case s.job.Queue.Advice != nil && !s.advice.hasTicket(p.now):
		return waitsForAdvice
	case s.job.excess, e.shareOrder() && p.tasksToFairShare(s) == 0 && s.job.organization.fairShare < 1:
		return waitsForShare
	default:
		return waitsForCapacity
	}
}

// OrganizationUse is what an organization uses and may use.
type OrganizationUse struct {
	Name string
	// Usage is the request of its runs that may exist. Earlier is that of tasks which may have runs of
	// an earlier leader that are not known yet; it counts against the cap as well. Cap is zero where
	// there is no limit.
	Usage, Earlier, Cap roster.Resources
	// Waiting is the number of jobs that have not started.
	Waiting int
}

// OrganizationUses returns the organizations of the configuration in force, at most limit of them:
// those with the highest weights, the highest first.
func (e *Engine) OrganizationUses(limit int) []OrganizationUse {
	if !e.config.HasOrganizations() {
		return nil
	}
	entries := slices.Clone(e.config.Organizations.All())
	slices.SortStableFunc(entries, func(a, b orgs.Organization) int { return cmp.Compare(b.Weight, a.Weight) })
	entries = entries[:min(limit, len(entries))]
	waiting := make(map[string]int)
	for _, j := range e.active {
		if !j.started {
			waiting[j.Organization]++
		}
	}
	list := make([]OrganizationUse, 0, len(entries))
	for _, entry := range entries {
		use := OrganizationUse{Name: entry.Name, Cap: entry.Cap, Waiting: waiting[entry.Name]}
		if o := e.organizations[entry.Name]; o != nil {
			use.Usage, use.Earlier = o.usage, o.earlier
		}
		list = append(list, use)
	}
	return list
}
