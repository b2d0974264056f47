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

// policyFleet is a fleet with a client of each VM's operators' API.
type policyFleet struct {
	*fleet
	vms []*policyVM
}

// policyVM is an entry VM as operators see it.
type policyVM struct {
	*entryVM
	client *operapi.Client
	// instance grows when a process of the VM ends and when one starts.
	instance atomic.Int64
}

func newPolicyFleet(t *testing.T) *policyFleet {
	t.Helper()
	f := &policyFleet{fleet: startFleet(t, options{domains: 3, entries: policyVMs / 3})}
	for _, vm := range f.entries {
		f.vms = append(f.vms, &policyVM{entryVM: vm, client: vm.operatorsClient()})
	}
	return f
}

// setTables sets the fault of the table service.
func (f *policyFleet) setTables(kind faultapi.FaultKind, random *rand.Rand) {
	fault := faultapi.Fault{Kind: kind}
	if kind == faultapi.FaultKindLostAnswer {
		fault.Probability = faultapi.NewOptFloat64(0.4)
		fault.Seed = faultapi.NewOptInt64(random.Int63())
	}
	f.tables.setFault(fault)
}

// cutTables cuts the VM off from the platform, or heals it.
func (vm *policyVM) cutTables(cut bool) {
	if cut {
		vm.fleet.cutPlatform(vm.entryVM)
	} else {
		vm.fleet.mendPlatform(vm.entryVM)
	}
}

// cutPeers cuts the VM off from all others, or heals it.
func (vm *policyVM) cutPeers(cut bool) {
	for _, other := range vm.fleet.entries {
		if other != vm.entryVM {
			vm.fleet.setPeers(vm.entryVM, other, cut)
		}
	}
}

// replace kills the VM's process and starts a new one.
func (vm *policyVM) replace() {
	vm.instance.Add(1)
	vm.signal(syscall.SIGCONT)
	vm.kill()
	vm.restart()
	vm.instance.Add(1)
}

// number returns the version in force on the VM and its document, or 0 if it
// has none or does not answer.
func (vm *policyVM) number(ctx context.Context) (int64, string) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	v, err := vm.client.GetPolicy(ctx)
	if err != nil {
		return 0, ""
	}
	return v.Version, v.Document
}
