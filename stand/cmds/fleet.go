package cmds

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/spf13/cobra"

	memberapi "tanagerstack.org/core/api/member"
	"tanagerstack.org/stand/flags"
)

// fleet are the flags of a stand-in that serves many VMs.
type fleetFlags struct {
	domains flags.Pairs
	count   int
	first   flags.Address
	control flags.Address
	members flags.Address
}

func (f *fleetFlags) bind(cmd *cobra.Command, first string) {
	f.first.AddrPort = netip.MustParseAddrPort(first)
	f.domains = flags.Pairs{{Name: "zurich-a", Value: "zurich"}}
	cmd.Flags().Var(&f.domains, "domain", "failure domains with their regions, as DOMAIN=REGION,..")
	cmd.Flags().IntVar(&f.count, "count", 50, "how many VMs in each failure domain")
	cmd.Flags().Var(&f.first, "address", "address of the first VM; each further one has the next IP number")
	cmd.Flags().Var(&f.control, "control-address", "address of the control API for faults and records; none if empty")
	cmd.Flags().Var(&f.members, "members-address", "address of the membership list; not registered if empty")
}

func (f *fleetFlags) check() error {
	var errs []error
	if f.count < 1 || f.count > 5000 {
		errs = append(errs, fmt.Errorf("--count is %d; accepted is 1 to 5000", f.count))
	}
	if f.first.Port() == 0 {
		errs = append(errs, errors.New("--address has port 0; accepted is 1 to 65535"))
	}
	return errors.Join(errs...)
}

// vms returns the VMs of all failure domains, named DOMAIN-LETTER followed by a number.
func (f *fleetFlags) vms(kind memberapi.MemberKind, letter string) []memberapi.Member {
	all := make([]memberapi.Member, 0, len(f.domains)*f.count)
	address := f.first.AddrPort
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
