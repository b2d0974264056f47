package bench

import (
	"errors"
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
	// Targets are the addresses of the targets that are called directly.
	Targets []netip.AddrPort
	// TargetControl is the address of the control API of the fake targets.
	TargetControl netip.AddrPort
	// Steady are callers that stay within their limits, Flood is one that exceeds its limit.
	Steady []Caller
	Flood  Caller
	// FloodPerSecond is the request rate of the flooding caller, far above its limit.
	FloodPerSecond int
	// Service is the name of the service in each request.
	Service string
	// CapacityPerSecond is how many requests per second all targets together run, if
	// each request takes RequestTime.
	CapacityPerSecond int
	RequestTime       time.Duration
	// PhaseDuration is the length of each part of a measurement.
	PhaseDuration time.Duration
}

// Validate returns all errors of the options, joined.
func (o *Options) Validate() error {
	var errs []error
	require := func(holds bool, text string) {
		if !holds {
			errs = append(errs, errors.New(text))
		}
	}
	require(len(o.Entries) > 0, "--entry-addresses is empty")
	require(len(o.Targets) > 0, "--target-addresses is empty")
	require(o.TargetControl.IsValid(), "--target-control is empty")
	require(len(o.Steady) > 0, "--callers is empty")
	require(o.Flood.Token != "", "--flood-caller is empty")
	require(o.FloodPerSecond > 0, "--flood-rate must be positive")
	require(o.CapacityPerSecond > 0, "--capacity must be positive")
	require(o.RequestTime > 0 && o.PhaseDuration > 0, "--work and --phase must be positive")
	return errors.Join(errs...)
}
