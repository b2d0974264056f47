// Package roster knows which VMs there are.
//
// The model has three sources of different strength:
//
//   - The platform's membership list is authoritative but lags.
//   - Heartbeats between entry VMs are fast but can be cut. They only decide
//     whom to route to; silence never removes a VM.
//   - The stored roster is a row of the platform's tables. It says which entry
//     VMs hold a seat, and with it a share of each target's slots and a place in
//     the hash order of claim owners. A VM leaves it only after the platform's
//     list has dropped the VM, read past the list's lag.
//
// A seat belongs to a VM over its restarts, and may be used by one process of it
// at a time. Each change of hands waits until no request of the earlier process
// can run any more; the row stores the instants. A process that was paused reads
// the row again before it uses its seat.
//
// All three are merged into a View, an immutable picture that readers take
// without a lock.
package roster
