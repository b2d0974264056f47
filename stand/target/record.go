package target

import (
	"strings"
	"sync"
	"time"

	faultapi "tanagerstack.org/core/api/fault"
)

// OncePrefix starts the ID of a request that must not run twice.
const OncePrefix = "once-"

// leavingGrace is how long new requests may still reach a leaving target.
const leavingGrace = 3 * time.Second

// record is what the targets of one process did.
type record struct {
	mu           sync.Mutex
	runs         map[string]int64
	executions   int64
	overloaded   int64
	rejected     int64
	afterLeaving int64
	doubled      []string
}

func newRecord() *record {
	return &record{runs: make(map[string]int64)}
}

// execution counts one execution and returns its number, from 1.
func (r *record) execution(id string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions++
	r.runs[id]++
	if r.runs[id] > 1 && strings.HasPrefix(id, OncePrefix) {
		r.doubled = append(r.doubled, id)
	}
	return r.runs[id]
}

func (r *record) overload() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overloaded++
	r.rejected++
}

func (r *record) reject() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rejected++
}

// arrivedLeaving counts a request that came too long after its target began to leave.
func (r *record) arrivedLeaving(since, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rejected++
	if now.Sub(since) > leavingGrace {
		r.afterLeaving++
	}
}

func (r *record) executionsOf(id string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
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
