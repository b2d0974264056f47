package target

import (
	"fmt"
	"net/http"
	"time"

	faultapi "tanagerstack.org/core/api/fault"
	api "tanagerstack.org/core/api/target"
	"tanagerstack.org/stand/faults"
)

// Options describe the targets of a fleet.
type Options struct {
	// Service is the one service that the targets run; empty means any.
	Service string
	// Slots is how many requests a target runs at once.
	Slots int
	// Work is how long a request takes that does not say so itself.
	Work time.Duration
	// Faults are the faults in force.
	Faults *faults.Switch
}

// Fleet holds the targets of one process with their common record.
type Fleet struct {
	opts   Options
	record *record
}

// NewFleet returns a fleet without targets.
func NewFleet(opts Options) *Fleet {
	return &Fleet{opts: opts, record: newRecord()}
}

// Add returns the API of a new target.
func (f *Fleet) Add(name string) (http.Handler, error) {
	t := &Target{
		name: name, service: f.opts.Service, slots: f.opts.Slots, work: f.opts.Work,
		record: f.record, faults: f.opts.Faults,
	}
	server, err := api.NewServer(t)
	if err != nil {
		return nil, fmt.Errorf("target API: %w", err)
	}
	return server, nil
}

// Record returns the totals of all targets.
func (f *Fleet) Record() faultapi.Record { return f.record.totals() }

// Executions returns how often a request was run.
func (f *Fleet) Executions(id string) int64 { return f.record.executionsOf(id) }
