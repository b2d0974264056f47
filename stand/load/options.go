package load

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// Caller is a caller of the system with its token.
type Caller struct {
	Name  string
	Token string
}

// Options configure a Run.
type Options struct {
	// Entries are the callers' APIs of the entry VMs.
	Entries []netip.AddrPort
	// Operators are the operators' APIs of the entry VMs; no policy changes if empty.
	Operators []netip.AddrPort
	// OperatorToken opens the operators' API.
	OperatorToken string
	// Callers send the load in turn.
	Callers []Caller
	// Service is the service that requests ask for.
	Service string
	// Work is the kind of work of the jobs.
	Work string
	// TargetControls and WorkerControls are the control APIs whose records are compared.
	TargetControls []netip.AddrPort
	WorkerControls []netip.AddrPort
	// Duration is how long new load is sent.
	Duration time.Duration
	// RequestsPerSecond and JobsPerSecond are the rates of new load.
	RequestsPerSecond float64
	JobsPerSecond     float64
	// InFlight bounds the requests that wait for their answer.
	InFlight int
	// Window is the window of each request, JobWindow that of each job.
	Window    time.Duration
	JobWindow time.Duration
	// ChangeEvery is the time between policy changes.
	ChangeEvery time.Duration
	// PolicyLimit is how long a policy change may take.
	PolicyLimit time.Duration
	// MinAccepted is the least number of accepted requests and jobs.
	MinAccepted int64
	// Seed makes the mix of the load repeatable.
	Seed int64
}

// Check reports all errors of the options at once.
func (o *Options) Check() error {
	var failed []error
	demand := func(holds bool, format string, args ...any) {
		if !holds {
			failed = append(failed, fmt.Errorf(format, args...))
		}
	}
	demand(len(o.Entries) > 0, "--entry-addresses is empty")
	demand(len(o.Callers) > 0, "--callers is empty")
	demand(len(o.Operators) == 0 || o.OperatorToken != "", "--operator-token is empty")
	demand(o.Duration > 0, "--duration is %s; it must be positive", o.Duration)
	demand(o.RequestsPerSecond >= 0, "--rate is %g; it must not be negative", o.RequestsPerSecond)
	demand(o.JobsPerSecond >= 0, "--job-rate is %g; it must not be negative", o.JobsPerSecond)
	demand(o.InFlight > 0, "--in-flight is %d; it must be positive", o.InFlight)
	demand(o.Window > 0, "--window is %s; it must be positive", o.Window)
	demand(o.JobWindow > 0, "--job-window is %s; it must be positive", o.JobWindow)
	demand(o.ChangeEvery > 0, "--change-every is %s; it must be positive", o.ChangeEvery)
	return errors.Join(failed...)
}
