// Package host serves HTTP handlers on addresses that can go away and come back.
//
// The model: a Server owns one listener on one IP number and port. Suspend
// closes the listener and all its connections, as the death of a VM does, so
// that new connections are refused; Resume listens on the same address again.
// A Group holds the servers of one process by the name of their VM.
package host
