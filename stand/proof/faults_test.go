package proof

import (
	"testing"
	"time"

	faultapi "tanagerstack.org/core/api/fault"
)

// TestWholePathUnderFaults sends requests, jobs and policy changes while the platform,
// an entry VM, a network link and the targets fail in turn. It checks every answer
// against the records of the fake targets and workers.
func TestWholePathUnderFaults(t *testing.T) {
	f := startFleet(t, options{domains: 2, entries: 3, targets: 6, workers: 6})
	// The window is long enough for a job that is accepted just before an outage to
	// run after it.
	opts := f.loadOptions(10 * time.Second)
	opts.JobWindow = 25 * time.Second
	l := startLoad(opts)
	victim := f.entries[f.random.Intn(len(f.entries))]
	steps := []func(){
		func() { f.tables.setFaultKind(faultapi.FaultKindDown) },
		func() { f.tables.setFault(sometimes(faultapi.FaultKindLostAnswer, f.random.Int63())) },
		func() { f.tables.setFaultKind(faultapi.FaultKindNone); victim.pause() },
		func() { victim.resume(); f.members.setFaultKind(faultapi.FaultKindDown) },
		func() { f.members.setFaultKind(faultapi.FaultKindNone); f.setDomainCut(domainNames[0], true) },
		func() {
			f.setDomainCut(domainNames[0], false)
			f.targets.setFault(sometimes(faultapi.FaultKindShortBody, f.random.Int63()))
		},
		func() { f.targets.setFaultKind(faultapi.FaultKindNone) },
	}
	for _, step := range steps {
		time.Sleep(1300 * time.Millisecond)
		step()
	}
	l.finish(t)
}

// sometimes returns a fault that affects a fifth of the requests, chosen at random.
func sometimes(kind faultapi.FaultKind, seed int64) faultapi.Fault {
	return faultapi.Fault{
		Kind: kind, Probability: faultapi.NewOptFloat64(0.2), Seed: faultapi.NewOptInt64(seed),
	}
}
