package engine

import (
	"math"
	"slices"
	"strings"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/orgs"
	"tanagerstack.org/core/roster"
)

// The cap of an organization limits what its runs take on all workers together. A run counts with the
// full request of its task from its command on until its end is proved, as it does on its worker.
// After a takeover the runs of earlier leaders are known only once their workers have been polled.
// Until then each task counts that may have one. Nothing of this is stored.

// organization is what the runs of one organization take, and what the configuration allows them.
type organization struct {
	name string
	// entry is the organization's entry in the configuration in force, or nil.
	entry *orgs.Organization
	// usage is the request of all runs that may exist. unknownRuns counts those of them whose request
	// is not known.
	usage       roster.Resources
	unknownRuns int
	// earlier is the request of the tasks that may have a run of an earlier leader which is not known
	// here, as of the last pass.
	earlier roster.Resources
	bucket  excessBucket
	// submissions is the rate at which the organization submits jobs.
	submissions submissionRate
	// busy is set if the organization has runs or ready steps, and fairShare is its share of the
	// workers, from 0 to 1, both as of the last pass.
	busy      bool
	fairShare float64
}

// charge is what a run adds to the usage of an organization.
type charge struct {
	organization *organization
	request      roster.Resources
	unknown      bool
}

// organizationOf returns the state of an organization, or nil for the empty name, which jobs without
// organization have.
func (e *Engine) organizationOf(name string) *organization {
	if name == "" {
		return nil
	}
	o := e.organizations[name]
	if o == nil {
		o = &organization{name: name}
		e.organizations[name] = o
		i, _ := slices.BinarySearchFunc(e.sortedOrganizations, name, func(o *organization, name string) int { return strings.Compare(o.name, name) })
		e.sortedOrganizations = slices.Insert(e.sortedOrganizations, i, o)
		o.setEntry(e.config)
	}
	return o
}

// organizationsChanged applies a new configuration to the organizations.
func (e *Engine) organizationsChanged() {
	for _, o := range e.sortedOrganizations {
		o.setEntry(e.config)
	}
}

// setEntry sets the organization's entry to that in a configuration.
func (o *organization) setEntry(config *jobs.Config) {
	o.entry = nil
	if !config.HasOrganizations() {
		return
	}
	if entry, listed := config.Organizations.ByName(o.name); listed {
		o.entry = entry
	}
}

// capped reports whether the configuration limits what the organization may have running.
func (o *organization) capped() bool { return o.entry != nil && o.entry.Cap != roster.Resources{} }

// chargeRun adds a run to the usage of its organization.
func (e *Engine) chargeRun(r *run) {
	j := e.jobs[r.task.Job]
	if j == nil || j.organization == nil || r.charge.organization != nil {
		return
	}
	c := charge{organization: j.organization, unknown: true}
	if r.task.Step >= 0 && r.task.Step < len(j.Steps) {
		c.request, c.unknown = j.Steps[r.task.Step].PerTask, false
	}
	r.charge = c
	c.organization.usage = ledger.Sum(c.organization.usage, c.request)
	if c.unknown {
		c.organization.unknownRuns++
	}
	j.runs++
}

// releaseCharge removes a run that has ended from the usage of its organization.
func (e *Engine) releaseCharge(r *run) {
	c := r.charge
	if c.organization == nil {
		return
	}
	r.charge = charge{}
	c.organization.usage = ledger.Difference(c.organization.usage, c.request)
	if c.unknown {
		c.organization.unknownRuns--
	}
	j := e.jobs[r.task.Job]
	j.runs--
	e.closeLater(j)
}

// mayClose reports whether the job is final and its stored row may be replaced by a short one. The
// next leader needs the requests of runs whose end is not proved, those of earlier leaders included. An
// organization that the configuration lacks may be back in the next version.
func (e *Engine) mayClose(j *job) bool {
	switch {
	case !j.final():
		return false
	case j.organization == nil, e.config != nil && e.config.Organizations == nil:
		return true
	default:
		return j.runs == 0 && (j.state == jobs.Done || e.previousRunsResolved(j))
	}
}

// closeLater records a final job again whose row could not be replaced when its state was recorded.
func (e *Engine) closeLater(j *job) {
	if j.unclosed && e.mayClose(j) {
		j.unclosed = false
		e.markChanged(j)
	}
}

// updateOrganizations marks new jobs that are excess, and updates what may run of earlier leaders.
func (e *Engine) updateOrganizations(now time.Time) {
	e.markExcess(now)
	for _, o := range e.sortedOrganizations {
		o.earlier = roster.Resources{}
	}
	if len(e.previousWorkers) == 0 {
		for _, j := range e.inheritedJobs {
			e.closeLater(j)
		}
		if now.After(e.opts.PreviousActiveUntil) {
			e.inheritedJobs = nil // no worker is added to previousWorkers any more
		}
		return
	}
	if e.opts.unsafe.forgetEarlierUsage {
		return
	}
	// The lists of the workers are merged first: a fleet has many of both.
	anyJob, listed := false, make(map[jobs.ID]bool)
	for _, ids := range e.previousWorkers {
		anyJob = anyJob || ids == nil
		for _, id := range ids {
			listed[id] = true
		}
	}
	for _, j := range e.inheritedJobs {
		if anyJob || listed[j.ID] {
			j.addUnknownRuns(now, &j.organization.earlier)
		} else {
			e.closeLater(j)
		}
	}
}

// addUnknownRuns adds the requests of the tasks of an inherited job that are neither done nor have a
// known run. Tasks of a final job are not kept, so all of them count.
func (j *job) addUnknownRuns(now time.Time, total *roster.Resources) {
	if j.state == jobs.Done {
		return
	}
	closed := j.dueOccurrences(now) - j.done.Len()
	for _, o := range j.open {
		if !now.Before(o.due) {
			closed--
		}
		for _, s := range o.steps {
			count := 0
			for _, t := range s.tasks {
				if !t.done && t.run == nil {
					count++
				}
			}
			addRequests(total, s.PerTask, count)
		}
	}
	for i := range j.Steps {
		addRequests(total, j.Steps[i].PerTask, j.Steps[i].Count*max(0, closed))
	}
}

// dueOccurrences returns how many occurrences of the job are due.
func (j *job) dueOccurrences(now time.Time) int {
	switch {
	case j.Recurrence == nil:
		return 1
	case now.Before(j.Recurrence.First):
		return 0
	case j.Recurrence.Interval <= 0:
		return j.Recurrence.Count
	default:
		return int(min(int64(j.Recurrence.Count)-1, int64(now.Sub(j.Recurrence.First)/j.Recurrence.Interval))) + 1
	}
}

// maxRequests bounds sums of requests, which overflow otherwise: jobs may ask for much more than all
// workers have.
const maxRequests = math.MaxInt64 / 4

// addRequests adds a number of requests to a total, at most up to maxRequests in each dimension.
func addRequests(total *roster.Resources, request roster.Resources, count int) {
	add := func(total, amount int64) int64 {
		if amount > 0 && int64(count) > (maxRequests-total)/amount {
			return maxRequests
		}
		return total + amount*int64(count)
	}
	total.Millicores = add(total.Millicores, request.Millicores)
	total.MemoryBytes = add(total.MemoryBytes, request.MemoryBytes)
	total.Accelerators = int(add(int64(total.Accelerators), int64(request.Accelerators)))
}

// unknownJobsMayRun reports whether runs of jobs that are not known here may exist. An earlier leader
// may have started jobs that the feed has not delivered yet, on workers that were not polled yet, or
// the workers have listed runs of such jobs. It has started nothing on a worker that it had recorded
// as lost, so none runs there but the recorded ones.
func (e *Engine) unknownJobsMayRun() bool {
	if e.caughtUp || e.opts.PreviousActiveUntil.IsZero() || e.opts.unsafe.forgetEarlierUsage {
		return false
	}
	if len(e.orphanedRuns) > 0 {
		return true
	}
	for _, recorded := range e.previousWorkers {
		if recorded == nil {
			return true
		}
	}
	return false
}

// capRoom returns how many more tasks of a step fit under the cap of its organization, at most limit.
func (e *Engine) capRoom(s *step, limit int) int {
	o := s.job.organization
	switch {
	case o == nil || e.opts.unsafe.ignoreCaps:
		return limit
	case e.config == nil:
		return 0 // the cap is not known
	case !o.capped():
		return limit
	case o.unknownRuns > 0 || e.unknownJobsMayRun():
		return 0
	}
	used := o.usage
	addRequests(&used, o.earlier, 1)
	return ledger.FitCount(s.PerTask, ledger.Difference(unboundedWhereZero(o.entry.Cap), used), limit)
}

// unboundedWhereZero returns a cap with the dimensions that it does not limit raised beyond any use.
func unboundedWhereZero(limit roster.Resources) roster.Resources {
	if limit.Millicores == 0 {
		limit.Millicores = 2 * maxRequests
	}
	if limit.MemoryBytes == 0 {
		limit.MemoryBytes = 2 * maxRequests
	}
	if limit.Accelerators == 0 {
		limit.Accelerators = 2 * maxRequests
	}
	return limit
}

// waitsForCap reports whether no task of a step may start because of the cap of its organization. Count
// is the number of tasks to start. A gang starts completely or not at all.
func (e *Engine) waitsForCap(s *step, count int) bool {
	if s.job.organization == nil {
		return false
	}
	if s.Gang {
		return e.capRoom(s, count) < count
	}
	return e.capRoom(s, 1) == 0
}
