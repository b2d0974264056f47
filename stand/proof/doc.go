// Package proof holds the tests that run the product as separate processes, with
// real faults. It has no code of its own besides its tests.
//
// The model: startFleet builds the programs once, and starts the stand-ins and the
// entry VMs of a fleet on a block of loopback addresses that no other test holds.
// It applies a first policy, waits until all entry VMs are ready, and stops every
// process at the end of the test, by its process ID. The logs of all processes are
// printed when a test fails.
//
//	f := startFleet(t, options{domains: 3, entries: 3, targets: 10, workers: 10})
//	f.entries[1].kill()                          // SIGKILL
//	f.entries[2].pause()                         // SIGSTOP; resume() goes on
//	code := f.entries[0].stop()                  // SIGTERM, and its exit code
//	f.entries[1].restart()                       // a new process with the same settings
//	f.tables.fault(faultapi.FaultKindLostAnswer) // also objects, members, targets, workers
//	f.tables.fault(faultapi.FaultKindNone)       // over again
//	f.gone(f.entries[1])                         // the platform drops it from its list
//
// Links run through small forwarders in the test itself: the peers' UDP link
// between each two entry VMs, and the TCP link of each entry VM to the platform.
// With options.targetLinks the link to each target has one too.
//
//	f.cutPeers(a, b)               // no datagram passes between a and b; mendPeers
//	f.cutPlatform(a)               // a's connections to the platform are closed, new ones refused; mendPlatform
//	f.silencePlatform(a)           // a's open connections go silent for good, new ones work
//	f.silenceTarget(0)             // likewise for a target
//
// Requests and jobs are sent with send and the generated clients, or with load,
// which runs package load and compares with the stand-ins' records. f.random is
// seeded; the seed is logged, and TANAGER_SEED repeats it. What happens at which
// instant still differs between two runs with one seed.
//
// A panic or data race in any process fails the test. TANAGER_RACE=1 builds the
// programs with the race detector; they are slower then.
//
// All tests are skipped with -short. Each is to end within a minute.
package proof
