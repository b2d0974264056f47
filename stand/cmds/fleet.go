package cmds

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/spf13/cobra"

	memberapi "tanagerstack.org/core/api/member"
	"tanagerstack.org/stand/flags"
)

// fleetFlags are the flags of a command that runs many fake VMs.
type fleetFlags struct {
	domains        flags.Pairs
	count          int
	firstAddress   flags.Address
	controlAddress flags.Address
	membersAddress flags.Address
}

func (f *fleetFlags) bind(cmd *cobra.Command, first string) {
	f.firstAddress.AddrPort = netip.MustParseAddrPort(first)
	f.domains = flags.Pairs{{Name: "zurich-a", Value: "zurich"}}
	cmd.Flags().Var(&f.domains, "domain", "failure domains and their regions, as DOMAIN=REGION,..")
	cmd.Flags().IntVar(&f.count, "count", 50, "number of VMs in each failure domain")
	cmd.Flags().Var(&f.firstAddress, "address", "address of the first VM; each further VM has the next IP address and the same port")
	cmd.Flags().Var(&f.controlAddress, "control-address", "address of the control API for faults and records; not served if empty")
	cmd.Flags().Var(&f.membersAddress, "members-address", "address of the membership list; the VMs are not registered if empty")
}

func (f *fleetFlags) check() error {
	var errs []error
	if f.count < 1 || f.count > 5000 {
		errs = append(errs, fmt.Errorf("--count is %d; it must be 1 to 5000", f.count))
	}
	if f.firstAddress.Port() == 0 {
		errs = append(errs, errors.New("--address has port 0; it must be 1 to 65535"))
	}
	return errors.Join(errs...)
}

// vms returns the VMs of all failure domains as members in state live. They are called DOMAIN-LETTERNNN,
// where NNN counts from 001 in each domain.
func (f *fleetFlags) vms(kind memberapi.MemberKind, letter string) []memberapi.Member {
	all := make([]memberapi.Member, 0, len(f.domains)*f.count)
	address := f.firstAddress.AddrPort
	for _, domain := range f.domains {
		for number := 1; number <= f.count; number++ {
			all = append(all, memberapi.Member{
				Name:    fmt.Sprintf("%s-%s%03d", domain.Name, letter, number),
				Kind:    kind,
				State:   memberapi.MemberStateLive,
				Address: address.String(),
				Domain:  domain.Name,
				Region:  domain.Value,
			})
			address = netip.AddrPortFrom(address.Addr().Next(), address.Port())
		}
	}
	return all
}
