// Package core has no code of its own. It documents the packages that the
// programs of tanagerstack share.
//
// The packages fall into five groups:
//
//   - api/NAME: clients and servers generated from the OpenAPI document
//     api/NAME.yaml. They are the only shapes that cross to callers, operators
//     and the platform.
//   - adapters to what lies outside: store (the platform's tables), roster
//     (membership), peer (QUIC between entry VMs), lease (who schedules a
//     failure domain), conf (settings), keys (certificates).
//   - guard bounds what clients and other VMs can make a process hold. crowd plays
//     hostile clients for its tests.
//   - records of what happened, for operators: trace (decisions), burn (service
//     levels). Nothing depends on them for correctness.
//   - decisions: admit, route, claim, ledger, place, queue, policy. A decision
//     takes its state and an instant as arguments and returns a typed verdict
//     with a reason. It has no clock, no socket and no goroutine, so that a
//     naive version can run beside it.
package core
