// Package load sends load to tanagerstack as callers and operators do, and checks
// the answers against what the fake targets and workers recorded.
//
// A Run starts three drivers that work concurrently for a bounded time:
//
//   - The request driver sends service requests at a fixed rate. Some of them are
//     non-idempotent, and some of those are sent twice through different entry VMs.
//   - The job driver submits batch, gang and service jobs and polls each until it
//     is in a final state.
//   - The policy driver applies policy changes and measures how long each takes to
//     be in force on all live entry VMs.
//
// All drivers distribute their calls over the entry VMs as a load balancer does. A
// request without an answer is sent again with the same ID.
//
// After the run, the audit reads from the fake targets and workers how often each
// request and task ran. It counts as violations: requests and jobs that were
// reported completed but never ran, requests that were reported refused but ran,
// and accepted jobs that were not in a final state when their window closed.
package load
