package cmds

import (
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"tanagerstack.org/stand/faults"
	"tanagerstack.org/stand/flags"
	"tanagerstack.org/stand/member"
	"tanagerstack.org/stand/object"
	"tanagerstack.org/stand/table"
)

// service is a fake platform service with one API and a record.
type service interface {
	faults.Recorder
	Handler() (http.Handler, error)
}

// serviceAddresses are the address flags of a command that runs one fake platform service.
type serviceAddresses struct {
	listen  flags.Address
	control flags.Address
}

func (a *serviceAddresses) bind(cmd *cobra.Command, listen string) {
	a.listen.AddrPort = netip.MustParseAddrPort(listen)
	cmd.Flags().Var(&a.listen, "address", "address of the API")
	cmd.Flags().Var(&a.control, "control-address", "address of the control API for faults and records; not served if empty")
}

// runService serves one fake platform service until the command's context ends.
func runService(cmd *cobra.Command, name string, a *serviceAddresses, s service) error {
	servers := newServerSet()
	if err := servers.addService(name, a, s); err != nil {
		return err
	}
	servers.wait(cmd.Context())
	return nil
}

func (s *serverSet) addService(name string, a *serviceAddresses, svc service) error {
	handler, err := svc.Handler()
	if err != nil {
		return err
	}
	address, err := s.serve(name, a.listen.AddrPort, handler)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	klog.InfoS("serving", "name", name, "address", address)
	return s.serveControl(name, a.control.AddrPort, svc)
}

func newTables() *cobra.Command {
	var a serviceAddresses
	cmd := &cobra.Command{
		Use:   "tables",
		Short: "Run a fake table service",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return runService(cmd, "tables", &a, table.NewService()) },
	}
	a.bind(cmd, "127.0.0.1:7001")
	return cmd
}

func newObjects() *cobra.Command {
	var a serviceAddresses
	cmd := &cobra.Command{
		Use:   "objects",
		Short: "Run a fake object store",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runService(cmd, "objects", &a, object.NewService())
		},
	}
	a.bind(cmd, "127.0.0.1:7002")
	return cmd
}

func newMembers() *cobra.Command {
	var a serviceAddresses
	var lag time.Duration
	cmd := &cobra.Command{
		Use:   "members",
		Short: "Run a fake membership list",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if lag < 0 {
				return fmt.Errorf("--lag is %s; it must not be negative", lag)
			}
			return runService(cmd, "members", &a, member.NewService(lag))
		},
	}
	a.bind(cmd, "127.0.0.1:7003")
	cmd.Flags().DurationVar(&lag, "lag", time.Second, "delay until a change is visible in the list")
	return cmd
}
