// Package host runs HTTP servers that can be suspended and resumed, to simulate VM failures.
//
// A Server owns one listener on one IP address and port. Suspend closes the
// listener and all its connections, as the crash of a VM does, so that new
// connections are refused. Resume listens on the same address again. A Group
// holds the servers of one process by VM name.
package host
