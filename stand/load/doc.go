// Package load drives tanagerstack as its callers and operators do, and then
// checks what it was told against what the stand-ins recorded.
//
// The model: a Run starts three drivers that work side by side for a bounded
// time. The request driver sends service requests at a fixed rate, some of them
// non-idempotent, and some of those twice through different entry VMs. The job
// driver submits batch, gang and service jobs and follows each to its end. The
// policy driver applies changes and measures how long each takes to be in force
// on every live entry VM. All of them spread their calls over the entry VMs as a
// balancer does, and send a request that got no answer again with the same ID.
//
// Each request or job ends with a verdict. The audit then asks the stand-ins how
// often each ran, and counts as lost what was said to be completed but never ran,
// was said to be refused but ran, or was accepted and had no outcome when its
// window closed.
package load
