package worker

import (
	"fmt"
	"net/http"
	"time"

	faultapi "tanagerstack.org/core/api/fault"
	api "tanagerstack.org/core/api/worker"
	"tanagerstack.org/stand/faults"
)

// Options configures the agents of a fleet.
type Options struct {
	// Capacity is the capacity of each agent.
	Capacity api.Resources
	// UsageLag is the maximum age of a usage report.
	UsageLag time.Duration
	// Faults holds the active fault.
	Faults *faults.Injector
}

// Fleet holds agents and the record that they share.
type Fleet struct {
	opts   Options
	record *record
}

// NewFleet returns a fleet with no agents.
func NewFleet(opts Options) *Fleet {
	return &Fleet{opts: opts, record: newRecord()}
}

// Add creates an agent in a failure domain and returns the HTTP handler of its API.
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
		record: f.record, injector: f.opts.Faults, tasks: make(map[string]*task),
	}
}

// Record returns the totals over all agents.
func (f *Fleet) Record() faultapi.Record { return f.record.totals() }

// Executions returns how many times the task with this ID was started.
func (f *Fleet) Executions(id string) int64 { return f.record.startCount(id) }
