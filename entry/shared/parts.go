// Package shared defines the options that the services of an entry VM's daemon have in common.
//
// Package node creates the connections and the shared state of a VM once. The packages front
// (callers), sched (jobs) and oper (operators) embed them in their own Options, so that none of
// them depends on the state of another.
package shared

import (
	"time"

	"tanagerstack.org/core/peer"
	"tanagerstack.org/core/policy"
	"tanagerstack.org/core/roster"
	"tanagerstack.org/core/store"
	"tanagerstack.org/core/trace"
)

// CommonOptions are the identity, the connections and the shared state of one entry VM.
type CommonOptions struct {
	// Name, Domain and Region are the name, the failure domain and the region of this entry VM.
	Name   string
	Domain string
	Region string
	// Policy holds the policy version in force.
	Policy *policy.ActiveVersion
	// Roster returns the current view of the fleet.
	Roster func() *roster.View
	// Peers sends messages to other entry VMs; nil if this VM runs without peers.
	Peers *peer.Node
	// Tables is the platform's table service.
	Tables store.Tables
	// Trace, if not nil, records decisions.
	Trace *trace.Log
	// ClockSkew is the largest difference between the clocks of two VMs.
	ClockSkew time.Duration
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}
