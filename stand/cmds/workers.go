package cmds

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	memberapi "tanagerstack.org/core/api/member"
	workerapi "tanagerstack.org/core/api/worker"
	"tanagerstack.org/stand/worker"
)

// workerFlags are the flags of the command workers.
type workerFlags struct {
	fleetFlags
	rackSize int
	usageLag time.Duration
	capacity workerapi.Resources
}

func newWorkers() *cobra.Command {
	var w workerFlags
	cmd := &cobra.Command{
		Use:   "workers",
		Short: "Run fake worker agents, each on its own IP address",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			servers := newServerSet()
			if err := w.start(cmd.Context(), servers); err != nil {
				return err
			}
			servers.wait(cmd.Context())
			return nil
		},
	}
	w.bind(cmd, "127.3.0.1:8081")
	return cmd
}

func (w *workerFlags) bind(cmd *cobra.Command, first string) {
	w.fleetFlags.bind(cmd, first)
	cmd.Flags().IntVar(&w.rackSize, "rack-size", 8, "number of workers per rack")
	cmd.Flags().DurationVar(&w.usageLag, "usage-lag", time.Second, "maximum age of a usage report")
	cmd.Flags().Int64Var(&w.capacity.Millicores, "millicores", 16000, "processor capacity of a worker, in millicores")
	cmd.Flags().Int64Var(&w.capacity.MemoryBytes, "memory-bytes", 64<<30, "memory of a worker, in bytes")
	cmd.Flags().IntVar(&w.capacity.Accelerators, "accelerators", 0, "number of accelerators of a worker")
}

func (w *workerFlags) check() error {
	errs := []error{w.fleetFlags.check()}
	if w.rackSize < 1 {
		errs = append(errs, fmt.Errorf("--rack-size is %d; it must be at least 1", w.rackSize))
	}
	if w.capacity.Millicores < 1 || w.capacity.MemoryBytes < 1 || w.capacity.Accelerators < 0 {
		errs = append(errs, errors.New("--millicores and --memory-bytes must be at least 1, --accelerators at least 0"))
	}
	return errors.Join(errs...)
}

// start starts all agents and registers them with the membership list.
func (w *workerFlags) start(ctx context.Context, servers *serverSet) error {
	if err := w.check(); err != nil {
		return err
	}
	fleet := worker.NewFleet(worker.Options{Capacity: w.capacity, UsageLag: w.usageLag, Faults: servers.injector})
	vms := w.vms(memberapi.MemberKindWorker, "w")
	for i := range vms {
		number := i % w.count
		vms[i].Rack = memberapi.NewOptString(fmt.Sprintf("%s-r%02d", vms[i].Domain, number/w.rackSize+1))
		vms[i].Capacity = memberapi.NewOptResources(memberapi.Resources(w.capacity))
		handler, err := fleet.Add(vms[i].Name, vms[i].Domain)
		if err != nil {
			return err
		}
		if _, err := servers.serve(vms[i].Name, netip.MustParseAddrPort(vms[i].Address), handler); err != nil {
			return err
		}
	}
	if err := servers.serveControl("workers", w.controlAddress.AddrPort, fleet); err != nil {
		return err
	}
	klog.InfoS("serving workers", "count", len(vms), "first", w.firstAddress.AddrPort)
	return register(ctx, w.membersAddress.AddrPort, vms)
}
