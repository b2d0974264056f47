package load

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// Caller is a caller of the system and its token.
type Caller struct {
	Name  string
	Token string
}

// Options configure a Run.
type Options struct {
	// Entries are the addresses of the callers' API on each entry VM.
	Entries []netip.AddrPort
	// Operators are the addresses of the operators' API on each entry VM. If empty, no
	// policy changes are applied.
	Operators []netip.AddrPort
	// OperatorToken is the token for the operators' API.
	OperatorToken string
	// Callers are the callers that requests and jobs are sent for, in turn.
	Callers []Caller
	// Service is the name of the service in each request.
	Service string
	// Work is the work label of each job.
	Work string
	// TargetControls and WorkerControls are the addresses of the control APIs of the
	// fake targets and workers. If one is empty, its records are not compared.
	TargetControls []netip.AddrPort
	WorkerControls []netip.AddrPort
	// Duration is how long new requests, jobs and policy changes are sent.
	Duration time.Duration
	// RequestsPerSecond and JobsPerSecond are the rates of new requests and jobs.
	RequestsPerSecond float64
	JobsPerSecond     float64
	// MaxInFlight is the maximum number of requests that wait for their answer.
	MaxInFlight int
	// Window is the time in which each request may start, JobWindow the time for each job.
	Window    time.Duration
	JobWindow time.Duration
	// PolicyChangeInterval is the time between policy changes.
	PolicyChangeInterval time.Duration
	// MaxPolicyDelay is the maximum time until a policy change is in force everywhere.
	MaxPolicyDelay time.Duration
	// MinAccepted is the minimum number of accepted requests and jobs.
	MinAccepted int64
	// Seed seeds the random choice of requests and jobs.
	Seed int64
}

// Validate returns all errors of the options, joined.
func (o *Options) Validate() error {
	var errs []error
	require := func(holds bool, format string, args ...any) {
		if !holds {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	require(len(o.Entries) > 0, "--entry-addresses is empty")
	require(len(o.Callers) > 0, "--callers is empty")
	require(len(o.Operators) == 0 || o.OperatorToken != "", "--operator-token is empty")
	require(o.Duration > 0, "--duration is %s; it must be positive", o.Duration)
	require(o.RequestsPerSecond >= 0, "--rate is %g; it must not be negative", o.RequestsPerSecond)
	require(o.JobsPerSecond >= 0, "--job-rate is %g; it must not be negative", o.JobsPerSecond)
	require(o.MaxInFlight > 0, "--in-flight is %d; it must be positive", o.MaxInFlight)
	require(o.Window > 0, "--window is %s; it must be positive", o.Window)
	require(o.JobWindow > 0, "--job-window is %s; it must be positive", o.JobWindow)
	require(o.PolicyChangeInterval > 0, "--change-every is %s; it must be positive", o.PolicyChangeInterval)
	return errors.Join(errs...)
}
