package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerstack.org/core/roster"
)

// Location is the name, failure domain and region of this entry VM.
type Location struct {
	Name   string
	Domain string
	Region string
}

// ForwardCandidates returns the entry VMs to which a request for a service can be
// forwarded, best first: those in the same failure domain, then those in the same
// region, then those in other regions. A candidate is another VM that is live, has a
// seat that is usable at now, and is in a failure domain with a live target of the
// service. VMs at equal distance are ordered by a hash of key and name, so that
// requests with different keys use different VMs.
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

// distance returns 0 for a VM in the same failure domain as from, 1 for one in the
// same region and 2 for any other.
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
