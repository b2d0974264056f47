package engine

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"tanagerstack.org/core/jobs"
)

// helper is a VM that asks the adviser.
type adviceProxy struct {
	name string
	// freeAt is when its questions are answered, by their cost.
	freeAt  time.Time
	pending int
	// detour is how much longer than its cost an answer through it takes, averaged.
	overhead time.Duration
}

const (
	// detourMemory is how many answers the detour is averaged over.
	overheadSamples = 8
	// detourStep is the difference in detours that changes the order of the VMs:
	// less than the way to another region and back.
	overheadStep = 15 * time.Millisecond
)

// observe takes in how long an answer took beyond its cost.
func (h *adviceProxy) observe(detour time.Duration) {
	h.overhead += (max(0, detour) - h.overhead) / overheadSamples
}

func (e *Engine) adviceProxiesChanged(now time.Time, names []string) {
	slices.Sort(names)
	present := make([]string, 0, len(e.adviceProxies))
	for _, h := range e.adviceProxies {
		present = append(present, h.name)
	}
	slices.Sort(present)
	if slices.Equal(present, names) {
		return
	}
	e.log("helpers changed", "helpers", len(names))
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

// releaseHelpers frees VMs whose questions were never answered.
func (e *Engine) expireProxyRequests(now time.Time) {
	for _, h := range e.adviceProxies {
		if h.pending > 0 && now.Sub(h.freeAt) > adviceTimeout {
			h.pending = 0
		}
	}
}

// releaseHelper notes that a VM's question is answered. The VMs are kept with the
// nearest first, so that the quickest questions go the shortest way.
func (e *Engine) proxyAnswered(now time.Time, ev AdviceAnswered) {
	for _, h := range e.adviceProxies {
		if h.name != ev.Helper || h.pending == 0 {
			continue
		}
		h.pending--
		if h.pending == 0 {
			h.freeAt = now
		}
		if !ev.Failed && h.pending == 0 {
			h.observe(ev.Took - ev.Cost)
		}
	}
	slices.SortStableFunc(e.adviceProxies, func(a, b *adviceProxy) int {
		return cmp.Or(cmp.Compare(a.overhead/overheadStep, b.overhead/overheadStep), strings.Compare(a.name, b.name))
	})
}

// helperFor returns the VM to ask through, or nil if all that the queue may use
// are taken. Each queue with advice has some VMs of its own. The others are open
// to all, and a queue may use those of queues with slower questions while they
// are idle; questions of a quick queue are never behind a slow one's.
func (e *Engine) proxyFor(now time.Time, q jobs.Queue) *adviceProxy {
	queues := e.queuesWithAdvice(q)
	position := slices.IndexFunc(queues, func(other jobs.Queue) bool { return other.Name == q.Name })
	own := max(1, int(ownProxyShare*float64(len(e.adviceProxies))))
	var best *adviceProxy
	for i, h := range e.adviceProxies {
		owner := len(queues)
		if len(e.adviceProxies) > len(queues) {
			owner = min(i/own, len(queues))
		}
		limit := maxRequestsPerProxy
		switch {
		case owner < position:
			continue
		case owner > position && proxyWait(h, now) > q.Advice.Decide:
			continue
		case owner != position:
			limit = 1
		}
		if h.pending < limit && (best == nil || proxyWait(h, now) < proxyWait(best, now)) {
			best = h
		}
	}
	return best
}

func proxyWait(h *adviceProxy, now time.Time) time.Duration { return max(0, h.freeAt.Sub(now)) }

// advisedQueues returns the queues with advice, the quickest first; q is one of
// them even if the configuration has dropped it.
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
		return cmp.Or(cmp.Compare(a.Advice.Decide, b.Advice.Decide), cmp.Compare(a.Name, b.Name))
	})
	return list
}
