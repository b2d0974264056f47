package faults

import (
	"k8s.io/klog/v2"

	api "tanagerstack.org/core/api/fault"
	"tanagerstack.org/stand/host"
)

// DownObserver closes the listeners of a group while a fault of kind down is active.
type DownObserver struct {
	Group *host.Group
}

// FaultChanged resumes all VMs, then suspends those that the fault takes down. A fault with a
// probability below 1 suspends none, because it resets single requests instead.
func (o *DownObserver) FaultChanged(f api.Fault) {
	if err := o.Group.Resume(); err != nil {
		klog.ErrorS(err, "failed to resume listeners")
	}
	if f.Kind != api.FaultKindDown || f.Probability.Or(1) < 1 {
		return
	}
	o.Group.Suspend(func(name string) bool { return Matches(f, name) })
}
