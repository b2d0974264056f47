// Package oper serves the operators' API on one entry VM and keeps the policy in force up to date.
//
// The head row in the platform's tables names the newest accepted policy version. A policyStore
// writes a new version by compare-and-set on the head. A poller reads the head about once per second
// and puts newer versions in force. When a newer version comes into force, a syncer sends it to all
// other VMs. About once per second the syncer also exchanges versions with the VMs whose heartbeats
// name a different one, so that a VM without access to the tables gets the newest version through
// any VM that it can reach.
//
// Queries about the whole fleet (status, explain, burn) are sent to all VMs as peer messages. A VM
// that does not answer is reported as missing, and no data is assumed for it.
package oper
