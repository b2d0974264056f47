package cmds

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	faultapi "tanagerstack.org/core/api/fault"
	memberapi "tanagerstack.org/core/api/member"
	"tanagerstack.org/stand/faults"
	"tanagerstack.org/stand/flags"
	"tanagerstack.org/stand/target"
)

// targetFlags are the flags of the command targets.
type targetFlags struct {
	fleetFlags
	service string
	slots   int
	work    time.Duration
}

func newTargets() *cobra.Command {
	var t targetFlags
	cmd := &cobra.Command{
		Use:   "targets",
		Short: "Run fake service targets, each on its own IP address",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			servers := newServerSet()
			if err := t.start(cmd.Context(), servers); err != nil {
				return err
			}
			servers.wait(cmd.Context())
			return nil
		},
	}
	t.bind(cmd, "127.2.0.1:8080")
	return cmd
}

func (t *targetFlags) bind(cmd *cobra.Command, first string) {
	t.fleetFlags.bind(cmd, first)
	cmd.Flags().StringVar(&t.service, "service", "booking", "service that the targets run")
	cmd.Flags().IntVar(&t.slots, "slots", 8, "maximum number of concurrent requests per target")
	cmd.Flags().DurationVar(&t.work, "work", 5*time.Millisecond, "duration of a request that does not specify one")
}

func (t *targetFlags) check() error {
	errs := []error{t.fleetFlags.check()}
	if t.slots < 1 {
		errs = append(errs, fmt.Errorf("--slots is %d; it must be at least 1", t.slots))
	}
	if t.work < 0 {
		errs = append(errs, fmt.Errorf("--work is %s; it must not be negative", t.work))
	}
	return errors.Join(errs...)
}

// start starts all targets and registers them with the membership list.
func (t *targetFlags) start(ctx context.Context, servers *serverSet) error {
	if err := t.check(); err != nil {
		return err
	}
	fleet := target.NewFleet(target.Options{Service: t.service, Slots: t.slots, Work: t.work, Faults: servers.injector})
	vms := t.vms(memberapi.MemberKindTarget, "t")
	for i := range vms {
		vms[i].Slots = memberapi.NewOptInt(t.slots)
		vms[i].Service = memberapi.NewOptString(t.service)
		handler, err := fleet.Add(vms[i].Name)
		if err != nil {
			return err
		}
		if _, err := servers.serve(vms[i].Name, netip.MustParseAddrPort(vms[i].Address), handler); err != nil {
			return err
		}
	}
	if err := servers.serveControl("targets", t.controlAddress.AddrPort, fleet); err != nil {
		return err
	}
	if err := register(ctx, t.membersAddress.AddrPort, vms); err != nil {
		return err
	}
	servers.injector.AddObserver(&leavingObserver{ctx: ctx, membersAddress: t.membersAddress, vms: vms})
	klog.InfoS("serving targets", "count", len(vms), "first", t.firstAddress.AddrPort)
	return nil
}

// leavingObserver updates the state of VMs in the membership list when a fault of kind leaving is set or
// cleared.
type leavingObserver struct {
	ctx            context.Context
	membersAddress flags.Address

	mu  sync.Mutex
	vms []memberapi.Member
}

// FaultChanged registers the VMs whose state changes, in the background.
func (l *leavingObserver) FaultChanged(f faultapi.Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changed []memberapi.Member
	for i := range l.vms {
		state := memberapi.MemberStateLive
		if f.Kind == faultapi.FaultKindLeaving && faults.Matches(f, l.vms[i].Name) {
			state = memberapi.MemberStateLeaving
		}
		if l.vms[i].State != state {
			l.vms[i].State = state
			changed = append(changed, l.vms[i])
		}
	}
	go (&backgroundRegistration{membersAddress: l.membersAddress.AddrPort, vms: changed}).run(l.ctx)
}

// backgroundRegistration registers VMs without blocking the caller.
type backgroundRegistration struct {
	membersAddress netip.AddrPort
	vms            []memberapi.Member
}

func (r *backgroundRegistration) run(ctx context.Context) {
	if err := register(ctx, r.membersAddress, r.vms); err != nil {
		klog.ErrorS(err, "failed to update VM states in the membership list")
	}
}
