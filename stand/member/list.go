package member

import (
	"slices"
	"strings"
	"sync"
	"time"

	api "tanagerstack.org/core/api/member"
)

// List holds the history of all VMs, going back as far as the lag requires. It is safe for
// concurrent use.
type List struct {
	lag time.Duration

	mu      sync.Mutex
	history map[string][]event
}

// event is a change to one VM. A nil member means that the VM was removed.
type event struct {
	at     time.Time
	member *api.Member
}

// NewList returns an empty list that serves changes after lag.
func NewList(lag time.Duration) *List {
	return &List{lag: lag, history: make(map[string][]event)}
}

// Put registers or updates a VM at time now. State gone removes the VM.
func (l *List) Put(m api.Member, now time.Time) {
	if m.State == api.MemberStateGone {
		l.appendEvent(m.Name, event{at: now})
		return
	}
	l.appendEvent(m.Name, event{at: now, member: &m})
}

// Remove removes a VM at time now.
func (l *List) Remove(name string, now time.Time) {
	l.appendEvent(name, event{at: now})
}

// At returns the members that are served at time now, sorted by name, and as of when.
func (l *List) At(now time.Time) (members []api.Member, asOf time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	asOf = now.Add(-l.lag)
	for name := range l.history {
		if m := l.stateAt(name, asOf); m != nil {
			members = append(members, *m)
		}
	}
	slices.SortFunc(members, func(a, b api.Member) int { return strings.Compare(a.Name, b.Name) })
	return members, asOf
}

func (l *List) appendEvent(name string, e event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history[name] = append(l.history[name], e)
}

// stateAt returns the VM as of asOf, or nil if it was not registered then. It deletes events that
// later calls no longer need. The caller holds mu.
func (l *List) stateAt(name string, asOf time.Time) *api.Member {
	events := l.history[name]
	for len(events) > 1 && !events[1].at.After(asOf) {
		events = events[1:]
	}
	l.history[name] = events
	if events[0].at.After(asOf) {
		return nil
	}
	if events[0].member == nil && len(events) == 1 {
		delete(l.history, name)
	}
	return events[0].member
}
