package proof

import (
	"testing"
	"time"

	faultapi "tanagerstack.org/core/api/fault"
)

// TestWholePathUnderFaults runs all three paths while the platform and an entry VM
// fail in turn, and checks every answer against the stand-ins' records.
func TestWholePathUnderFaults(t *testing.T) {
	f := startFleet(t, options{domains: 2, entries: 3, targets: 6, workers: 6})
	// A job that is accepted just before an outage still has its window after it.
	opts := f.loadOptions(10 * time.Second)
	opts.JobWindow = 25 * time.Second
	l := startLoad(opts)
	victim := f.entries[f.random.Intn(len(f.entries))]
	steps := []func(){
		func() { f.tables.fault(faultapi.FaultKindDown) },
		func() { f.tables.setFault(sometimes(faultapi.FaultKindLostAnswer, f.random.Int63())) },
		func() { f.tables.fault(faultapi.FaultKindNone); victim.pause() },
		func() { victim.resume(); f.members.fault(faultapi.FaultKindDown) },
		func() { f.members.fault(faultapi.FaultKindNone); f.cutDomain(domainNames[0], true) },
		func() {
			f.cutDomain(domainNames[0], false)
			f.targets.setFault(sometimes(faultapi.FaultKindShortBody, f.random.Int63()))
		},
		func() { f.targets.fault(faultapi.FaultKindNone) },
	}
	for _, step := range steps {
		time.Sleep(1300 * time.Millisecond)
		step()
	}
	l.finish(t)
}

// sometimes is a fault that strikes a fifth of the requests.
func sometimes(kind faultapi.FaultKind, seed int64) faultapi.Fault {
	return faultapi.Fault{
		Kind: kind, Probability: faultapi.NewOptFloat64(0.2), Seed: faultapi.NewOptInt64(seed),
	}
}
