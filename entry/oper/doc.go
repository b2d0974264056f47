// Package oper serves the operators of a fleet on one entry VM: their API and
// the controller that keeps the policy in force.
//
// The model: the newest accepted policy is named by the head row of the
// platform's tables. A changer writes a new version by compare-and-set on the
// head. A poller reads the head each second and takes newer versions into the
// policy.Keeper. Whenever the version in force grows, a spreader tells all
// other VMs. Each second it also asks those whose heartbeats name another
// version, so that a VM cut off from the tables still learns of it through any
// VM that it reaches.
//
// Questions about the whole fleet (status, explain, burn) are put to all VMs by
// peer messages. A VM that does not answer is named as missing; nothing is
// made up in its place.
package oper
