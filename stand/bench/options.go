package bench

import (
	"errors"
	"net/netip"
	"time"
)

// Caller is a caller with its token.
type Caller struct {
	Name  string
	Token string
}

// Options configure a Run.
type Options struct {
	// Entries are the callers' APIs of the entry VMs.
	Entries []netip.AddrPort
	// Targets are targets that are called directly.
	Targets []netip.AddrPort
	// TargetControl is the control API with the targets' records.
	TargetControl netip.AddrPort
	// Steady are well-behaved callers, Flood is one that is not.
	Steady []Caller
	Flood  Caller
	// FloodPerSecond is what the flooding caller sends; far beyond its limit.
	FloodPerSecond int
	// Service is the service asked for.
	Service string
	// CapacityPerSecond is how many requests of Work each all targets run.
	CapacityPerSecond int
	Work              time.Duration
	// Phase is the length of each part of a measurement.
	Phase time.Duration
}

// Check reports all errors of the options at once.
func (o *Options) Check() error {
	var failed []error
	demand := func(holds bool, text string) {
		if !holds {
			failed = append(failed, errors.New(text))
		}
	}
	demand(len(o.Entries) > 0, "--entry-addresses is empty")
	demand(len(o.Targets) > 0, "--target-addresses is empty")
	demand(o.TargetControl.IsValid(), "--target-control is empty")
	demand(len(o.Steady) > 0, "--callers is empty")
	demand(o.Flood.Token != "", "--flood-caller is empty")
	demand(o.FloodPerSecond > 0, "--flood-rate must be positive")
	demand(o.CapacityPerSecond > 0, "--capacity must be positive")
	demand(o.Work > 0 && o.Phase > 0, "--work and --phase must be positive")
	return errors.Join(failed...)
}
