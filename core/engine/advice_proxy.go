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
func (h *adviceProxy) observe(detour time.Duration) {
	h.overhead += (max(0, detour) - h.overhead) / overheadSamples
}

func (e *Engine) adviceProxiesChanged(now time.Time, names []string) {
	slices.Sort(names)
	current := make([]string, 0, len(e.adviceProxies))
	for _, h := range e.adviceProxies {
		current = append(current, h.name)
	}
	slices.Sort(current)
	if slices.Equal(current, names) {
		return
	}
	e.log("advice proxies changed", "helpers", len(names))
	known := make(map[string]*adviceProxy, len(e.adviceProxies))
	for _, h := range e.adviceProxies {
		known[h.name] = h
	}
	e.adviceProxies = nil
	for _, name := range names {
		h := known[name]
		if h == nil {
			h = &adviceProxy{name: name, freeAt: now}
		}
		e.adviceProxies = append(e.adviceProxies, h)
	}
}

// expireProxyRequests frees proxies whose requests were not answered in time.
func (e *Engine) expireProxyRequests(now time.Time) {
	for _, h := range e.adviceProxies {
		if h.pending > 0 && now.Sub(h.freeAt) > adviceTimeout {
			h.pending = 0
		}
	}
}

// proxyAnswered records that a proxy's request was answered. The proxies are sorted by overhead,
// so that the quickest requests take the shortest path.
func (e *Engine) proxyAnswered(now time.Time, ev AdviceAnswered) {
	for _, h := range e.adviceProxies {
		if h.name != ev.Proxy || h.pending == 0 {
			continue
		}
		h.pending--
		if h.pending == 0 {
			h.freeAt = now
		}
		if !ev.Failed && h.pending == 0 {
			h.observe(ev.Elapsed - ev.Cost)
		}
	}
	slices.SortStableFunc(e.adviceProxies, func(a, b *adviceProxy) int {
		return cmp.Or(cmp.Compare(a.overhead/overheadStep, b.overhead/overheadStep), strings.Compare(a.name, b.name))
	})
}

// proxyFor returns the proxy for a request of a queue, or nil if all that the queue may use are
// taken. Each queue with advice has some proxies of its own, the quickest queue the first ones. A
// queue can also use idle proxies that belong to no queue or to queues with slower requests, but
// only if the wait there is at most its own decision time. A quick request is thus never queued
// behind a slow one.
func (e *Engine) proxyFor(now time.Time, q jobs.Queue) *adviceProxy {
	queues := e.queuesWithAdvice(q)
	position := slices.IndexFunc(queues, func(other jobs.Queue) bool { return other.Name == q.Name })
	ownCount := max(1, int(ownProxyShare*float64(len(e.adviceProxies))))
	var best *adviceProxy
	for i, h := range e.adviceProxies {
		ownerPosition := len(queues)
		if len(e.adviceProxies) > len(queues) {
			ownerPosition = min(i/ownCount, len(queues))
		}
		limit := maxRequestsPerProxy
		switch {
		case ownerPosition < position:
			continue
		case ownerPosition > position && proxyWait(h, now) > q.Advice.RequestTime:
			continue
		case ownerPosition != position:
			limit = 1
		}
		if h.pending < limit && (best == nil || proxyWait(h, now) < proxyWait(best, now)) {
			best = h
		}
	}
	return best
}

func proxyWait(h *adviceProxy, now time.Time) time.Duration { return max(0, h.freeAt.Sub(now)) }

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
