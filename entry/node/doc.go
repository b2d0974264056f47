// Package node assembles an entry VM's daemon.
//
// The model: New builds all parts from the settings and opens no more than the
// peer socket. Run opens the HTTP listeners, starts the parts and waits for the
// end of its context, which stands for SIGTERM or an operator's drain. The stop
// is graceful: the VM first says that it is leaving and not ready, then lets
// requests in flight end, hands the domain's lease over, releases its seat, and
// closes its links last.
//
// A VM is ready while a policy version is in force and it may use its seat.
package node
