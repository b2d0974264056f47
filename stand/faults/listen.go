package faults

import (
	"k8s.io/klog/v2"

	api "tanagerstack.org/core/api/fault"
	"tanagerstack.org/stand/host"
)

// Listeners closes the listeners of a group while a certain fault is in force.
type DownObserver struct {
	Group *host.Group
}

// FaultChanged suspends the VMs that are down and resumes the others.
func (o *DownObserver) FaultChanged(f api.Fault) {
	if err := o.Group.Resume(); err != nil {
		klog.ErrorS(err, "resuming listeners")
	}
	if f.Kind != api.FaultKindDown || f.Probability.Or(1) < 1 {
		return
	}
	o.Group.Suspend(func(name string) bool { return Matches(f, name) })
}
