package engine

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"tanagerstack.org/core/jobs"
)

// helper is a VM that asks the adviser.
type helper struct {
	name string
	// freeAt is when its questions are answered, by their cost.
	freeAt    time.Time
	questions int
	// detour is how much longer than its cost an answer through it takes, averaged.
	detour time.Duration
}

const (
	// detourMemory is how many answers the detour is averaged over.
	detourMemory = 8
	// detourStep is the difference in detours that changes the order of the VMs:
	// less than the way to another region and back.
	detourStep = 15 * time.Millisecond
)

// observe takes in how long an answer took beyond its cost.
func (h *helper) observe(detour time.Duration) {
	h.detour += (max(0, detour) - h.detour) / detourMemory
}

func (e *Engine) helpersChanged(now time.Time, names []string) {
	slices.Sort(names)
	present := make([]string, 0, len(e.helpers))
	for _, h := range e.helpers {
		present = append(present, h.name)
	}
	slices.Sort(present)
	if slices.Equal(present, names) {
		return
	}
	e.log("helpers changed", "helpers", len(names))
	known := make(map[string]*helper, len(e.helpers))
	for _, h := range e.helpers {
		known[h.name] = h
	}
	e.helpers = nil
	for _, name := range names {
		h := known[name]
		if h == nil {
			h = &helper{name: name, freeAt: now}
		}
		e.helpers = append(e.helpers, h)
	}
}

// releaseHelpers frees VMs whose questions were never answered.
func (e *Engine) releaseHelpers(now time.Time) {
	for _, h := range e.helpers {
		if h.questions > 0 && now.Sub(h.freeAt) > questionTimeout {
			h.questions = 0
		}
	}
}

// releaseHelper notes that a VM's question is answered. The VMs are kept with the
// nearest first, so that the quickest questions go the shortest way.
func (e *Engine) releaseHelper(now time.Time, ev AdviceAnswered) {
	for _, h := range e.helpers {
		if h.name != ev.Proxy || h.questions == 0 {
			continue
		}
		h.questions--
		if h.questions == 0 {
			h.freeAt = now
		}
		if !ev.Failed && h.questions == 0 {
			h.observe(ev.Elapsed - ev.Cost)
		}
	}
	slices.SortStableFunc(e.helpers, func(a, b *helper) int {
		return cmp.Or(cmp.Compare(a.detour/detourStep, b.detour/detourStep), strings.Compare(a.name, b.name))
	})
}

// helperFor returns the VM to ask through, or nil if all that the queue may use
// are taken. Each queue with advice has some VMs of its own. The others are open
// to all, and a queue may use those of queues with slower questions while they
// are idle; questions of a quick queue are never behind a slow one's.
func (e *Engine) helperFor(now time.Time, q jobs.Queue) *helper {
	queues := e.advisedQueues(q)
	position := slices.IndexFunc(queues, func(other jobs.Queue) bool { return other.Name == q.Name })
	own := max(1, int(ownHelperShare*float64(len(e.helpers))))
	var best *helper
	for i, h := range e.helpers {
		owner := len(queues)
		if len(e.helpers) > len(queues) {
			owner = min(i/own, len(queues))
		}
		limit := questionsPerHelper
		switch {
		case owner < position:
			continue
		case owner > position && waitOf(h, now) > q.Advice.RequestTime:
			continue
		case owner != position:
			limit = 1
		}
		if h.questions < limit && (best == nil || waitOf(h, now) < waitOf(best, now)) {
			best = h
		}
	}
	return best
}

func waitOf(h *helper, now time.Time) time.Duration { return max(0, h.freeAt.Sub(now)) }

// advisedQueues returns the queues with advice, the quickest first; q is one of
// them even if the configuration has dropped it.
func (e *Engine) advisedQueues(q jobs.Queue) []jobs.Queue {
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
