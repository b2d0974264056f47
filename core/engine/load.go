package engine

import (
	"cmp"
	"slices"
	"time"

	"tanagerstack.org/core/intake"
	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/learn"
)

const (
	// loadBin is the resolution of the prediction of the load, and loadBins the number of bins: they
	// cover the last of intake.Horizons.
	loadBin  = 100 * time.Millisecond
	loadBins = 321
)

// LoadSnapshot returns the load as VMs need it to decide about jobs. It returns nil while there is no
// configuration or no worker. Work that waits starts in the order of priority wherever there is capacity,
// and occupies it for its predicted duration; steps that wait for others, and work that is at risk of being
// late, are left out, so that the prediction is optimistic.
func (e *Engine) LoadSnapshot(now time.Time) *intake.Snapshot {
	if e.config == nil || len(e.sortedWorkers) == 0 {
		return nil
	}
	profile := e.loadProfile(now, "")
	steps := e.stepsAhead(now)
	s := &intake.Snapshot{Organizations: e.organizationTokens(now)}
	excess := e.newExcessForecast(now, len(s.Organizations) > 0)
	queues := slices.Clone(e.config.Queues)
	slices.SortStableFunc(queues, func(a, b jobs.Queue) int { return cmp.Compare(a.Priority, b.Priority) })
	for i := range queues {
		q := &queues[i]
		for len(steps) > 0 && steps[0].job.Queue.Priority <= q.Priority {
			profile.add(e, steps[0])
			steps = steps[1:]
		}
		entry := intake.Queue{Name: q.Name, Priority: q.Priority, Free: profile.at(), ExcessFree: excess.free(q)}
		e.setDurations(&entry)
		if q.Advice != nil {
			entry.PermittedShare = max(e.statsOf(q.Name).permittedShare, minPermittedShare)
		}
		s.Queues = append(s.Queues, entry)
	}
	return s
}

// setDurations sets the predicted durations of a queue's tasks.
func (e *Engine) setDurations(q *intake.Queue) {
	if e.durations != DurationsLearned {
		model := &e.statsOf(q.Name).durations
		q.Short, q.Long = model.predict(intake.ShortEstimate), model.predict(intake.LongEstimate)
		return
	}
	short, long := e.learned.Predict(learn.Key{Queue: q.Name}, intake.ShortEstimate), e.learned.Predict(learn.Key{Queue: q.Name}, intake.LongEstimate)
	q.Short, q.Long, q.LeastShare = short.Median(), long.Median(), short.Spread(lateQuantile)
}

// stepsAhead returns the steps that wait and are likely to end on time, the most urgent queues first.
func (e *Engine) stepsAhead(now time.Time) []*step {
	var list []*step
	for _, j := range e.active {
		for _, o := range j.open {
			first := len(list)
			for _, s := range o.steps {
				if s.ready(now) && s.hasWaiting() {
					list = append(list, s)
				}
			}
			if len(list) == first {
				continue
			}
			if _, likely := e.chancesOf(now, *o, j); !likely {
				list = list[:first]
			}
		}
	}
	slices.SortStableFunc(list, func(a, b *step) int { return cmp.Compare(a.job.Queue.Priority, b.job.Queue.Priority) })
	return list
}

// chancesOf returns the rank of an occurrence and whether it is likely to end on time. It works on a copy: a
// snapshot must not change when ranks are computed anew, and with it the order of steps.
func (e *Engine) chancesOf(now time.Time, o occurrence, j *job) (rank valueRank, likely bool) {
	rank = e.rankOf(now, &o, j)
	return rank, rank == onTime && !o.atRisk
}

// loadProfile is the processor capacity, in millicores, that becomes free in each bin. Work is put into
// the first bins that have capacity for it.
type loadProfile struct {
	released [loadBins]int64
	// bin is the first bin that may have capacity left.
	bin int
}

// loadProfile returns what the runs of a service release at their predicted ends, and what is free now. The
// empty service is all services.
func (e *Engine) loadProfile(now time.Time, service string) *loadProfile {
	p := new(loadProfile)
	for _, w := range e.sortedWorkers {
		if !w.usable(now) || e.withheld(now, w) || service != "" && w.Service != service {
			continue
		}
		p.released[0] += max(0, w.free().Millicores)
		for _, r := range w.runs {
			remaining := time.Duration(0)
			if r.owner != nil && r.phase != stopping {
				remaining = e.remainingRunTime(now, r)
			}
			p.release(int(remaining/loadBin), r.demand.Millicores)
		}
	}
	return p
}

// remainingRunTime returns the predicted remaining time of a run. Where durations are learned, it allows for
// how long the run has taken already.
func (e *Engine) remainingRunTime(now time.Time, r *run) time.Duration {
	if e.durations == DurationsLearned && r.percent-r.startPercent < minProgressPercent && !r.resumed {
		p := e.prediction(r.owner.step, r.worker)
		return p.Remaining(now.Sub(r.startSentAt))
	}
	return r.remaining(now, e.predict(r.owner.step))
}

// release adds capacity that becomes free in a bin; what does after the last one is left out.
func (p *loadProfile) release(bin int, millicores int64) {
	if bin < loadBins {
		p.released[max(bin, p.bin)] += millicores
	}
}

// add starts the waiting tasks of a step.
func (p *loadProfile) add(e *Engine, s *step) {
	missing := s.waitingMillicores()
	duration := max(1, int(e.predict(s)/loadBin))
	for missing > 0 && p.bin < loadBins {
		part := min(missing, p.released[p.bin])
		p.released[p.bin] -= part
		missing -= part
		p.release(p.bin+duration, part)
		if missing > 0 {
			p.bin++
		}
	}
}

// waitingMillicores returns the processor capacity that the waiting tasks of a step request.
func (s *step) waitingMillicores() int64 {
	waiting := int64(0)
	for _, t := range s.tasks {
		if !t.done && t.run == nil {
			waiting++
		}
	}
	return waiting * s.demand().Millicores
}

// at returns the capacity that is free at each of intake.Horizons.
func (p *loadProfile) at() (free [len(intake.Horizons)]int64) {
	sum, k := int64(0), 0
	for bin := range loadBins {
		sum += p.released[bin]
		for k < len(free) && time.Duration(bin+1)*loadBin > intake.Horizons[k] {
			free[k] = sum
			k++
		}
	}
	return free
}

// organizationTokens returns the organizations that have used up half of what they may submit in a second.
func (e *Engine) organizationTokens(now time.Time) []intake.Organization {
	if !e.config.HasOrganizations() {
		return nil
	}
	var list []intake.Organization
	factor := e.computeWeightFactor(now)
	for _, entry := range e.config.Organizations.All() {
		weight := entry.Weight * factor
		left := e.submissionsLeft(now, entry.Name, weight)
		if left >= 1 && left > intake.Depth(weight)/2 {
			continue
		}
		o := intake.Organization{Name: entry.Name, Jobs: left, PerSecond: weight, Growth: weight}
		if known := e.organizations[entry.Name]; known != nil {
			o.Growth = max(0, weight-known.submissions.by(now))
		}
		list = append(list, o)
	}
	return list
}
