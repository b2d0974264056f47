package engine

import (
	"cmp"
	"slices"
	"time"

	"tanagerstack.org/core/ledger"
)

// The adviser serves one request at a time for each VM, and the requests of some queues take a
// hundred times as long as those of others. Requests are therefore spread over the proxy VMs,
// those of slow queues go to proxies that quick queues do not use, and each request names as few
// workers as are likely to suffice.

const (
	// initialPermittedShare is the share of workers assumed to be permitted until there are
	// answers.
	initialPermittedShare = 0.4
	// permittedShareWeight is the weight of one answer in the moving average of the permitted
	// share.
	permittedShareWeight = 0.05
	// capacityMargin is the multiple of the needed capacity that a request covers, since other
	// steps take some of it before the answer arrives.
	capacityMargin = 2.0
	// gangCapacityMargin is the same for steps that need all their capacity at once, and
	// gangEvictionMargin for capacity that becomes free once less urgent work is stopped.
	gangCapacityMargin = 2.5
	gangEvictionMargin = 3.0
	// minPermittedShare is the lower bound of the assumed share of permitted workers, whatever
	// the answers so far.
	minPermittedShare = 0.05
	// maxRequestsPerStep is the maximum number of concurrent requests for a step, through
	// different proxies. Tickets are valid for little longer than a request takes, so those of
	// consecutive requests would not be valid together. A gang of 105 members looks for capacity
	// for 800 of them among 1,100 workers, each of which has capacity for one or two.
	maxRequestsPerStep = 10
	// minWorkersPerRequest is the minimum number of workers in a step's first request, if there
	// are enough.
	minWorkersPerRequest = 8
	// maxWorkersPerRequest is the maximum number of workers that the adviser accepts in a
	// request.
	maxWorkersPerRequest = 100
	// maxRequestsPerProxy is the maximum number of outstanding requests through one proxy: one in
	// service and one in transit.
	maxRequestsPerProxy = 2
	// ownProxyShare is the share of the proxies that each queue with advice has as its own.
	ownProxyShare = 0.23
	// maxTicketedSteps is the maximum number of steps of a queue that wait for capacity with
	// valid tickets. Tickets expire, so further ones would be requested in vain.
	maxTicketedSteps = 12
	// adviceAheadMargin is how much earlier than needed an answer is requested.
	adviceAheadMargin = 150 * time.Millisecond
	// adviceRetryDelay is the pause after a request that failed.
	adviceRetryDelay = 200 * time.Millisecond
	// adviceTimeout is the time after which an unanswered request is given up, measured from
	// sending it for a step, and from the time at which the answer is due for a proxy.
	adviceTimeout = 3 * time.Second
)

// stepAdvice is the adviser's answers for a step, and the requests that are outstanding.
type stepAdvice struct {
	// asked holds the workers that the adviser has answered about, and permitted those of them on
	// which it permits the step. A verdict never changes. permittedWorkers holds the permitted ones with
	// their newest tickets.
	asked, permitted workerSet
	permittedWorkers []permittedWorker
	// lastTicketExpiry is the time at which the newest tickets expire.
	lastTicketExpiry time.Time
	// expectedUse is the processor capacity that the outstanding requests are expected to use.
	expectedUse []workerUse
	// pending is the number of outstanding requests, requestedAt the time at which they were
	// sent, and retryAfter the time before which no further request is sent.
	pending     int
	requestedAt time.Time
	retryAfter  time.Time
}

// permittedWorker is a worker that the adviser permits for a step, with the newest ticket for it.
type permittedWorker struct {
	*worker
	ticket cachedTicket
}

// workerUse is an expected use of processor capacity on a worker.
type workerUse struct {
	worker     *worker
	millicores int64
}

// awaitingAnswer reports whether an answer may still arrive.
func (a *stepAdvice) awaitingAnswer(now time.Time) bool {
	return a.pending > 0 && now.Sub(a.requestedAt) < adviceTimeout
}

type cachedTicket struct {
	value      string
	validUntil time.Time
}

// usable reports whether the ticket is valid long enough for a start.
func (t cachedTicket) usable(now time.Time) bool { return now.Add(ticketMargin).Before(t.validUntil) }

// ticketFor returns the newest ticket for a worker, which is empty if there is none.
func (a *stepAdvice) ticketFor(w *worker) cachedTicket {
	if i := a.indexOfPermitted(w); i >= 0 {
		return a.permittedWorkers[i].ticket
	}
	return cachedTicket{}
}

// setTicket replaces the ticket for a permitted worker.
func (a *stepAdvice) setTicket(w *worker, ticket cachedTicket) {
	if i := a.indexOfPermitted(w); i >= 0 {
		a.permittedWorkers[i].ticket = ticket
	}
}

// indexOfPermitted returns the index of a worker in permittedWorkers, or -1.
func (a *stepAdvice) indexOfPermitted(w *worker) int {
	if !a.permitted.has(w) {
		return -1
	}
	return slices.IndexFunc(a.permittedWorkers, func(other permittedWorker) bool { return other.worker == w })
}

// hasTicket reports whether any ticket is valid long enough for a start.
func (a *stepAdvice) hasTicket(now time.Time) bool {
	return now.Add(ticketMargin).Before(a.lastTicketExpiry)
}

// addExpectedUse records that requests for a step are likely to lead to tasks on the given
// workers, each with an equal share of the missing tasks. Requests for other steps prefer other
// workers meanwhile, or they would all find their capacity taken.
func (s *step) addExpectedUse(list []candidate, missing int) {
	perWorker := s.demand().Millicores * int64(missing) / int64(len(list))
	for _, c := range list {
		c.worker.expectedMillicores += perWorker
		s.advice.expectedUse = append(s.advice.expectedUse, workerUse{c.worker, perWorker})
	}
}

// clearExpectedUse removes the expected use of a step's requests.
func (s *step) clearExpectedUse() {
	for _, e := range s.advice.expectedUse {
		e.worker.expectedMillicores -= e.millicores
	}
	s.advice.expectedUse = s.advice.expectedUse[:0]
}

// requestAdvice requests advice on workers for the step's waiting tasks. It reports false if no
// proxy is available for the step's queue.
func (e *Engine) requestAdvice(p *pass, s *step, missing int) bool {
	now := p.now
	a := &s.advice
	if now.Before(a.retryAfter) || a.awaitingAnswer(now) {
		return true
	}
	first := e.proxyFor(now, s.job.Queue)
	if first == nil {
		return false
	}
	s.clearExpectedUse()
	list := e.adviceCandidates(p, s, missing)
	if len(list) == 0 {
		return true
	}
	a.pending, a.requestedAt = 0, now
	s.addExpectedUse(list, missing)
	var longest time.Duration
	for proxy := first; len(list) > 0 && proxy != nil; proxy = e.nextProxy(now, s, proxy) {
		n := min(len(list), maxWorkersPerRequest)
		longest = max(longest, e.sendAdviceRequest(now, s, proxy, list[:n], missing))
		list = list[n:]
	}
	if s.reservation != nil {
		s.reservation.until = now.Add(max(longest, e.opts.StopTime) + reservationMargin)
	}
	return true
}

// nextProxy returns another proxy for a further concurrent request for a step, or nil. Only a
// gang needs its tickets all at once, and only idle proxies are used.
func (e *Engine) nextProxy(now time.Time, s *step, last *adviceProxy) *adviceProxy {
	if !s.Gang || e.opts.Policy.SingleAdviceRequest || s.advice.pending >= maxRequestsPerStep {
		return nil
	}
	proxy := e.proxyFor(now, s.job.Queue)
	if proxy == nil || proxy == last || proxy.pending > 0 {
		return nil
	}
	return proxy
}

// sendAdviceRequest sends one request through a proxy and returns the time until its answer is
// due.
func (e *Engine) sendAdviceRequest(now time.Time, s *step, proxy *adviceProxy, list []candidate, missing int) time.Duration {
	cost := s.job.Queue.Advice.RequestTime + time.Duration(len(list))*s.job.Queue.Advice.PerWorkerTime
	proxy.pending++
	if proxy.freeAt.Before(now) {
		proxy.freeAt = now
	}
	proxy.freeAt = proxy.freeAt.Add(cost)
	s.advice.pending++
	e.counters.AdviceRequests++
	e.log("advice requested", "step", s.id, "helper", proxy.name, "workers", len(list), "missing", missing,
		"known-good", len(s.advice.permittedWorkers), "reserved", s.reservation != nil, "cost", cost)
	e.emit(AdviceRequest{Step: s.id, Proxy: proxy.name, Workers: workerIDs(list), Cost: cost})
	return proxy.freeAt.Sub(now)
}

// adviceCandidates returns the workers to name in requests: permitted workers with free capacity
// if they suffice, otherwise workers to evict work from, otherwise workers that were not asked
// about yet.
func (e *Engine) adviceCandidates(p *pass, s *step, missing int) []candidate {
	if s.reservation != nil {
		return nil // not all of the reserved capacity is free yet
	}
	var permitted []candidate
	isolated := s.awaitsIsolation()
	for i := range s.advice.permittedWorkers {
		w, ticket := s.advice.permittedWorkers[i].worker, &s.advice.permittedWorkers[i].ticket
		if ticket.usable(p.now) || !p.isOpen(w) || w.free().Millicores < s.demand().Millicores || !s.mayRunOn(w) {
			continue
		}
		if isolated && !e.mayHostIsolated(p, s, w) {
			continue
		}
		if fits := s.fits(w, missing); fits > 0 {
			permitted = append(permitted, candidate{worker: w, free: w.freeFor(s), fits: fits})
		}
	}
	needed := missing
	if !s.Gang {
		needed = 1
	}
	if len(permitted) > 0 && totalFits(permitted)+totalFits(e.candidates(p.withoutDedicated(), s, missing)) >= needed {
		return mostFree(permitted, capacityMargin*float64(missing), 1, len(permitted))
	}
	if list := e.evict(p, s, missing); list != nil {
		return list
	}
	return e.unaskedCandidates(p, s, missing)
}

// requestAdviceAhead requests advice for steps that become ready when the tasks running now are
// done, so that the answer is there by then.
func (e *Engine) requestAdviceAhead(p *pass) {
	for _, j := range e.active {
		if j.Queue.Advice == nil || len(j.Steps) < 2 || p.noProxyFor[j.Queue.Name] || !e.previousRunsResolved(j) {
			continue
		}
		for _, o := range j.open {
			for _, s := range o.steps {
				if e.readySoon(p.now, s) && !e.waitsForCap(s, s.tasksLeft) && e.fitsEmptyFleet(s, s.tasksLeft) && !e.requestAdvice(p, s, s.tasksLeft) {
					p.noProxyFor[j.Queue.Name] = true
				}
			}
		}
	}
}

// readySoon reports whether a step will become ready at about the time an answer would arrive.
func (e *Engine) readySoon(now time.Time, s *step) bool {
	if s.tasksLeft < s.Count || s.ready(now) || s.advice.hasTicket(now) || s.advice.awaitingAnswer(now) {
		return false
	}
	advice := s.job.Queue.Advice
	lead := advice.RequestTime + advice.RequestTime/2 + adviceAheadMargin
	for _, predecessor := range s.After {
		b := s.occ.steps[predecessor]
		if b.tasksLeft > 0 && (b.hasWaiting() || e.remainingStepTime(now, b) > lead) {
			return false
		}
	}
	return true
}

// unaskedCandidates returns workers that were not asked about yet, those with the most free
// capacity first.
func (e *Engine) unaskedCandidates(p *pass, s *step, missing int) []candidate {
	if s.Gang {
		return e.unaskedForGang(p, s, missing)
	}
	advice := s.job.Queue.Advice
	limit := maxWorkersPerRequest
	if advice.PerWorkerTime > 0 {
		// The time for the named workers is at most half of the time for a request.
		limit = min(maxWorkersPerRequest, max(minWorkersPerRequest, int(advice.RequestTime/(2*advice.PerWorkerTime))))
	}
	wanted := capacityMargin * float64(missing) / e.estimatedPermittedShare(s)
	list := make([]candidate, 0, minWorkersPerRequest)
	var busy []*worker
	total := 0.0
	demand := s.demand().Millicores
	for _, entry := range p.workersByFree() {
		if len(list) >= limit || len(list) >= minWorkersPerRequest && total >= wanted {
			return list
		}
		if entry.millicores < demand && len(list)+len(busy) >= minWorkersPerRequest {
			break // the workers after it have no more free capacity
		}
		w := entry.worker
		if s.advice.asked.hasNumber(entry.number) || !s.mayRequest(p, w) {
			continue
		}
		expectedFits := min(ledger.FitCount(s.demand(), w.expectedFree(), missing), w.healthRoom(missing))
		if expectedFits == 0 {
			if len(busy) < minWorkersPerRequest {
				busy = append(busy, w)
			}
			continue
		}
		list = append(list, candidate{worker: w, free: w.freeFor(s), fits: s.fits(w, missing)})
		total += float64(expectedFits)
	}
	// If no capacity is free now, an answer is of use when there is some.
	for _, w := range busy[:min(len(busy), max(0, minWorkersPerRequest-len(list)))] {
		list = append(list, candidate{worker: w, free: w.freeFor(s), fits: s.fits(w, missing)})
	}
	return list
}

// estimatedPermittedShare returns the share of workers that the adviser is expected to permit.
func (e *Engine) estimatedPermittedShare(s *step) float64 {
	return max(e.statsOf(s.job.Queue.Name).permittedShare, minPermittedShare)
}

// mayRequest reports whether a worker can be named in a step's first request.
func (s *step) mayRequest(p *pass, w *worker) bool {
	return !s.advice.asked.has(w) && !p.dedicatedToOther(w, s) && s.mayRunOn(w)
}

// unaskedForGang returns workers for a gang, which needs all its capacity at once: asking again
// would cost the time of a whole request. Workers with free capacity come first. If they have too
// little, the answers should cover enough workers on which capacity can be freed, so that it is
// known at once which ones to use.
func (e *Engine) unaskedForGang(p *pass, s *step, missing int) []candidate {
	limit := maxRequestsPerStep * maxWorkersPerRequest
	if e.opts.Policy.SingleAdviceRequest {
		limit = maxWorkersPerRequest
	}
	share := e.estimatedPermittedShare(s)
	free, withEvictions := 0.0, 0.0
	var list []candidate
	demand := s.demand().Millicores
	p.resetBounds(s)
	for i, entry := range p.workersByFree() {
		if i == len(p.bounds) {
			p.bounds = append(p.bounds, e.mostWithEvictions(p, s, entry.worker))
		}
		if p.bounds[i] < demand || s.advice.asked.hasNumber(entry.number) {
			continue
		}
		w := entry.worker
		fits := ledger.FitCount(s.demand(), e.capacityWithEvictions(p, s, w), missing)
		if fits == 0 || !s.mayRequest(p, w) {
			continue
		}
		list = append(list, candidate{worker: w, free: w.freeFor(s), fits: fits})
		free += float64(ledger.FitCount(s.demand(), w.expectedFree(), missing))
		withEvictions += float64(fits)
		enough := free >= gangCapacityMargin*float64(missing)/share || withEvictions >= gangEvictionMargin*float64(missing)/share
		if len(list) >= limit || len(list) >= minWorkersPerRequest && enough {
			break
		}
	}
	return list
}

// mostFree returns the candidates with the most free capacity, as many as are needed for the
// wanted number of tasks, but at least minCount and at most limit.
func mostFree(list []candidate, wanted float64, minCount, limit int) []candidate {
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.free.Millicores, a.free.Millicores), cmp.Compare(a.worker.ID, b.worker.ID))
	})
	total := 0.0
	for i, c := range list {
		if i >= limit || i >= minCount && total >= wanted {
			return list[:i]
		}
		total += float64(c.fits)
	}
	return list
}

func workerIDs(list []candidate) []string {
	ids := make([]string, 0, len(list))
	for _, c := range list {
		ids = append(ids, c.worker.ID)
	}
	return ids
}

// adviceAnswered handles an answer of the adviser.
func (e *Engine) adviceAnswered(now time.Time, ev AdviceAnswered) {
	e.proxyAnswered(now, ev)
	j := e.jobs[ev.Step.Job]
	if j == nil {
		return
	}
	o := j.occurrence(ev.Step.Occurrence)
	if o == nil || ev.Step.Step >= len(o.steps) {
		return
	}
	s := o.steps[ev.Step.Step]
	a := &s.advice
	a.pending = max(0, a.pending-1)
	if a.pending == 0 {
		s.clearExpectedUse()
	}
	e.log("advice answered", "step", ev.Step, "helper", ev.Proxy, "asked", len(ev.Workers), "good", len(ev.Tickets),
		"failed", ev.Failed, "overloaded", ev.Overloaded, "took", now.Sub(a.requestedAt))
	if ev.Failed {
		a.retryAfter = now.Add(adviceRetryDelay)
		return
	}
	permitted, judged := e.applyAdvice(now, a, ev)
	if judged > 0 {
		stats := e.statsOf(s.job.Queue.Name)
		stats.permittedShare += permittedShareWeight * (float64(permitted)/float64(judged) - stats.permittedShare)
	}
}

// applyAdvice stores the verdicts and tickets of an answer. It returns the number of workers that
// the step had no verdict on before, and how many of them are permitted.
func (e *Engine) applyAdvice(now time.Time, a *stepAdvice, ev AdviceAnswered) (permitted, judged int) {
	permittedBefore := len(a.permittedWorkers)
	for _, ticket := range ev.Tickets {
		w := e.workers[ticket.Worker]
		if w == nil {
			continue
		}
		if !a.asked.has(w) {
			a.asked.add(w)
			judged++
		}
		if !a.permitted.has(w) {
			a.permitted.add(w)
			a.permittedWorkers = append(a.permittedWorkers, permittedWorker{worker: w})
		}
		a.lastTicketExpiry = now.Add(ev.Valid)
		a.setTicket(w, cachedTicket{value: ticket.Value, validUntil: a.lastTicketExpiry})
	}
	for _, id := range ev.Workers {
		if w := e.workers[id]; w != nil && !a.asked.has(w) {
			a.asked.add(w)
			judged++
		}
	}
	return len(a.permittedWorkers) - permittedBefore, judged
}
