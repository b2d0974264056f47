package claim

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"tanagerstack.org/core/roster"
)

// Key names a non-idempotent request.
type Key struct {
	// Caller is the caller's name in the policy, ID its identifier of the request.
	Caller string `cbor:"1,keyasint"`
	ID     string `cbor:"2,keyasint"`
}

// String returns the key of the claim's row.
func (k Key) String() string { return k.Caller + "/" + k.ID }

// Order returns the entry VMs of a failure domain that hold a seat, in the
// key's rendezvous hash order. All VMs with the same stored roster agree on it.
func Order(view *roster.View, domain string, key Key) []roster.VM {
	var order []roster.VM
	for i := range view.VMs {
		if vm := &view.VMs[i]; vm.Domain == domain && vm.Seat >= 0 {
			order = append(order, *vm)
		}
	}
	name := key.String()
	slices.SortFunc(order, func(a, b roster.VM) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(b.Name+"/"+name), xxhash.Sum64String(a.Name+"/"+name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return order
}
