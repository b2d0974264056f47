package cmds

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	memberapi "tanagerstack.org/core/api/member"
	"tanagerstack.org/stand/enroll"
	"tanagerstack.org/stand/faults"
	"tanagerstack.org/stand/host"
)

// stopTimeout limits how long a shutdown waits for requests in flight.
const stopTimeout = 2 * time.Second

// serverSet owns the listeners, control listeners and fault injector of the fakes of one command, or of
// one kind of fake for the command all.
type serverSet struct {
	injector  *faults.Injector
	vmServers *host.Group
	// controlServers serve the control addresses. Faults do not apply to them.
	controlServers *host.Group
}

func newServerSet() *serverSet {
	s := &serverSet{injector: faults.NewInjector(), vmServers: &host.Group{}, controlServers: &host.Group{}}
	s.injector.AddObserver(&faults.DownObserver{Group: s.vmServers})
	return s
}

// serve starts serving the API of the VM called name, with fault injection, and returns its address.
func (s *serverSet) serve(name string, address netip.AddrPort, handler http.Handler) (netip.AddrPort, error) {
	server, err := s.vmServers.Listen(name, address, s.injector.Wrap(name, handler))
	if err != nil {
		return netip.AddrPort{}, err
	}
	return server.Address(), nil
}

// serveControl starts serving the control API of a recorder. It does nothing if address is not set.
func (s *serverSet) serveControl(name string, address netip.AddrPort, recorder faults.Recorder) error {
	if !address.IsValid() {
		return nil
	}
	handler, err := faults.NewControl(s.injector, recorder)
	if err != nil {
		return err
	}
	_, err = s.controlServers.Listen(name, address, handler)
	return err
}

// wait blocks until ctx ends, then stops all servers.
func (s *serverSet) wait(ctx context.Context) {
	<-ctx.Done()
	klog.InfoS("stopping")
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	s.vmServers.Stop(stopCtx)
	s.controlServers.Stop(stopCtx)
}

// register registers the VMs with the membership list at address members. It does nothing if the address
// is not set.
func register(ctx context.Context, members netip.AddrPort, vms []memberapi.Member) error {
	if !members.IsValid() {
		return nil
	}
	registrar, err := enroll.NewRegistrar(members)
	if err != nil {
		return err
	}
	for i := range vms {
		if err := registrar.Register(ctx, &vms[i]); err != nil {
			return err
		}
	}
	return nil
}
