package cmds

import (
	"net/netip"
	"time"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"tanagerstack.org/stand/flags"
	"tanagerstack.org/stand/member"
	"tanagerstack.org/stand/object"
	"tanagerstack.org/stand/table"
)

// allFlags are the flags of the command all, which runs all fakes in one process for manual tests.
type allFlags struct {
	tables, objects, members serviceAddresses
	lag                      time.Duration
	targets                  targetFlags
	workers                  workerFlags
}

func newAll() *cobra.Command {
	var f allFlags
	count := 10
	cmd := &cobra.Command{
		Use:   "all",
		Short: "Run all fakes in one process, for manual tests",
		Long: `Runs tables on 127.0.0.1:7001, objects on 127.0.0.1:7002 and members on 127.0.0.1:7003.
Targets start at 127.2.0.1:8080 and workers at 127.3.0.1:8081. Control addresses are
127.0.0.1:7101 (tables), 7102 (objects), 7103 (members), 7104 (targets) and 7105
(workers). A fault that is set through one of them applies to all fakes of that kind.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd, count) },
	}
	f.targets.domains = flags.Pairs{{Name: "zurich-a", Value: "zurich"}}
	cmd.Flags().Var(&f.targets.domains, "domain", "failure domains and their regions, as DOMAIN=REGION,..")
	cmd.Flags().IntVar(&count, "count", count, "number of targets and number of workers in each failure domain")
	cmd.Flags().DurationVar(&f.lag, "lag", time.Second, "delay until a change is visible in the membership list")
	cmd.Flags().StringVar(&f.targets.service, "service", "booking", "service that the targets run")
	return cmd
}

// run serves all fakes until the command's context ends. Each kind has its own serverSet, so that it has
// its own active fault.
func (f *allFlags) run(cmd *cobra.Command, count int) error {
	f.setAddressesAndSizes(count)
	platform := []struct {
		name      string
		addresses *serviceAddresses
		service   service
	}{
		{"tables", &f.tables, table.NewService()},
		{"objects", &f.objects, object.NewService()},
		{"members", &f.members, member.NewService(f.lag)},
	}
	for _, part := range platform {
		if err := newServerSet().addService(part.name, part.addresses, part.service); err != nil {
			return err
		}
	}
	if err := f.targets.start(cmd.Context(), newServerSet()); err != nil {
		return err
	}
	if err := f.workers.start(cmd.Context(), newServerSet()); err != nil {
		return err
	}
	klog.InfoS("all fakes are serving; press ctrl-C to stop")
	<-cmd.Context().Done()
	return nil
}

// setAddressesAndSizes sets the options for which the command all has no flags.
func (f *allFlags) setAddressesAndSizes(count int) {
	set := func(to *flags.Address, text string) { to.AddrPort = netip.MustParseAddrPort(text) }
	set(&f.tables.listen, "127.0.0.1:7001")
	set(&f.tables.control, "127.0.0.1:7101")
	set(&f.objects.listen, "127.0.0.1:7002")
	set(&f.objects.control, "127.0.0.1:7102")
	set(&f.members.listen, "127.0.0.1:7003")
	set(&f.members.control, "127.0.0.1:7103")
	set(&f.targets.firstAddress, "127.2.0.1:8080")
	set(&f.targets.controlAddress, "127.0.0.1:7104")
	set(&f.targets.membersAddress, "127.0.0.1:7003")
	set(&f.workers.firstAddress, "127.3.0.1:8081")
	set(&f.workers.controlAddress, "127.0.0.1:7105")
	set(&f.workers.membersAddress, "127.0.0.1:7003")
	f.targets.count, f.targets.slots, f.targets.work = count, 8, 5*time.Millisecond
	f.workers.count, f.workers.rackSize, f.workers.usageLag = count, 8, time.Second
	f.workers.domains = f.targets.domains
	f.workers.capacity.Millicores, f.workers.capacity.MemoryBytes = 16000, 64<<30
}
