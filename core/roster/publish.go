package roster

import (
	"slices"
	"strings"
	"time"
)

// publish builds a View of all that is known and puts it in force.
func (t *Tracker) publish() {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	seats, generation := t.seats.snapshot()
	view := &View{
		Self:        t.opts.Name,
		AsOf:        t.list.asOf,
		Generation:  generation,
		Seats:       t.opts.Seats,
		Seat:        -1,
		seatHolders: make(map[string][]Seat, len(seats)),
	}
	for domain, held := range seats {
		for _, s := range held {
			view.seatHolders[domain] = append(view.seatHolders[domain], Seat{Number: s.Seat, VM: s.VM, UsableAt: s.UsableAt})
		}
	}
	if mine, lapsesAt := t.seats.ownSeat(); mine != nil {
		view.Seat, view.SeatUsableAt, view.SeatLapsesAt = mine.Seat, mine.UsableAt, lapsesAt
	}
	view.VMs = t.mergeVMs(seats, now)
	view.Targets = t.targetsWithMarks(now)
	view.Workers = t.workersWithMarks(now)
	t.view.Store(view)
}

// mergeVMs joins the list, the seeds, the heartbeats and the stored roster. It
// needs t.mu.
func (t *Tracker) mergeVMs(seats map[string][]seat, now time.Time) []VM {
	vms := make(map[string]VM, len(t.list.vms)+1)
	for _, seed := range t.opts.Seeds {
		vms[seed.Name] = VM{Name: seed.Name, Peer: seed.Addr, Seat: -1}
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

// merge puts what a VM says of itself over what the list says of it, but for its
// peer address: the platform knows by which address others reach the VM.
func (h receivedHeartbeat) merge(vm VM, now time.Time) VM {
	listedLeaving := vm.State == Leaving
	reachedAt := vm.Peer
	if !reachedAt.IsValid() {
		reachedAt = h.heartbeat.Peer
	}
	vm = VM{
		Name:          h.heartbeat.Name,
		Domain:        h.heartbeat.Domain,
		Region:        h.heartbeat.Region,
		Callers:       h.heartbeat.Callers,
		Peer:          reachedAt,
		HeardAt:       h.receivedAt,
		PolicyVersion: h.heartbeat.PolicyVersion,
		LeaseEpoch:    h.heartbeat.LeaseEpoch,
		Seat:          -1,
	}
	switch {
	case listedLeaving || h.heartbeat.Leaving:
		vm.State = Leaving
	case h.isLive(now):
		vm.State = Live
	}
	return vm
}

// self is this VM. It needs t.mu.
func (t *Tracker) self(now time.Time) VM {
	vm := VM{
		Name:          t.opts.Name,
		Domain:        t.opts.Domain,
		Region:        t.opts.Region,
		Callers:       t.opts.Callers,
		Peer:          t.opts.Peer,
		State:         Live,
		HeardAt:       now,
		PolicyVersion: t.opts.PolicyVersion(),
		LeaseEpoch:    t.opts.LeaseEpoch(),
		Seat:          -1,
	}
	if t.leaving {
		vm.State = Leaving
	}
	return vm
}

// markTargets returns the list's targets with the marks applied. Without marks
// it shares the list's own slice. It needs t.mu.
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

// markWorkers is markTargets for workers. It needs t.mu.
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
