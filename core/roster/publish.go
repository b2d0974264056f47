package roster

import (
	"slices"
	"strings"
	"time"
)

// publish builds a View of the present state and makes it the current one.
func (t *Tracker) publish() {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	seats, generation := t.seats.snapshot()
	view := &View{
		Self:              t.opts.Name,
		ListAsOf:          t.list.asOf,
		UnreadableMembers: t.list.unreadable,
		ListedVMs:         t.list.listed,
		Generation:        generation,
		SeatsPerDomain:    t.opts.SeatsPerDomain,
		Seat:              -1,
		seatHolders:       make(map[string][]Seat, len(seats)),
	}
	for domain, held := range seats {
		for _, s := range held {
			view.seatHolders[domain] = append(view.seatHolders[domain], Seat{Number: s.Seat, VM: s.VM, UsableAt: s.UsableAt})
		}
	}
	if own, expiresAt := t.seats.ownSeat(); own != nil {
		view.Seat, view.SeatUsableAt, view.SeatExpiresAt = own.Seat, own.UsableAt, expiresAt
	}
	view.VMs = t.mergeVMs(seats, now)
	view.Targets = t.targetsWithMarks(now)
	view.Workers = t.workersWithMarks(now)
	t.view.Store(view)
}

// mergeVMs merges the entry VMs of the seeds, the platform's list, the heartbeats and the
// stored roster, sorted by name. The caller must hold t.mu.
func (t *Tracker) mergeVMs(seats map[string][]seat, now time.Time) []VM {
	vms := make(map[string]VM, len(t.list.vms)+1)
	for _, seed := range t.opts.Seeds {
		vms[seed.Name] = VM{Name: seed.Name, PeerAddress: seed.Addr, Seat: -1}
	}
	for _, vm := range t.list.vms {
		vms[vm.Name] = vm
	}
	for name, h := range t.heartbeats {
		if h.isLive(now) || t.list.listed[name] {
			vms[name] = h.merge(vms[name], now)
		}
	}
	vms[t.opts.Name] = t.self(now)
	for domain, held := range seats {
		for _, s := range held {
			vm, known := vms[s.VM]
			if !known {
				vm = VM{Name: s.VM, Domain: domain}
			}
			vm.Seat, vm.SeatUsableAt = s.Seat, s.UsableAt
			vms[s.VM] = vm
		}
	}
	merged := make([]VM, 0, len(vms))
	for _, vm := range vms {
		merged = append(merged, vm)
	}
	slices.SortFunc(merged, func(a, b VM) int { return strings.Compare(a.Name, b.Name) })
	return merged
}

// merge returns the entry of a VM according to its heartbeat. From vm, the entry of the
// platform's list, it keeps the state Leaving and a valid peer address: the platform knows by
// which address other VMs reach the VM.
func (h receivedHeartbeat) merge(vm VM, now time.Time) VM {
	listedLeaving := vm.State == Leaving
	peerAddress := vm.PeerAddress
	if !peerAddress.IsValid() {
		peerAddress = h.heartbeat.PeerAddress
	}
	vm = VM{
		Name:            h.heartbeat.Name,
		Domain:          h.heartbeat.Domain,
		Region:          h.heartbeat.Region,
		CallersAddress:  h.heartbeat.CallersAddress,
		PeerAddress:     peerAddress,
		LastHeartbeatAt: h.receivedAt,
		PolicyVersion:   h.heartbeat.PolicyVersion,
		LeaseEpoch:      h.heartbeat.LeaseEpoch,
		Seat:            -1,
	}
	switch {
	case listedLeaving || h.heartbeat.Leaving:
		vm.State = Leaving
	case h.isLive(now):
		vm.State = Live
	}
	return vm
}

// self returns the entry of this VM. The caller must hold t.mu.
func (t *Tracker) self(now time.Time) VM {
	vm := VM{
		Name:            t.opts.Name,
		Domain:          t.opts.Domain,
		Region:          t.opts.Region,
		CallersAddress:  t.opts.CallersAddress,
		PeerAddress:     t.opts.PeerAddress,
		State:           Live,
		LastHeartbeatAt: now,
		PolicyVersion:   t.opts.PolicyVersion(),
		LeaseEpoch:      t.opts.LeaseEpoch(),
		Seat:            -1,
	}
	if t.leaving {
		vm.State = Leaving
	}
	return vm
}

// targetsWithMarks returns the targets of the platform's list, with those that are marked
// as leaving in state Leaving. Without marks it returns the list's own slice. The caller
// must hold t.mu.
func (t *Tracker) targetsWithMarks(now time.Time) []Target {
	if len(t.leavingUntil) == 0 {
		return t.list.targets
	}
	targets := slices.Clone(t.list.targets)
	for i := range targets {
		if now.Before(t.leavingUntil[targets[i].Name]) {
			targets[i].State = Leaving
		}
	}
	return targets
}

// workersWithMarks does for workers what targetsWithMarks does for targets. The caller must
// hold t.mu.
func (t *Tracker) workersWithMarks(now time.Time) []Worker {
	if len(t.leavingUntil) == 0 {
		return t.list.workers
	}
	workers := slices.Clone(t.list.workers)
	for i := range workers {
		if now.Before(t.leavingUntil[workers[i].Name]) {
			workers[i].State = Leaving
		}
	}
	return workers
}
