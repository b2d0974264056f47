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

// everything is one stand-in of each kind, for people who try things by hand.
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
		Short: "Run all stand-ins in one process, to try things by hand",
		Long: `Runs tables on 127.0.0.1:7001, objects on 127.0.0.1:7002, members on 127.0.0.1:7003,
targets from 127.2.0.1:8080 on and workers from 127.3.0.1:8081 on. Control addresses
are 127.0.0.1:7101 (tables), 7102 (objects), 7103 (members), 7104 (targets) and
7105 (workers). A fault set at any of them strikes all stand-ins of its kind.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd, count) },
	}
	f.targets.domains = flags.Pairs{{Name: "zurich-a", Value: "zurich"}}
	cmd.Flags().Var(&f.targets.domains, "domain", "failure domains with their regions, as DOMAIN=REGION,..")
	cmd.Flags().IntVar(&count, "count", count, "how many targets and workers in each failure domain")
	cmd.Flags().DurationVar(&f.lag, "lag", time.Second, "how long a change takes to show in the membership list")
	cmd.Flags().StringVar(&f.targets.service, "service", "booking", "the service that the targets run")
	return cmd
}

// run serves all stand-ins, each kind on a stage of its own, until the command's context ends.
func (f *allFlags) run(cmd *cobra.Command, count int) error {
	f.setAddressesAndSizes(count)
	platform := []struct {
		name    string
		at      *serviceAddresses
		service service
	}{
		{"tables", &f.tables, table.NewService()},
		{"objects", &f.objects, object.NewService()},
		{"members", &f.members, member.NewService(f.lag)},
	}
	for _, part := range platform {
		if err := newServerSet().addService(part.name, part.at, part.service); err != nil {
			return err
		}
	}
	if err := f.targets.start(cmd.Context(), newServerSet()); err != nil {
		return err
	}
	if err := f.workers.start(cmd.Context(), newServerSet()); err != nil {
		return err
	}
	klog.InfoS("all stand-ins serve; stop them with ctrl-C")
	<-cmd.Context().Done()
	return nil
}

// fill sets the addresses and sizes that the command all does not ask for.
func (f *allFlags) setAddressesAndSizes(count int) {
	set := func(to *flags.Address, text string) { to.AddrPort = netip.MustParseAddrPort(text) }
	set(&f.tables.listen, "127.0.0.1:7001")
	set(&f.tables.control, "127.0.0.1:7101")
	set(&f.objects.listen, "127.0.0.1:7002")
	set(&f.objects.control, "127.0.0.1:7102")
	set(&f.members.listen, "127.0.0.1:7003")
	set(&f.members.control, "127.0.0.1:7103")
	set(&f.targets.first, "127.2.0.1:8080")
	set(&f.targets.control, "127.0.0.1:7104")
	set(&f.targets.members, "127.0.0.1:7003")
	set(&f.workers.first, "127.3.0.1:8081")
	set(&f.workers.control, "127.0.0.1:7105")
	set(&f.workers.members, "127.0.0.1:7003")
	f.targets.count, f.targets.slots, f.targets.work = count, 8, 5*time.Millisecond
	f.workers.count, f.workers.rackSize, f.workers.usageLag = count, 8, time.Second
	f.workers.domains = f.targets.domains
	f.workers.capacity.Millicores, f.workers.capacity.MemoryBytes = 16000, 64<<30
}
