package cell

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"tanagerstack.org/core/engine"
)

// handleHello processes a VM's heartbeat.
func (l *leader) handleHello(h hello) helloReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	vm := &followerVM{entry: vmEntry{Address: h.Address, Zone: h.Zone, Processors: h.Processors}, seenAt: time.Now()}
	l.followers[h.Name], l.members[h.Name] = vm, vm
	return helloReply{
		Leading: true, Epoch: l.epoch, Pending: l.pendingLocked(), Instance: l.node.instance, Config: l.node.reportConfig(),
		Load: l.loadSnapshotLocked(time.Now()),
	}
}

// maxRowVMs bounds the number of followers that the leader row names. The row changes twice a
// second, and all VMs read it. A VM that the store rejects needs a few VMs to use as store
// proxies, and a new leader needs the relays.
const maxRowVMs = 32

// vms returns VMs of the cell for the leader row: this one and the followers with the most
// processors.
func (l *leader) vms() map[string]vmEntry {
	opts := &l.node.opts
	l.mu.Lock()
	defer l.mu.Unlock()
	names := make([]string, 0, len(l.followers))
	for name := range l.followers {
		names = append(names, name)
	}
	slices.SortFunc(names, mostProcessors(l.followers))
	list := map[string]vmEntry{opts.Name: {Address: opts.PeerAddress, Zone: opts.Zone, Processors: opts.Processors}}
	for _, name := range names[:min(len(names), maxRowVMs)] {
		list[name] = l.followers[name].entry
	}
	return list
}

// mostProcessors orders the names of VMs by their processors, those with the most first.
func mostProcessors(vms map[string]*followerVM) func(a, b string) int {
	return func(a, b string) int {
		return cmp.Or(cmp.Compare(vms[b].entry.Processors, vms[a].entry.Processors), strings.Compare(a, b))
	}
}

// updateFollowers drops followers without a recent heartbeat, chooses the relays, and passes
// the VMs that can send advice requests to the engine.
func (l *leader) updateFollowers() {
	now := time.Now()
	names := []string{l.node.opts.Name}
	l.mu.Lock()
	for name, vm := range l.followers {
		if now.Sub(vm.seenAt) > followerTimeout {
			delete(l.followers, name)
			l.node.opts.Logger.Warn("follower lost", "vm", name, "last-seen", now.Sub(vm.seenAt))
			continue
		}
		if name != l.node.opts.Name {
			names = append(names, name)
		}
	}
	candidates := l.relayCandidates()
	workers := l.engine.WorkersByZone()
	l.mu.Unlock()
	l.dispatch.updateRelays(candidates, workers)
	l.apply(engine.AdviceProxiesChanged{Names: names})
}

// relayCandidates returns the VMs that can relay commands. The caller holds l.mu.
func (l *leader) relayCandidates() []relayVM {
	list := make([]relayVM, 0, len(l.followers))
	for name, vm := range l.followers {
		if name != l.node.opts.Name {
			list = append(list, relayVM{Name: name, vmEntry: vm.entry})
		}
	}
	return list
}

// requestAdvice sends an advice request through the VM that the engine chose as its proxy.
func (l *leader) requestAdvice(ctx context.Context, request engine.AdviceRequest) (Advice, error) {
	if request.Proxy == l.node.opts.Name {
		return l.node.opts.Adviser.Advise(ctx, request.Step, request.Workers)
	}
	l.mu.Lock()
	vm := l.followers[request.Proxy]
	l.mu.Unlock()
	if vm == nil {
		return Advice{}, fmt.Errorf("vm %s sends no heartbeats", request.Proxy)
	}
	message := adviceRequest{Step: request.Step, Workers: request.Workers, Timeout: 2*request.Cost + adviceMargin}
	reply, err := exchange[adviceRequest, adviceReply](ctx, l.node.peers, vm.entry.Address, pathAdvice, message)
	switch {
	case err != nil:
		return Advice{}, err
	case reply.Overloaded:
		return Advice{}, ErrOverloaded
	case reply.Error != "":
		return Advice{}, fmt.Errorf("vm %s: %s", request.Proxy, reply.Error)
	default:
		return reply.Advice, nil
	}
}
