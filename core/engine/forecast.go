package engine

import (
	"math"
	"slices"
	"time"

	"tanagerstack.org/core/intake"
	"tanagerstack.org/core/jobs"
)

// Excess goes after all work that organizations are owed: what waits, and what arrives before the excess
// could start. Whether excess has a chance is therefore predicted with the rate at which owed work arrived
// lately. All else that the prediction leaves out, such as later steps and the capacity that is left free for
// gangs, would make excess wait longer.

// arrivalWindows are the periods over which the rate of arrivals is averaged. The lowest rate counts:
// bursts last 3 to 6.5 s, and a burst that ends soon must not pass for the load of the next half minute.
var arrivalWindows = [...]time.Duration{3 * time.Second, 10 * time.Second}

// arrivalRate measures the work that arrives. The zero value has seen none.
type arrivalRate struct {
	// first is the time of the first arrival: what was before it, such as the time of an earlier leader, does
	// not count.
	first time.Time
	// perSecond are the means over the windows, with weights that fall exponentially, as of the last arrival.
	perSecond [len(arrivalWindows)]struct{ millicores, work float64 }
	at        time.Time
}

// observe adds work: the capacity that it requests, and the same times its duration in seconds.
func (a *arrivalRate) observe(now time.Time, millicores, work float64) {
	if a.first.IsZero() {
		a.first, a.at = now, now
	}
	for i, window := range arrivalWindows {
		fade, r := a.fade(now, window), &a.perSecond[i]
		r.millicores = fade*r.millicores + millicores/window.Seconds()
		r.work = fade*r.work + work/window.Seconds()
	}
	if now.After(a.at) {
		a.at = now
	}
}

func (a *arrivalRate) fade(now time.Time, window time.Duration) float64 {
	return math.Exp(-max(0, now.Sub(a.at).Seconds()) / window.Seconds())
}

// lowest returns the lowest of the rates: the capacity requested per second, and the mean time for which it
// is used.
func (a *arrivalRate) lowest(now time.Time) (millicores float64, duration time.Duration) {
	least := math.Inf(1)
	for i, window := range arrivalWindows {
		r := a.perSecond[i]
		// The window reaches back to the first arrival at most.
		observed := 1 - math.Exp(-max(arrivalWindows[0], now.Sub(a.first)).Seconds()/window.Seconds())
		scale := a.fade(now, window) / observed
		if work := scale * r.work; work < least && r.millicores > 0 {
			least, millicores = work, scale*r.millicores
			duration = time.Duration(r.work / r.millicores * float64(time.Second))
		}
	}
	return millicores, duration
}

// observeArrival adds a new job that is not excess to the arrivals of its queue.
func (e *Engine) observeArrival(now time.Time, j *job) {
	millicores, work := 0.0, 0.0
	for i := range j.Steps {
		requested := float64(j.Steps[i].Count) * float64(j.Steps[i].PerTask.Millicores)
		millicores += requested
		work += requested * e.predictStep(&j.Job, i, nil).Seconds()
	}
	e.statsOf(j.Queue.Name).arrivals.observe(now, millicores, work)
}

// excessForecast predicts the capacity that is left for new excess.
type excessForecast struct {
	e   *Engine
	now time.Time
	// owed and excess are the waiting steps of each service: all that are owed and not worthless, and excess
	// that is likely to end on time, the most urgent queues first.
	owed, excess map[string][]*step
	services     map[string]*serviceForecast
}

// serviceForecast is the forecast of one service.
type serviceForecast struct {
	released [loadBins]int64
	arrivals []owedArrivals
	// owed and excess are what waits, the most urgent queues first.
	owed, excess []waitingWork
	// counted is the number of excess steps that go before, and last the forecast with them.
	counted int
	last    []int64
}

// owedArrivals is the work of a queue that is expected to arrive in each bin.
type owedArrivals struct {
	millicores float64
	bins       int
}

// newExcessForecast returns a forecast, or nil if it is not needed.
func (e *Engine) newExcessForecast(now time.Time, needed bool) *excessForecast {
	if !needed {
		return nil
	}
	f := &excessForecast{e: e, now: now, owed: make(map[string][]*step), excess: make(map[string][]*step), services: make(map[string]*serviceForecast)}
	for _, j := range e.active {
		for _, o := range j.open {
			if rank, likely := e.chancesOf(now, *o, j); rank == worthless || j.excess && !likely {
				continue
			}
			for _, s := range o.steps {
				switch service := j.Queue.Service; {
				case !s.ready(now) || !s.hasWaiting():
				case j.excess:
					f.excess[service] = append(f.excess[service], s)
				default:
					f.owed[service] = append(f.owed[service], s)
				}
			}
		}
	}
	for _, list := range f.excess {
		slices.SortStableFunc(list, func(a, b *step) int { return a.job.Queue.Priority - b.job.Queue.Priority })
	}
	return f
}

// service returns the forecast of a service.
func (f *excessForecast) service(name string) *serviceForecast {
	if s := f.services[name]; s != nil {
		return s
	}
	s := &serviceForecast{released: f.e.loadProfile(f.now, name).released, owed: f.waitingWork(f.owed[name]), excess: f.waitingWork(f.excess[name]), counted: -1}
	for i := range f.e.config.Queues {
		q := &f.e.config.Queues[i]
		if q.Service != name {
			continue
		}
		millicores, duration := f.e.statsOf(q.Name).arrivals.lowest(f.now)
		if perBin := millicores * loadBin.Seconds(); perBin > 0 {
			s.arrivals = append(s.arrivals, owedArrivals{perBin, max(1, int(duration/loadBin))})
		}
	}
	f.services[name] = s
	return s
}

// free returns the capacity that is left for new excess of a queue up to each of intake.Horizons. The
// queues are asked for by priority.
func (f *excessForecast) free(q *jobs.Queue) []int64 {
	if f == nil {
		return nil
	}
	s, excess := f.service(q.Service), f.excess[q.Service]
	count := max(0, s.counted)
	for count < len(excess) && excess[count].job.Queue.Priority <= q.Priority {
		count++
	}
	if count != s.counted {
		s.counted, s.last = count, s.simulate(count)
	}
	return slices.Clone(s.last)
}

// waitingWork is the capacity for which a step waits, the number of bins for which it uses it, and the bin from
// which it is worthless.
type waitingWork struct{ millicores, bins, until int64 }

// waitingWork returns the work of steps in the same order.
func (f *excessForecast) waitingWork(steps []*step) []waitingWork {
	list := make([]waitingWork, 0, len(steps))
	for _, s := range steps {
		duration := f.e.predict(s)
		worthlessIn := s.job.worthlessAt.Sub(f.now) - duration
		list = append(list, waitingWork{s.waitingMillicores(), max(1, int64(duration/loadBin)), max(0, int64(worthlessIn/loadBin))})
	}
	return list
}

// simulate runs what waits and arrives on the capacity of a service, bin by bin, with a number of excess steps that
// go before, and returns the capacity that is left.
func (s *serviceForecast) simulate(excess int) []int64 {
	queue := slices.Concat(s.owed, s.excess[:excess])
	released, backlog := s.released, make([]float64, len(s.arrivals))
	var available int64
	take := func(bin, bins int, wanted int64) int64 {
		part := min(wanted, available)
		available -= part
		if bin+bins < loadBins {
			released[bin+bins] += part
		}
		return part
	}
	list := make([]int64, 0, len(intake.Horizons))
	var best int64
	for bin := range loadBins {
		available += released[bin]
		for i, a := range s.arrivals {
			backlog[i] += a.millicores
			backlog[i] -= float64(take(bin, a.bins, int64(backlog[i])))
		}
		for len(queue) > 0 && available > 0 {
			first := &queue[0]
			if first.until >= int64(bin) {
				first.millicores -= take(bin, int(first.bins), first.millicores)
			}
			if first.millicores == 0 || first.until < int64(bin) {
				queue = queue[1:]
			}
		}
		best = max(best, available)
		if time.Duration(bin+1)*loadBin > intake.Horizons[len(list)] {
			list = append(list, best)
			best = 0
			if len(list) == len(intake.Horizons) {
				break
			}
		}
	}
	return list
}
