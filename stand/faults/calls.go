package faults

import (
	"sync/atomic"

	api "tanagerstack.org/core/api/fault"
)

// Calls is the Recorder of a service that runs no requests or tasks: it only counts API calls. The
// fakes of the platform services embed it.
type Calls struct {
	writes atomic.Int64
	reads  atomic.Int64
}

// CountWrite counts a call that may change state.
func (c *Calls) CountWrite() { c.writes.Add(1) }

// CountRead counts a read-only call.
func (c *Calls) CountRead() { c.reads.Add(1) }

// Record returns the number of writes and reads.
func (c *Calls) Record() api.Record {
	return api.Record{Writes: api.NewOptInt64(c.writes.Load()), Reads: api.NewOptInt64(c.reads.Load())}
}

// Executions always returns zero.
func (c *Calls) Executions(string) int64 { return 0 }
