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
	position, queues := e.proxyPosition(q)
	ownCount := max(1, int(ownProxyShare*float64(len(e.adviceProxies))))
	first := 0
	if len(e.adviceProxies) > queues {
		first = min(position*ownCount, len(e.adviceProxies)) // those before it belong to quicker queues
	}
	var best *adviceProxy
	var bestWait time.Duration
	for i, p := range e.adviceProxies[first:] {
		ownerPosition := queues
		if len(e.adviceProxies) > queues {
			ownerPosition = min((first+i)/ownCount, queues)
		}
		limit := 1
		if ownerPosition == position {
			limit = maxRequestsPerProxy
		}
		if p.pending >= limit {
			continue
		}
		wait := proxyWait(p, now)
		if ownerPosition > position && wait > q.Advice.RequestTime || best != nil && wait >= bestWait {
			continue
		}
		best, bestWait = p, wait
		if wait == 0 {
			break
		}
	}
	return best
}

func proxyWait(p *adviceProxy, now time.Time) time.Duration { return max(0, p.freeAt.Sub(now)) }

// proxyPosition returns the position of a queue among the queues with advice, of which the quickest is
// the first, and their number. The queue counts even if the configuration no longer has it.
func (e *Engine) proxyPosition(q jobs.Queue) (position, count int) {
	count = 1
	for _, other := range e.advisedQueues {
		if other.name == q.Name {
			continue
		}
		count++
		if cmp.Or(cmp.Compare(other.requestTime, q.Advice.RequestTime), cmp.Compare(other.name, q.Name)) < 0 {
			position++
		}
	}
	return position, count
}

// advisedQueue is a queue with advice of the configuration in force.
type advisedQueue struct {
	name        string
	requestTime time.Duration
}

// advisedQueues returns the queues with advice of a configuration.
func advisedQueues(config *jobs.Config) []advisedQueue {
	var list []advisedQueue
	for i := range config.Queues {
		if q := &config.Queues[i]; q.Advice != nil {
			list = append(list, advisedQueue{name: q.Name, requestTime: q.Advice.RequestTime})
		}
	}
	return list
}
