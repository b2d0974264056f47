package play

import (
	"cmp"
	"maps"
	"slices"

	"tanagerstack.org/core/jobs"
)

// Part is the value of a part of the jobs.
type Part struct{ Earned, Attainable float64 }

// Share returns the earned part of the attainable value.
func (p *Part) Share() float64 { return p.Earned / p.Attainable }

func newResult() *Result {
	return &Result{
		Queues: make(map[string]*QueueResult), Organizations: make(map[string]*Part), Seconds: make(map[int]*Part),
		WastedByCause: make(map[string]float64), Refusals: make(map[string]int),
	}
}

func addPart[K comparable](parts map[K]*Part, key K, earned, attainable float64) {
	if parts[key] == nil {
		parts[key] = &Part{}
	}
	parts[key].Earned += earned
	parts[key].Attainable += attainable
}

// worstTenth returns the earned share of the worst tenth of the parts together, at least one of them.
func worstTenth[K comparable](parts map[K]*Part) float64 {
	list := slices.SortedFunc(maps.Values(parts), func(a, b *Part) int { return cmp.Compare(a.Share(), b.Share()) })
	var sum Part
	for _, p := range list[:min(len(list), (len(list)+9)/10)] {
		sum.Earned += p.Earned
		sum.Attainable += p.Attainable
	}
	return sum.Share()
}

// WorstOrganizations returns the earned share of the worst-served tenth of the organizations.
func (t *Result) WorstOrganizations() float64 { return worstTenth(t.Organizations) }

// WorstSeconds returns the earned share of the worst tenth of the seconds, by first submission.
func (t *Result) WorstSeconds() float64 { return worstTenth(t.Seconds) }

// Vain returns the number of jobs that were accepted and earned nothing.
func (t *Result) Vain() int {
	count := 0
	for _, q := range t.Queues {
		count += q.Lost - q.Refused
	}
	return count
}

// noteRun adds the core time of an ended run to what was wasted, and to its job.
func (t *Result) noteRun(r *run, end jobs.End, coreSeconds float64) {
	r.job.coreSeconds += coreSeconds
	if end != jobs.EndDone {
		t.WastedByCause[end.String()] += coreSeconds
	}
}

// lostCoreSeconds returns what the runs of jobs used that earned nothing.
func (c *simulation) lostCoreSeconds() float64 {
	sum := 0.0
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		p := c.jobs[id]
		at := c.doneAt[id]
		if at.IsZero() || at.Sub(startTime.Add(p.arrivalOffset)) > maxLateFactor*p.objective {
			sum += p.coreSeconds
		}
	}
	return sum
}
