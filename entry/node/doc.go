// Package node assembles an entry VM's daemon.
//
// New builds all services from the settings and opens only the peer socket. Run opens the HTTP
// listeners, starts the services and waits until its context is canceled (SIGTERM), Stop is called
// (an operator's drain) or a listener fails. The shutdown is graceful: the VM first reports that it
// is leaving and not ready, waits for the requests in flight, hands over the lease of its failure
// domain, releases its seat, and closes its connections last.
//
// A VM is ready while a policy version is in force and it may use its seat.
package node
