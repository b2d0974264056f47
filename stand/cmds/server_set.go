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

// stopTimeout bounds the wait for requests in flight at the end.
const stopTimeout = 2 * time.Second

// stage owns what all stand-ins of a process share.
type serverSet struct {
	faults  *faults.Injector
	servers *host.Group
	// controls are the control addresses; they know no faults.
	controlServers *host.Group
}

func newServerSet() *serverSet {
	set := &serverSet{faults: faults.NewSwitch(), servers: &host.Group{}, controlServers: &host.Group{}}
	set.faults.AddObserver(&faults.DownObserver{Group: set.servers})
	return set
}

// serve serves the API of the VM name behind its faults.
func (set *serverSet) serve(name string, address netip.AddrPort, handler http.Handler) (netip.AddrPort, error) {
	server, err := set.servers.Listen(name, address, set.faults.Wrap(name, handler))
	if err != nil {
		return netip.AddrPort{}, err
	}
	return server.Address(), nil
}

// control serves the control API of a recorder, unless the address was not set.
func (set *serverSet) serveControl(name string, address netip.AddrPort, recorder faults.Recorder) error {
	if !address.IsValid() {
		return nil
	}
	handler, err := faults.NewControl(set.faults, recorder)
	if err != nil {
		return err
	}
	_, err = set.controlServers.Listen(name, address, handler)
	return err
}

// wait serves until ctx ends, and then stops all listeners.
func (set *serverSet) wait(ctx context.Context) {
	<-ctx.Done()
	klog.InfoS("stopping")
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	set.servers.Stop(stopping)
	set.controlServers.Stop(stopping)
}

// register registers the VMs with the membership list, unless its address was not set.
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
