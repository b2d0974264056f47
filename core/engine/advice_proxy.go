package engine

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"tanagerstack.org/core/jobs"
)

// adviceProxy is an entry VM through which the adviser is reached.
type adviceProxy struct {
	name string
	// freeAt is the time at which the outstanding requests are answered, according to their cost.
	freeAt  time.Time
	pending int
	// overhead is the moving average of the time that an answer through the proxy takes beyond
	// its cost.
	overhead time.Duration
}

const (
	// overheadSamples is the number of answers that the overhead is averaged over.
	overheadSamples = 8
	// overheadStep is the granularity at which proxies are compared by overhead: less than a
	// round trip to another region.
	overheadStep = 15 * time.Millisecond
)

// observe updates the overhead with that of one answer.
func (p *adviceProxy) observe(overhead time.Duration) {
	p.overhead += (max(0, overhead) - p.overhead) / overheadSamples
}

func (e *Engine) adviceProxiesChanged(now time.Time, names []string) {
	slices.Sort(names)
	current := make([]string, 0, len(e.adviceProxies))
	for _, p := range e.adviceProxies {
		current = append(current, p.name)
	}
	slices.Sort(current)
	if slices.Equal(current, names) {
		return
	}
	e.log("advice proxies changed", "helpers", len(names))
	known := make(map[string]*adviceProxy, len(e.adviceProxies))
	for _, p := range e.adviceProxies {
		known[p.name] = p
	}
	e.adviceProxies = nil
	for _, name := range names {
		p := known[name]
		if p == nil {
			p = &adviceProxy{name: name, freeAt: now}
		}
		e.adviceProxies = append(e.adviceProxies, p)
	}
}

// expireProxyRequests frees proxies whose requests were not answered in time.
func (e *Engine) expireProxyRequests(now time.Time) {
	for _, p := range e.adviceProxies {
		if p.pending > 0 && now.Sub(p.freeAt) > adviceTimeout {
			p.pending = 0
		}
	}
}

// proxyAnswered records that a proxy's request was answered. The proxies are sorted by overhead,
// so that the quickest requests take the shortest path.
func (e *Engine) proxyAnswered(now time.Time, ev AdviceAnswered) {
	for _, p := range e.adviceProxies {
		if p.name != ev.Proxy || p.pending == 0 {
			continue
		}
		p.pending--
		if p.pending == 0 {
			p.freeAt = now
		}
		if !ev.Failed && p.pending == 0 {
			p.observe(ev.Elapsed - ev.Cost)
		}
	}
	slices.SortStableFunc(e.adviceProxies, func(a, b *adviceProxy) int {
		return cmp.Or(cmp.Compare(a.overhead/overheadStep, b.overhead/overheadStep), strings.Compare(a.name, b.name))
	})
}

// proxyFor returns the proxy for a request of a queue, or nil if all that the queue may use are
// taken. Each queue with advice has some proxies of its own: the quickest queue has the first
// ones in the sorted list. A queue can also use idle proxies that belong to no queue or to a
// queue with slower requests, unless the wait there exceeds its own RequestTime. A quick request
// is thus never queued behind a slow one.
func (e *Engine) proxyFor(now time.Time, q jobs.Queue) *adviceProxy {
	queues := e.queuesWithAdvice(q)
	position := slices.IndexFunc(queues, func(other jobs.Queue) bool { return other.Name == q.Name })
	ownCount := max(1, int(ownProxyShare*float64(len(e.adviceProxies))))
	var best *adviceProxy
	for i, p := range e.adviceProxies {
		ownerPosition := len(queues)
		if len(e.adviceProxies) > len(queues) {
			ownerPosition = min(i/ownCount, len(queues))
		}
		limit := maxRequestsPerProxy
		switch {
		case ownerPosition < position:
			continue
		case ownerPosition > position && proxyWait(p, now) > q.Advice.RequestTime:
			continue
		case ownerPosition != position:
			limit = 1
		}
		if p.pending < limit && (best == nil || proxyWait(p, now) < proxyWait(best, now)) {
			best = p
		}
	}
	return best
}

func proxyWait(p *adviceProxy, now time.Time) time.Duration { return max(0, p.freeAt.Sub(now)) }

// queuesWithAdvice returns the queues with advice, the quickest first. It includes q even if the
// configuration no longer has it.
func (e *Engine) queuesWithAdvice(q jobs.Queue) []jobs.Queue {
	list := []jobs.Queue{q}
	if e.config != nil {
		for _, other := range e.config.Queues {
			if other.Advice != nil && other.Name != q.Name {
				list = append(list, other)
			}
		}
	}
	slices.SortFunc(list, func(a, b jobs.Queue) int {
		return cmp.Or(cmp.Compare(a.Advice.RequestTime, b.Advice.RequestTime), cmp.Compare(a.Name, b.Name))
	})
	return list
}
