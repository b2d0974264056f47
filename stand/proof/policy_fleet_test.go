package proof

import (
	"context"
	"math/rand"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	faultapi "tanagerstack.org/core/api/fault"
	operapi "tanagerstack.org/core/api/oper"
)

// policyFleet is a fleet with a client for the operators' API of each entry VM.
type policyFleet struct {
	*fleet
	vms []*policyVM
}

// policyVM is an entry VM with a client for its operators' API.
type policyVM struct {
	*entryVM
	client *operapi.Client
	// processChanges is incremented before the process of the VM is killed and after
	// a new one has started.
	processChanges atomic.Int64
}

func newPolicyFleet(t *testing.T) *policyFleet {
	t.Helper()
	f := &policyFleet{fleet: startFleet(t, options{domains: 3, entries: policyVMs / 3})}
	for _, vm := range f.entries {
		f.vms = append(f.vms, &policyVM{entryVM: vm, client: vm.operatorsClient()})
	}
	return f
}

// setTableFault sets the fault of the fake table service. Lost answers affect 40% of
// the requests.
func (f *policyFleet) setTableFault(kind faultapi.FaultKind, random *rand.Rand) {
	fault := faultapi.Fault{Kind: kind}
	if kind == faultapi.FaultKindLostAnswer {
		fault.Probability = faultapi.NewOptFloat64(0.4)
		fault.Seed = faultapi.NewOptInt64(random.Int63())
	}
	f.tables.setFault(fault)
}

// setPlatformCut cuts the VM off from the platform, or reconnects it.
func (vm *policyVM) setPlatformCut(cut bool) {
	if cut {
		vm.fleet.cutPlatform(vm.entryVM)
	} else {
		vm.fleet.restorePlatform(vm.entryVM)
	}
}

// setAllPeersCut cuts the VM off from all other entry VMs, or reconnects it.
func (vm *policyVM) setAllPeersCut(cut bool) {
	for _, other := range vm.fleet.entries {
		if other != vm.entryVM {
			vm.fleet.setPeersCut(vm.entryVM, other, cut)
		}
	}
}

// replace kills the process of the VM and starts a new one.
func (vm *policyVM) replace() {
	vm.processChanges.Add(1)
	vm.signal(syscall.SIGCONT)
	vm.kill()
	vm.restart()
	vm.processChanges.Add(1)
}

// policyVersion returns the version in force on the VM and its document, or 0 if it has
// none or does not answer within 1 s.
func (vm *policyVM) policyVersion(ctx context.Context) (int64, string) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	v, err := vm.client.GetPolicy(ctx)
	if err != nil {
		return 0, ""
	}
	return v.Version, v.Document
}
