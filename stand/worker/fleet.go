package worker

import (
	"fmt"
	"net/http"
	"time"

	faultapi "tanagerstack.org/core/api/fault"
	api "tanagerstack.org/core/api/worker"
	"tanagerstack.org/stand/faults"
)

// Options describe the agents of a fleet.
type Options struct {
	// Capacity is what each agent has.
	Capacity api.Resources
	// UsageLag is how old a usage report may be.
	UsageLag time.Duration
	// Faults are the faults in force.
	Faults *faults.Injector
}

// Fleet holds the agents of one process with their common record.
type Fleet struct {
	opts   Options
	record *record
}

// NewFleet returns a fleet without agents.
func NewFleet(opts Options) *Fleet {
	return &Fleet{opts: opts, record: newRecord()}
}

// Add returns the API of a new agent in a failure domain.
func (f *Fleet) Add(name, domain string) (http.Handler, error) {
	server, err := api.NewServer(f.agent(name, domain))
	if err != nil {
		return nil, fmt.Errorf("worker API: %w", err)
	}
	return server, nil
}

func (f *Fleet) agent(name, domain string) *agent {
	return &agent{
		name: name, domain: domain, capacity: f.opts.Capacity, usageLag: f.opts.UsageLag,
		record: f.record, faults: f.opts.Faults, tasks: make(map[string]*task),
	}
}

// Record returns the totals of all agents.
func (f *Fleet) Record() faultapi.Record { return f.record.totals() }

// Executions returns how often a task was started.
func (f *Fleet) Executions(id string) int64 { return f.record.startCount(id) }
