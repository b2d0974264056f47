// Package roster tracks the membership of the fleet: entry VMs, targets and workers.
//
// It merges three sources:
//
//   - The platform's membership list is authoritative but lags.
//   - Heartbeats between entry VMs are fast but can be interrupted. They only affect
//     routing; missing heartbeats never remove a VM.
//   - The stored roster has one row per failure domain in the platform's tables. It
//     records which entry VMs hold a seat. A seat gives a VM a share of each target's
//     slots and a place in the hash order of claim owners. A VM loses its seat only after
//     the platform's list has dropped it. Because that list lags, a version from before
//     the VM took its seat does not count.
//
// A VM keeps its seat across restarts, and only one process of the VM may use it at
// a time. Before a seat passes to another process, the requests of the previous one
// must have ended; the row stores when that is. A process that was paused reads the
// row again before it uses its seat.
//
// The sources are merged into a View, an immutable snapshot that is read without a
// lock.
package roster
