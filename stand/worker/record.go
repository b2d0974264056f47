package worker

import (
	"sync"
	"time"

	faultapi "tanagerstack.org/core/api/fault"
)

// record is what the agents of one process did.
type record struct {
	mu         sync.Mutex
	starts     map[string]int64
	locations  map[string]location
	executions int64
	overloaded int64
	rejected   int64
	doubled    []string
}

// place is where a task runs, and until when if nothing more is heard of it.
type location struct {
	agent string
	until time.Time
}

func newRecord() *record {
	return &record{starts: make(map[string]int64), locations: make(map[string]location)}
}

// started notes a start, and a doubled task if it still runs elsewhere.
func (r *record) recordStart(id, agent string, now, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions++
	r.starts[id]++
	if other, found := r.locations[id]; found && other.agent != agent && other.until.After(now) {
		r.doubled = append(r.doubled, id)
	}
	r.locations[id] = location{agent: agent, until: until}
}

// runsUntil notes a new end of a running task.
func (r *record) recordEnd(id, agent string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if current, found := r.locations[id]; found && current.agent != agent && current.until.After(until) {
		return
	}
	r.locations[id] = location{agent: agent, until: until}
}

func (r *record) countOverload() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overloaded++
	r.rejected++
}

func (r *record) countRejection() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rejected++
}

func (r *record) startCount(id string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[id]
}

func (r *record) totals() faultapi.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return faultapi.Record{
		Executions: r.executions,
		Doubled:    int64(len(r.doubled)),
		Overloaded: r.overloaded,
		Rejected:   r.rejected,
		DoubledIDs: append([]string{}, r.doubled...),
	}
}
