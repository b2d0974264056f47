// Package shared holds what the parts of an entry VM's daemon have in common.
//
// The model: package node builds the links and the state of a VM once, as Parts.
// Packages front (callers), sched (jobs) and oper (operators) embed them in their
// Options and add what only they need. None of them imports another one's state.
package shared

import (
	"time"

	"tanagerstack.org/core/peer"
	"tanagerstack.org/core/policy"
	"tanagerstack.org/core/roster"
	"tanagerstack.org/core/store"
	"tanagerstack.org/core/trace"
)

// Parts are the identity, the links and the state of one entry VM.
type Parts struct {
	// Name, Domain and Region are this entry VM's name and where it is.
	Name   string
	Domain string
	Region string
	// Policy holds the version in force.
	Policy *policy.ActiveVersion
	// Roster returns the present picture of the fleet.
	Roster func() *roster.View
	// Peers sends messages to other entry VMs; nil on a VM that is alone.
	Peers *peer.Node
	// Tables is the platform's table service.
	Tables store.Tables
	// Trace, if set, is told of decisions.
	Trace *trace.Log
	// ClockSkew is the most by which the clocks of two VMs differ.
	ClockSkew time.Duration
	// Now is the clock; time.Now if nil.
	Now func() time.Time
}
