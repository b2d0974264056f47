package target

import (
	"strings"
	"sync"
	"time"

	faultapi "tanagerstack.org/core/api/fault"
)

// OncePrefix is the ID prefix of requests that are not idempotent and must run at most once.
const OncePrefix = "once-"

// leavingGrace is how long after a target starts to leave new requests may still reach it.
const leavingGrace = 3 * time.Second

// record counts the requests that the targets of one Fleet received.
type record struct {
	mu           sync.Mutex
	runsByID     map[string]int64
	executions   int64
	overloaded   int64
	rejected     int64
	afterLeaving int64
	doubled      []string
}

func newRecord() *record {
	return &record{runsByID: make(map[string]int64)}
}

// countExecution counts one execution of a request and returns how many times the request has run,
// including this one.
func (r *record) countExecution(id string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions++
	r.runsByID[id]++
	if r.runsByID[id] > 1 && strings.HasPrefix(id, OncePrefix) {
		r.doubled = append(r.doubled, id)
	}
	return r.runsByID[id]
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

// countArrivalWhileLeaving counts a rejected request to a target that has been leaving since the
// given time. It also counts towards afterLeaving if leavingGrace has passed.
func (r *record) countArrivalWhileLeaving(since, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rejected++
	if now.Sub(since) > leavingGrace {
		r.afterLeaving++
	}
}

func (r *record) executionCount(id string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runsByID[id]
}

func (r *record) totals() faultapi.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return faultapi.Record{
		Executions:   r.executions,
		Doubled:      int64(len(r.doubled)),
		Overloaded:   r.overloaded,
		Rejected:     r.rejected,
		AfterLeaving: faultapi.NewOptInt64(r.afterLeaving),
		DoubledIDs:   append([]string{}, r.doubled...),
	}
}
