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

// greet takes in a VM's report.
func (l *leader) greet(h hello) helloReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.helpers[h.Name] = &helperVM{entry: vmEntry{Address: h.Address, Zone: h.Zone, Processors: h.Processors}, seenAt: time.Now()}
	return helloReply{Leading: true, Epoch: l.epoch, Pending: l.pendingLocked(), Instance: l.node.instance}
}

// recordedVMs bounds how many VMs the leader row names: all VMs read it twice a second,
// a VM that the store turns away needs a few to turn to, and a new leader the relays.
const recordedVMs = 32

// vms returns VMs of the cell for the leader row, those with the most processors first.
func (l *leader) vms() map[string]vmEntry {
	opts := &l.node.opts
	l.mu.Lock()
	defer l.mu.Unlock()
	names := make([]string, 0, len(l.helpers))
	for name := range l.helpers {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(l.helpers[b].entry.Processors, l.helpers[a].entry.Processors), strings.Compare(a, b))
	})
	list := map[string]vmEntry{opts.Name: {Address: opts.PeerAddress, Zone: opts.Zone, Processors: opts.Processors}}
	for _, name := range names[:min(len(names), recordedVMs)] {
		list[name] = l.helpers[name].entry
	}
	return list
}

// reportHelpers tells the engine which VMs can ask the adviser.
func (l *leader) reportHelpers() {
	now := time.Now()
	names := []string{l.node.opts.Name}
	l.mu.Lock()
	for name, vm := range l.helpers {
		if now.Sub(vm.seenAt) > helperFresh {
			delete(l.helpers, name)
			l.node.opts.Logger.Warn("vm lost", "vm", name, "last-seen", now.Sub(vm.seenAt))
			continue
		}
		if name != l.node.opts.Name {
			names = append(names, name)
		}
	}
	candidates := l.relayCandidates()
	workers := l.engine.WorkersByZone()
	l.mu.Unlock()
	l.dispatch.choose(candidates, workers)
	l.apply(engine.AdviceProxiesChanged{Names: names})
}

// relayCandidates returns the VMs that could relay orders; l.mu is held.
func (l *leader) relayCandidates() []relayVM {
	list := make([]relayVM, 0, len(l.helpers))
	for name, vm := range l.helpers {
		if name != l.node.opts.Name {
			list = append(list, relayVM{Name: name, vmEntry: vm.entry})
		}
	}
	return list
}

// askThrough passes a question to the VM that is to ask it.
func (l *leader) askThrough(ctx context.Context, ask engine.AdviceRequest) (Advice, error) {
	if ask.Proxy == l.node.opts.Name {
		return l.node.opts.Adviser.Advise(ctx, ask.Step, ask.Workers)
	}
	l.mu.Lock()
	vm := l.helpers[ask.Proxy]
	l.mu.Unlock()
	if vm == nil {
		return Advice{}, fmt.Errorf("vm %s is gone", ask.Proxy)
	}
	question := adviceQuestion{Step: ask.Step, Workers: ask.Workers, Timeout: 2*ask.Cost + askMargin}
	reply, err := exchange[adviceQuestion, adviceReply](ctx, l.node.peers, vm.entry.Address, pathAsk, question)
	switch {
	case err != nil:
		return Advice{}, err
	case reply.Overloaded:
		return Advice{}, ErrOverloaded
	case reply.Problem != "":
		return Advice{}, fmt.Errorf("vm %s: %s", ask.Proxy, reply.Problem)
	default:
		return reply.Answer, nil
	}
}
