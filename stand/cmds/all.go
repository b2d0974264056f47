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
type everything struct {
	tables, objects, members addresses
	lag                      time.Duration
	targets                  targets
	workers                  workers
}

func newAll() *cobra.Command {
	var e everything
	count := 10
	cmd := &cobra.Command{
		Use:   "all",
		Short: "Run all stand-ins in one process, to try things by hand",
		Long: `Runs tables on 127.0.0.1:7001, objects on 127.0.0.1:7002, members on 127.0.0.1:7003,
targets from 127.2.0.1:8080 on and workers from 127.3.0.1:8081 on. Control addresses
are 127.0.0.1:7101 (tables), 7102 (objects), 7103 (members), 7104 (targets) and
7105 (workers). A fault set at any of them strikes all stand-ins of its kind.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return e.run(cmd, count) },
	}
	e.targets.domains = flags.Pairs{{Name: "zurich-a", Value: "zurich"}}
	cmd.Flags().Var(&e.targets.domains, "domain", "failure domains with their regions, as DOMAIN=REGION,..")
	cmd.Flags().IntVar(&count, "count", count, "how many targets and workers in each failure domain")
	cmd.Flags().DurationVar(&e.lag, "lag", time.Second, "how long a change takes to show in the membership list")
	cmd.Flags().StringVar(&e.targets.service, "service", "booking", "the service that the targets run")
	return cmd
}

// run serves all stand-ins, each kind on a stage of its own, until the command's context ends.
func (e *everything) run(cmd *cobra.Command, count int) error {
	e.fill(count)
	platform := []struct {
		name    string
		at      *addresses
		service service
	}{
		{"tables", &e.tables, table.NewService()},
		{"objects", &e.objects, object.NewService()},
		{"members", &e.members, member.NewService(e.lag)},
	}
	for _, part := range platform {
		if err := newStage().add(part.name, part.at, part.service); err != nil {
			return err
		}
	}
	if err := e.targets.start(cmd.Context(), newStage()); err != nil {
		return err
	}
	if err := e.workers.start(cmd.Context(), newStage()); err != nil {
		return err
	}
	klog.InfoS("all stand-ins serve; stop them with ctrl-C")
	<-cmd.Context().Done()
	return nil
}

// fill sets the addresses and sizes that the command all does not ask for.
func (e *everything) fill(count int) {
	set := func(to *flags.Address, text string) { to.AddrPort = netip.MustParseAddrPort(text) }
	set(&e.tables.listen, "127.0.0.1:7001")
	set(&e.tables.control, "127.0.0.1:7101")
	set(&e.objects.listen, "127.0.0.1:7002")
	set(&e.objects.control, "127.0.0.1:7102")
	set(&e.members.listen, "127.0.0.1:7003")
	set(&e.members.control, "127.0.0.1:7103")
	set(&e.targets.first, "127.2.0.1:8080")
	set(&e.targets.control, "127.0.0.1:7104")
	set(&e.targets.members, "127.0.0.1:7003")
	set(&e.workers.first, "127.3.0.1:8081")
	set(&e.workers.control, "127.0.0.1:7105")
	set(&e.workers.members, "127.0.0.1:7003")
	e.targets.count, e.targets.slots, e.targets.work = count, 8, 5*time.Millisecond
	e.workers.count, e.workers.rackSize, e.workers.usageLag = count, 8, time.Second
	e.workers.domains = e.targets.domains
	e.workers.capacity.Millicores, e.workers.capacity.MemoryBytes = 16000, 64<<30
}
