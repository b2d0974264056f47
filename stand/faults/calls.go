package faults

import (
	"sync/atomic"

	api "tanagerstack.org/core/api/fault"
)

// Calls is the record of a service that runs nothing: it counts calls. The
// stand-ins of the platform embed it.
type Calls struct {
	writes atomic.Int64
	reads  atomic.Int64
}

// CountWrite counts a call that may change something.
func (c *Calls) CountWrite() { c.writes.Add(1) }

// CountRead counts a call that changes nothing.
func (c *Calls) CountRead() { c.reads.Add(1) }

// Record returns the numbers of calls.
func (c *Calls) Record() api.Record {
	return api.Record{Writes: api.NewOptInt64(c.writes.Load()), Reads: api.NewOptInt64(c.reads.Load())}
}

// Executions is always zero.
func (c *Calls) Executions(string) int64 { return 0 }
