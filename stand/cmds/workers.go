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

// workers are the flags of the worker stand-ins.
type workers struct {
	fleet
	rackSize int
	usageLag time.Duration
	capacity workerapi.Resources
}

func newWorkers() *cobra.Command {
	var w workers
	cmd := &cobra.Command{
		Use:   "workers",
		Short: "Run worker agents, each on an IP number of its own",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			st := newStage()
			if err := w.start(cmd.Context(), st); err != nil {
				return err
			}
			st.wait(cmd.Context())
			return nil
		},
	}
	w.bind(cmd, "127.3.0.1:8081")
	return cmd
}

func (w *workers) bind(cmd *cobra.Command, first string) {
	w.fleet.bind(cmd, first)
	cmd.Flags().IntVar(&w.rackSize, "rack-size", 8, "how many workers share a rack")
	cmd.Flags().DurationVar(&w.usageLag, "usage-lag", time.Second, "how old a usage report may be")
	cmd.Flags().Int64Var(&w.capacity.Millicores, "millicores", 16000, "processors of a worker, in thousandths")
	cmd.Flags().Int64Var(&w.capacity.MemoryBytes, "memory-bytes", 64<<30, "memory of a worker")
	cmd.Flags().IntVar(&w.capacity.Accelerators, "accelerators", 0, "accelerators of a worker")
}

func (w *workers) check() error {
	failed := []error{w.fleet.check()}
	if w.rackSize < 1 {
		failed = append(failed, fmt.Errorf("--rack-size is %d; it must be at least 1", w.rackSize))
	}
	if w.capacity.Millicores < 1 || w.capacity.MemoryBytes < 1 || w.capacity.Accelerators < 0 {
		failed = append(failed, errors.New("--millicores and --memory-bytes must be at least 1, --accelerators at least 0"))
	}
	return errors.Join(failed...)
}

// start serves all agents and registers them.
func (w *workers) start(ctx context.Context, st *stage) error {
	if err := w.check(); err != nil {
		return err
	}
	served := worker.NewFleet(worker.Options{Capacity: w.capacity, UsageLag: w.usageLag, Faults: st.faults})
	vms := w.vms(memberapi.MemberKindWorker, "w")
	for i := range vms {
		number := i % w.count
		vms[i].Rack = memberapi.NewOptString(fmt.Sprintf("%s-r%02d", vms[i].Domain, number/w.rackSize+1))
		vms[i].Capacity = memberapi.NewOptResources(memberapi.Resources(w.capacity))
		handler, err := served.Add(vms[i].Name, vms[i].Domain)
		if err != nil {
			return err
		}
		if _, err := st.serve(vms[i].Name, netip.MustParseAddrPort(vms[i].Address), handler); err != nil {
			return err
		}
	}
	if err := st.control("workers", w.control.AddrPort, served); err != nil {
		return err
	}
	klog.InfoS("serving workers", "count", len(vms), "first", w.first.AddrPort)
	return register(ctx, w.members.AddrPort, vms)
}
