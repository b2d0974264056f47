package target

import (
	"fmt"
	"net/http"
	"time"

	faultapi "tanagerstack.org/core/api/fault"
	api "tanagerstack.org/core/api/target"
	"tanagerstack.org/stand/faults"
)

// Options configures the targets of a fleet.
type Options struct {
	// Service is the only service that the targets run. Empty means any service.
	Service string
	// Slots is the maximum number of concurrent requests per target.
	Slots int
	// Work is how long a request takes if its body does not specify a duration.
	Work time.Duration
	// Faults holds the active fault.
	Faults *faults.Injector
}

// Fleet holds targets and the record that they share.
type Fleet struct {
	opts   Options
	record *record
}

// NewFleet returns a fleet with no targets.
func NewFleet(opts Options) *Fleet {
	return &Fleet{opts: opts, record: newRecord()}
}

// Add creates a target and returns the HTTP handler of its API.
func (f *Fleet) Add(name string) (http.Handler, error) {
	t := &Target{
		name: name, service: f.opts.Service, slots: f.opts.Slots, defaultWork: f.opts.Work,
		record: f.record, injector: f.opts.Faults,
	}
	server, err := api.NewServer(t)
	if err != nil {
		return nil, fmt.Errorf("target API: %w", err)
	}
	return server, nil
}

// Record returns the totals over all targets.
func (f *Fleet) Record() faultapi.Record { return f.record.totals() }

// Executions returns how many times the request with this ID was run.
func (f *Fleet) Executions(id string) int64 { return f.record.executionCount(id) }
