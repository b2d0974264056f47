package worker

import (
	"sync"
	"time"

	faultapi "tanagerstack.org/core/api/fault"
)

// record counts what the agents of one Fleet did, by task and in total.
type record struct {
	mu         sync.Mutex
	startsByID map[string]int64
	locations  map[string]location
	executions int64
	overloaded int64
	rejected   int64
	doubled    []string
}

// location is the agent that runs a task, and when the task ends unless a later request changes it.
type location struct {
	agent string
	until time.Time
}

func newRecord() *record {
	return &record{startsByID: make(map[string]int64), locations: make(map[string]location)}
}

// recordStart records the start of a task. The task is doubled if it still runs on another agent.
func (r *record) recordStart(id, agent string, now, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions++
	r.startsByID[id]++
	if other, found := r.locations[id]; found && other.agent != agent && other.until.After(now) {
		r.doubled = append(r.doubled, id)
	}
	r.locations[id] = location{agent: agent, until: until}
}

// recordEnd records a changed end time of a running task. It ignores the change if the task has since
// started on another agent and runs longer there.
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
	return r.startsByID[id]
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
