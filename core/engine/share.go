package engine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"tanagerstack.org/core/intake"
	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/roster"
)

// Weights decide who goes first when the workers are full. The load to withstand is one organization
// that sends seven times its usual load beside bursts of the others. What it sends beyond its weight
// per second is excess and waits behind what the others are owed. Among equally urgent work, an
// organization that uses less than its share of the capacity goes first. Nothing is kept free: an
// idle share is lent to whoever has work, and comes back as runs end.

// Gangs need their capacity at once, and small tasks that take it piece by piece keep a gang waiting.
// While a gang that is not excess waits, excess therefore leaves capacity free.
const (
	// owedMargin is how much excess leaves free, as a multiple of what the waiting gangs request: the
	// adviser permits only some of the workers. In the model the organizations beside a flood earned
	// 0.926 of their value with 1, and 0.941 with 2 (6 seeds); docs/design/caps.md has more.
	owedMargin = 2
	// maxOwedShare is the largest share of the processors that excess leaves free, so that a gang
	// that cannot fit does not keep excess waiting on workers that are idle for the most part.
	maxOwedShare = 0.5
)

// excessBucket is a token bucket that holds the jobs that an organization may submit before they are
// excess. It fills by the weight per second, up to a second of it. The zero value is full.
type excessBucket struct {
	tokens float64
	// at is the latest arrival so far, or zero.
	at time.Time
}

// take takes a job that arrived at a time and reports whether it is excess. A job that arrived before
// an earlier one takes from what is left then.
func (b *excessBucket) take(arrived time.Time, weight float64) (excess bool) {
	if weight <= 0 {
		return true
	}
	b.refill(arrived, weight)
	if b.tokens < 1 {
		return true
	}
	b.tokens--
	return false
}

// refill adds what has come in up to a time.
func (b *excessBucket) refill(now time.Time, weight float64) {
	depth := intake.Depth(weight)
	switch {
	case b.at.IsZero():
		b.tokens, b.at = depth, now
	case now.After(b.at):
		b.tokens, b.at = b.tokens+weight*now.Sub(b.at).Seconds(), now
	}
	b.tokens = min(b.tokens, depth)
}

// submissionsLeft returns how many jobs an organization with a weight may still submit before they are
// excess. It includes the jobs that are not marked yet, and does not change the bucket.
func (e *Engine) submissionsLeft(now time.Time, name string, weight float64) float64 {
	var b excessBucket
	if o := e.organizations[name]; o != nil {
		b = o.bucket
	}
	for _, j := range e.unmarkedJobs {
		if j.Organization == name {
			b.take(j.arrivedBy(now), weight)
		}
	}
	b.refill(now, weight)
	return b.tokens
}

// markExcess marks the new jobs of all organizations in the order of their arrival. After a takeover
// that includes those of earlier leaders, finished or not, so that each leader marks about the same.
// Jobs of an organization without entry are not marked, since the rate that it had is not known.
func (e *Engine) markExcess(now time.Time) {
	if e.config == nil {
		return
	}
	list := e.unmarkedJobs
	e.unmarkedJobs = nil
	if !e.config.HasOrganizations() || e.opts.Policy.NoExcess {
		return
	}
	slices.SortStableFunc(list, func(a, b *job) int {
		return cmp.Or(a.ArrivedAt.Compare(b.ArrivedAt), cmp.Compare(a.ID, b.ID))
	})
	for _, j := range list {
		if o := j.organization; o.entry != nil {
			j.excess = e.takeSubmission(j, j.arrivedBy(now))
			if !j.excess && !j.inherited {
				e.observeArrival(now, j)
			}
		}
	}
}

// arrivedBy returns the arrival of a job, or now if that is by the clock of a VM that is ahead.
func (j *job) arrivedBy(now time.Time) time.Time {
	if j.ArrivedAt.After(now) {
		return now
	}
	return j.ArrivedAt
}

// A class is what the order of steps goes by first. Lower classes go first.
const (
	excessClass    = int(worthless)
	worthlessClass = 2 * int(worthless)
)

// classOf returns the class of a job's work with a value rank: on time, late, the same for excess, and
// worthless. Without excess it is the value rank.
func (j *job) classOf(rank valueRank) int {
	switch {
	case rank == worthless:
		return worthlessClass
	case j.excess:
		return excessClass + int(rank)
	default:
		return int(rank)
	}
}

// shareOrder reports whether organizations below their share go first.
func (e *Engine) shareOrder() bool {
	return e.config.HasOrganizations() && !e.opts.Policy.NoShares && !e.opts.Policy.ArrivalOrder
}

// scheduleSteps schedules the steps in their order. Of those of the same class and queue priority, it
// first takes the steps of organizations below their fair share, each up to that share, and then what
// is left.
func (e *Engine) scheduleSteps(p *pass, list []*step) {
	if !e.shareOrder() {
		for _, s := range list {
			e.scheduleStep(p, s, jobs.MaxTasks)
		}
		return
	}
	e.updateFairShares(p, list)
	var deferred []*step
	for len(list) > 0 {
		n := 1
		for n < len(list) && sameUrgency(list[0], list[n]) {
			n++
		}
		deferred = deferred[:0]
		for _, s := range list[:n] {
			if limit := p.tasksToFairShare(s); limit == 0 || e.scheduleStep(p, s, limit) {
				deferred = append(deferred, s)
			}
		}
		for _, s := range deferred {
			e.scheduleStep(p, s, jobs.MaxTasks)
		}
		list = list[n:]
	}
}

// sameUrgency reports whether two steps differ only by what comes after the share in the order.
func sameUrgency(a, b *step) bool {
	return a.class == b.class && a.job.Queue.Priority == b.job.Queue.Priority
}

// updateFairShares computes the fair shares of the organizations with runs or ready steps.
func (e *Engine) updateFairShares(p *pass, list []*step) {
	p.total = roster.Resources{}
	for _, w := range p.open {
		addRequests(&p.total, w.Capacity, 1)
	}
	for _, o := range e.sortedOrganizations {
		o.busy = o.usage != roster.Resources{}
	}
	for _, s := range list {
		if o := s.job.organization; o != nil {
			o.busy = true
		}
	}
	count, sum := 0, 0.0
	for _, o := range e.sortedOrganizations {
		if o.busy {
			count++
			sum += o.weight()
		}
	}
	for _, o := range e.sortedOrganizations {
		switch {
		case !o.busy:
			o.fairShare = 0
		case sum > 0 && !math.IsInf(sum, 0):
			o.fairShare = o.weight() / sum
		default:
			o.fairShare = 1 / float64(count)
		}
	}
}

// weight returns the weight in the configuration, or 0 if that lacks the organization.
func (o *organization) weight() float64 {
	if o.entry == nil {
		return 0
	}
	return o.entry.Weight
}

// tasksToFairShare returns how many tasks of a step its organization may start until it uses its fair
// share of the open workers' capacity in one dimension. Work without organization has no limit.
func (p *pass) tasksToFairShare(s *step) int {
	o := s.job.organization
	if o == nil {
		return jobs.MaxTasks
	}
	count := float64(jobs.MaxTasks)
	limit := func(total, used, request int64) {
		left := o.fairShare*float64(total) - float64(used)
		switch {
		case total <= 0:
		case left <= 0:
			count = 0
		case request > 0:
			count = min(count, math.Ceil(left/float64(request)))
		}
	}
	limit(p.total.Millicores, o.usage.Millicores, s.PerTask.Millicores)
	limit(p.total.MemoryBytes, o.usage.MemoryBytes, s.PerTask.MemoryBytes)
	limit(int64(p.total.Accelerators), int64(o.usage.Accelerators), int64(s.PerTask.Accelerators))
	return int(count)
}

// excessRoom is what excess may take of a service's workers while gangs wait that are not excess, in
// millicores. Owed is the request of the waiting members. Left is known once the first step that is
// excess was considered, since all others come before it in the order.
type excessRoom struct {
	owed, left int64
	known      bool
}

// addOwed counts the waiting tasks of a gang that is not excess.
func (p *pass) addOwed(s *step, missing int) {
	if !s.Gang || s.job.excess || s.rank == worthless {
		return
	}
	if p.excessRooms == nil {
		p.excessRooms = make(map[string]*excessRoom)
	}
	service := s.job.Queue.Service
	if p.excessRooms[service] == nil {
		p.excessRooms[service] = &excessRoom{}
	}
	p.excessRooms[service].owed += int64(missing) * s.demand().Millicores
}

// excessTasks returns how many tasks of an excess step may start, at most limit, beside what is left
// free for gangs that are not excess. If none waits, nothing is left free.
func (p *pass) excessTasks(s *step, limit int) int {
	room := p.excessRooms[s.job.Queue.Service]
	if room == nil {
		return limit
	}
	if !room.known {
		var capacity, free int64
		for _, w := range p.open {
			if w.Service == s.job.Queue.Service {
				capacity += w.Capacity.Millicores
				free += max(0, w.free().Millicores)
			}
		}
		room.known = true
		room.left = free - int64(min(owedMargin*float64(room.owed), maxOwedShare*float64(capacity)))
	}
	count := limit
	if demand := s.demand().Millicores; demand > 0 {
		count = int(min(int64(limit), max(0, room.left)/demand))
	}
	if s.Gang && count < limit {
		return 0
	}
	return count
}

// useExcessRoom subtracts the started tasks of a step from what excess may take.
func (p *pass) useExcessRoom(s *step, started int) {
	if room := p.excessRooms[s.job.Queue.Service]; room != nil {
		room.left -= int64(started) * s.demand().Millicores
	}
}
