package cmds

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/spf13/cobra"

	memberapi "tanagerstack.org/core/api/member"
	"tanagerstack.org/stand/flags"
)

// entryVM are the flags that describe an entry VM to the membership list.
type entryFlags struct {
	members, address, peers flags.Address
	vm                      memberapi.Member
	state                   string
}

func newEnroll() *cobra.Command {
	e := entryFlags{state: string(memberapi.MemberStateLive)}
	e.members.AddrPort = netip.MustParseAddrPort("127.0.0.1:7003")
	cmd := &cobra.Command{
		Use:   "enroll",
		Short: "Put an entry VM on the membership list, or take it off",
		Long: `The platform knows its VMs by itself: entry VMs only read the membership list. This
command puts one on the stand-in's list, as the platform does when it creates a VM,
or changes its state. An entry VM takes no requests before it is listed.`,
		Example: `  tanager-stand enroll --name zurich-a-1 --domain zurich-a --region zurich \
    --address 127.1.1.1:8080 --peer-address 127.1.1.1:7400
  tanager-stand enroll --name zurich-a-1 --domain zurich-a --region zurich \
    --address 127.1.1.1:8080 --peer-address 127.1.1.1:7400 --state gone`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			vm, err := e.member()
			if err != nil {
				return err
			}
			return register(cmd.Context(), e.members.AddrPort, []memberapi.Member{vm})
		},
	}
	e.bind(cmd)
	return cmd
}

func (e *entryFlags) bind(cmd *cobra.Command) {
	set := cmd.Flags()
	set.Var(&e.members, "members-address", "address of the membership list")
	set.StringVar(&e.vm.Name, "name", "", "name of the VM")
	set.StringVar(&e.vm.Domain, "domain", "", "failure domain of the VM")
	set.StringVar(&e.vm.Region, "region", "", "region of the failure domain")
	set.Var(&e.address, "address", "its callers' API")
	set.Var(&e.peers, "peer-address", "its listener for other entry VMs (UDP)")
	set.StringVar(&e.state, "state", e.state, "live, leaving or gone")
}

// member returns the VM as the list takes it, or all errors of the flags.
func (e *entryFlags) member() (memberapi.Member, error) {
	var errs []error
	for _, flag := range []flags.Pair{
		{Name: "name", Value: e.vm.Name}, {Name: "domain", Value: e.vm.Domain}, {Name: "region", Value: e.vm.Region},
	} {
		if flag.Value == "" {
			errs = append(errs, fmt.Errorf("--%s is empty", flag.Name))
		}
	}
	if !e.address.IsValid() || !e.peers.IsValid() {
		errs = append(errs, errors.New("--address and --peer-address must be IP:PORT"))
	}
	vm := e.vm
	vm.Kind = memberapi.MemberKindEntry
	vm.Address, vm.PeerAddress = e.address.String(), memberapi.NewOptString(e.peers.String())
	if err := vm.State.UnmarshalText([]byte(e.state)); err != nil {
		errs = append(errs, fmt.Errorf("--state is %q; accepted is live, leaving or gone", e.state))
	}
	return vm, errors.Join(errs...)
}
