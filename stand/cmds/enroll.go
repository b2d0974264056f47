package cmds

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/spf13/cobra"

	memberapi "tanagerstack.org/core/api/member"
	"tanagerstack.org/stand/flags"
)

// entryFlags are the flags of the command enroll, which describe an entry VM.
type entryFlags struct {
	membersAddress, address, peerAddress flags.Address
	vm                                   memberapi.Member
	state                                string
}

func newEnroll() *cobra.Command {
	e := entryFlags{state: string(memberapi.MemberStateLive)}
	e.membersAddress.AddrPort = netip.MustParseAddrPort("127.0.0.1:7003")
	cmd := &cobra.Command{
		Use:   "enroll",
		Short: "Add an entry VM to the membership list, or remove it",
		Long: `Adds an entry VM to the fake membership list, or changes its state, as the platform does
when it creates or removes a VM. Entry VMs only read the list and do not register
themselves. An entry VM serves no requests until it is listed.`,
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
			return register(cmd.Context(), e.membersAddress.AddrPort, []memberapi.Member{vm})
		},
	}
	e.bind(cmd)
	return cmd
}

func (e *entryFlags) bind(cmd *cobra.Command) {
	set := cmd.Flags()
	set.Var(&e.membersAddress, "members-address", "address of the membership list")
	set.StringVar(&e.vm.Name, "name", "", "name of the VM")
	set.StringVar(&e.vm.Domain, "domain", "", "failure domain of the VM")
	set.StringVar(&e.vm.Region, "region", "", "region of the failure domain")
	set.Var(&e.address, "address", "address of the callers' API of the VM")
	set.Var(&e.peerAddress, "peer-address", "UDP address where the VM listens for other entry VMs")
	set.StringVar(&e.state, "state", e.state, "state of the VM: live, leaving or gone")
}

// member returns the VM as a member of the list, or the errors of all invalid flags.
func (e *entryFlags) member() (memberapi.Member, error) {
	var errs []error
	for _, flag := range []flags.Pair{
		{Name: "name", Value: e.vm.Name}, {Name: "domain", Value: e.vm.Domain}, {Name: "region", Value: e.vm.Region},
	} {
		if flag.Value == "" {
			errs = append(errs, fmt.Errorf("--%s must not be empty", flag.Name))
		}
	}
	if !e.address.IsValid() || !e.peerAddress.IsValid() {
		errs = append(errs, errors.New("--address and --peer-address must be IP:PORT"))
	}
	vm := e.vm
	vm.Kind = memberapi.MemberKindEntry
	vm.Address, vm.PeerAddress = e.address.String(), memberapi.NewOptString(e.peerAddress.String())
	if err := vm.State.UnmarshalText([]byte(e.state)); err != nil {
		errs = append(errs, fmt.Errorf("--state is %q; it must be live, leaving or gone", e.state))
	}
	return vm, errors.Join(errs...)
}
