package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerstack.org/core/roster"
)

// Place is where this entry VM is.
type Location struct {
	Name   string
	Domain string
	Region string
}

// Elsewhere returns the entry VMs that a request for a service may be passed
// on to, best first: those of the own failure domain, then of the own region,
// then of other regions. Only domains with a live target of the service count,
// and only VMs that are live and have a usable seat at now. The request's key
// spreads requests over equals.
func ForwardCandidates(view *roster.View, from Location, service, key string, now time.Time) []roster.VM {
	serving := make(map[string]bool)
	for i := range view.Targets {
		if target := &view.Targets[i]; target.Service == service && target.State == roster.Live {
			serving[target.Domain] = true
		}
	}
	var found []roster.VM
	for i := range view.VMs {
		vm := &view.VMs[i]
		usable := vm.Seat >= 0 && !now.Before(vm.SeatUsableAt)
		if vm.Name != from.Name && vm.State == roster.Live && serving[vm.Domain] && usable {
			found = append(found, *vm)
		}
	}
	slices.SortStableFunc(found, func(a, b roster.VM) int {
		return cmp.Or(
			cmp.Compare(distance(from, a), distance(from, b)),
			cmp.Compare(xxhash.Sum64String(key+a.Name), xxhash.Sum64String(key+b.Name)),
		)
	})
	return found
}

// distance is 0 in the own failure domain, 1 in the own region, 2 elsewhere.
func distance(from Location, vm roster.VM) int {
	switch {
	case vm.Domain == from.Domain:
		return 0
	case vm.Region == from.Region:
		return 1
	default:
		return 2
	}
}
