// Package proof holds tests that run the product as separate processes and inject
// faults into them. It contains only tests.
//
// startFleet builds the programs once, and starts the fake services and the entry
// VMs of a fleet on a block of loopback addresses that no other test uses. It
// applies a first policy, waits until all entry VMs are ready, and ends every
// process by its process ID at the end of the test. If a test fails, it prints the
// end of the logs of all processes.
//
//	f := startFleet(t, options{domains: 3, entries: 3, targets: 10, workers: 10})
//	f.entries[1].kill()                                 // SIGKILL
//	f.entries[2].pause()                                // SIGSTOP; resume() sends SIGCONT
//	code := f.entries[0].stop()                         // SIGTERM; returns the exit code
//	f.entries[1].restart()                              // starts a new process with the same flags
//	f.tables.setFaultKind(faultapi.FaultKindLostAnswer) // also objects, members, targets, workers
//	f.tables.setFaultKind(faultapi.FaultKindNone)       // ends the fault
//	f.markGone(f.entries[1])                            // the platform lists the VM as gone
//
// Connections run through small forwarders in the test process: the UDP link between
// each two entry VMs, and the TCP links of each entry VM to the platform. With
// options.targetLinks there is also one for each target.
//
//	f.cutPeers(a, b)    // drops all datagrams between a and b, until restorePeers
//	f.cutPlatform(a)    // closes a's connections to the platform and new ones, until restorePlatform
//	f.stallPlatform(a)  // a's open connections stay open but carry no more data; new ones work
//	f.stallTarget(0)    // the same for the connections to a target
//
// Requests and jobs are sent with send and the generated clients, or with
// startLoad, which runs package load and compares the answers with the records of
// the fake services. f.random is seeded. The seed is logged, and TANAGER_SEED sets
// it. Two runs with the same seed still differ in timing.
//
// A panic or data race in any process fails the test. TANAGER_RACE=1 builds the
// programs with the race detector, which makes them slower.
//
// With -short, all tests that start a fleet are skipped. Each test should end within a minute.
package proof
