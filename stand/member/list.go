package member

import (
	"slices"
	"strings"
	"sync"
	"time"

	api "tanagerstack.org/core/api/member"
)

// List holds the history of all VMs as far back as the lag needs it.
type List struct {
	lag time.Duration

	mu      sync.Mutex
	history map[string][]event
}

// event is a change of one VM; a nil member means that it was removed.
type event struct {
	at     time.Time
	member *api.Member
}

// NewList returns an empty list with a lag.
func NewList(lag time.Duration) *List {
	return &List{lag: lag, history: make(map[string][]event)}
}

// Put registers a VM at the instant now, or changes it.
func (l *List) Put(m api.Member, now time.Time) {
	if m.State == api.MemberStateGone {
		l.add(m.Name, event{at: now})
		return
	}
	l.add(m.Name, event{at: now, member: &m})
}

// Remove removes a VM at the instant now.
func (l *List) Remove(name string, now time.Time) {
	l.add(name, event{at: now})
}

// At returns the list as it is served at the instant now, sorted by name.
func (l *List) At(now time.Time) api.MemberList {
	l.mu.Lock()
	defer l.mu.Unlock()
	asOf := now.Add(-l.lag)
	listed := []api.Member{}
	for name := range l.history {
		if m := l.lookup(name, asOf); m != nil {
			listed = append(listed, *m)
		}
	}
	slices.SortFunc(listed, func(a, b api.Member) int { return strings.Compare(a.Name, b.Name) })
	return api.MemberList{AsOf: asOf, Members: listed}
}

func (l *List) add(name string, e event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history[name] = append(l.history[name], e)
}

// lookup returns the VM as it was at asOf, and forgets what came before.
func (l *List) lookup(name string, asOf time.Time) *api.Member {
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
