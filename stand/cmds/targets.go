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

// targets are the flags of the target stand-ins.
type targets struct {
	fleet
	service string
	slots   int
	work    time.Duration
}

func newTargets() *cobra.Command {
	var t targets
	cmd := &cobra.Command{
		Use:   "targets",
		Short: "Run service targets, each on an IP number of its own",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			st := newStage()
			if err := t.start(cmd.Context(), st); err != nil {
				return err
			}
			st.wait(cmd.Context())
			return nil
		},
	}
	t.bind(cmd, "127.2.0.1:8080")
	return cmd
}

func (t *targets) bind(cmd *cobra.Command, first string) {
	t.fleet.bind(cmd, first)
	cmd.Flags().StringVar(&t.service, "service", "booking", "the service that the targets run")
	cmd.Flags().IntVar(&t.slots, "slots", 8, "how many requests a target runs at once")
	cmd.Flags().DurationVar(&t.work, "work", 5*time.Millisecond, "how long a request takes that does not say so")
}

func (t *targets) check() error {
	failed := []error{t.fleet.check()}
	if t.slots < 1 {
		failed = append(failed, fmt.Errorf("--slots is %d; it must be at least 1", t.slots))
	}
	if t.work < 0 {
		failed = append(failed, fmt.Errorf("--work is %s; it must not be negative", t.work))
	}
	return errors.Join(failed...)
}

// start serves all targets and registers them.
func (t *targets) start(ctx context.Context, st *stage) error {
	if err := t.check(); err != nil {
		return err
	}
	served := target.NewFleet(target.Options{Service: t.service, Slots: t.slots, Work: t.work, Faults: st.faults})
	vms := t.vms(memberapi.MemberKindTarget, "t")
	for i := range vms {
		vms[i].Slots = memberapi.NewOptInt(t.slots)
		vms[i].Service = memberapi.NewOptString(t.service)
		handler, err := served.Add(vms[i].Name)
		if err != nil {
			return err
		}
		if _, err := st.serve(vms[i].Name, netip.MustParseAddrPort(vms[i].Address), handler); err != nil {
			return err
		}
	}
	if err := st.control("targets", t.control.AddrPort, served); err != nil {
		return err
	}
	if err := register(ctx, t.members.AddrPort, vms); err != nil {
		return err
	}
	st.faults.Observe(&leavers{ctx: ctx, members: t.members, vms: vms})
	klog.InfoS("serving targets", "count", len(vms), "first", t.first.AddrPort)
	return nil
}

// leavers tells the membership list which VMs are leaving.
type leavers struct {
	ctx     context.Context
	members flags.Address

	mu  sync.Mutex
	vms []memberapi.Member
}

// FaultChanged registers the VMs whose state has changed.
func (l *leavers) FaultChanged(f faultapi.Fault) {
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
	go (&registration{members: l.members.AddrPort, vms: changed}).run(l.ctx)
}

// registration tells the membership list of VMs while the stand-in goes on.
type registration struct {
	members netip.AddrPort
	vms     []memberapi.Member
}

func (r *registration) run(ctx context.Context) {
	if err := register(ctx, r.members, r.vms); err != nil {
		klog.ErrorS(err, "telling the membership list of leaving VMs")
	}
}
