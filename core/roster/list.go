package roster

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"tanagerstack.org/core/api/member"
)

const (
	// listPeriod is the time between successive polls of the list by all entry VMs together,
	// and maxListPeriod the longest time between two polls by the same VM.
	listPeriod    = 500 * time.Millisecond
	maxListPeriod = 10 * time.Second
	listTimeout   = 3 * time.Second
)

// Lister reads the platform's membership list. The generated API client implements it.
type Lister interface {
	ListMembers(ctx context.Context) (*member.MemberList, error)
}

// list is the platform's membership list, converted to the types of a View.
type list struct {
	asOf    time.Time
	vms     []VM
	targets []Target
	workers []Worker
	// listed has the names of all entry VMs on the list, including those that are left out of
	// vms because they have no usable peer address.
	listed map[string]bool
	// unreadable is the number of entries that could not be decoded.
	unreadable int
}

// decodeList converts the platform's list. Members that are gone are left out. A member that
// cannot be decoded, or has a value out of range, is left out, logged and counted.
func decodeList(members *member.MemberList) list {
	l := list{asOf: members.AsOf, listed: make(map[string]bool)}
	for i, data := range members.Members {
		m, address, err := decodeMember(data)
		if err != nil {
			klog.V(1).ErrorS(err, "member of the platform's list left out", "index", i, "member", m.Name)
			l.unreadable++
			continue
		}
		if m.State == member.MemberStateGone {
			continue
		}
		switch m.Kind {
		case member.MemberKindEntry:
			l.addVM(m, address)
		case member.MemberKindTarget:
			l.targets = append(l.targets, targetOf(m, address))
		case member.MemberKindWorker:
			l.workers = append(l.workers, workerOf(m, address))
		}
	}
	slices.SortFunc(l.vms, func(a, b VM) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(l.targets, func(a, b Target) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(l.workers, func(a, b Worker) int { return strings.Compare(a.Name, b.Name) })
	return l
}

// maxTargetSlots is the greatest number of slots that a target may claim. Sums over a fleet do not
// overflow.
const maxTargetSlots = 1_000_000

// decodeMember decodes and checks one entry of the list.
func decodeMember(data []byte) (m member.Member, address netip.AddrPort, err error) {
	if err = m.UnmarshalJSON(data); err == nil {
		err = m.Validate()
	}
	if err != nil || m.State == member.MemberStateGone {
		return m, address, err
	}
	capacity := Resources(m.Capacity.Or(member.Resources{}))
	switch address, err = netip.ParseAddrPort(m.Address); {
	case err != nil:
	case address.Port() == 0:
		err = fmt.Errorf("address %s has no port", address)
	case m.Slots.Or(0) < 0 || m.Slots.Or(0) > maxTargetSlots:
		err = fmt.Errorf("%d slots, not between 0 and %d", m.Slots.Or(0), maxTargetSlots)
	default:
		err = capacity.Validate()
	}
	return m, address, err
}

func (l *list) addVM(m member.Member, address netip.AddrPort) {
	l.listed[m.Name] = true
	peers, err := netip.ParseAddrPort(m.PeerAddress.Or(""))
	if err != nil {
		klog.V(1).ErrorS(err, "entry VM left out: invalid peer address", "vm", m.Name)
		return
	}
	l.vms = append(l.vms, VM{
		Name:           m.Name,
		Domain:         m.Domain,
		Region:         m.Region,
		CallersAddress: address,
		PeerAddress:    peers,
		State:          listState(m.State, Unknown),
		Seat:           -1,
	})
}

func targetOf(m member.Member, address netip.AddrPort) Target {
	return Target{
		Name:    m.Name,
		Domain:  m.Domain,
		Region:  m.Region,
		Service: m.Service.Or(""),
		Address: address,
		Slots:   m.Slots.Or(0),
		State:   listState(m.State, Live),
	}
}

func workerOf(m member.Member, address netip.AddrPort) Worker {
	w := Worker{
		Name:    m.Name,
		Domain:  m.Domain,
		Region:  m.Region,
		Rack:    m.Rack.Or(""),
		Address: address,
		State:   listState(m.State, Live),
	}
	if capacity, ok := m.Capacity.Get(); ok {
		w.Capacity = Resources(capacity)
	}
	return w
}

// listState converts the state of a listed member. A member that is not leaving gets the
// state live: Unknown for an entry VM, which counts as live only after a heartbeat, and Live
// for targets and workers.
func listState(s member.MemberState, live State) State {
	if s == member.MemberStateLeaving {
		return Leaving
	}
	return live
}

// poller reads the platform's list periodically. The entry VMs share this work: each polls in
// its own turn, computed from the clock, and heartbeats carry the names of leaving members to
// the others. If a VM cannot reach the list, nobody polls in its turn.
type poller struct{ tracker *Tracker }

func (p *poller) loop(ctx context.Context) {
	for {
		p.poll(ctx)
		rank, live := p.rank()
		timer := time.NewTimer(untilNextTurn(time.Now(), rank, live))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// rank returns this VM's index among the live entry VMs, sorted by name, and their number,
// which is at least 1.
func (p *poller) rank() (rank, live int) {
	for _, vm := range p.tracker.View().VMs {
		if vm.State != Live {
			continue
		}
		if vm.Name < p.tracker.opts.Name {
			rank++
		}
		live++
	}
	return rank, max(1, live)
}

// untilNextTurn returns the time until the next turn of the VM with the given rank. A turn
// lasts for listPeriod, and a round has one turn per live VM but lasts for maxListPeriod at
// most. With more VMs than turns, several VMs share a turn.
func untilNextTurn(now time.Time, rank, live int) time.Duration {
	turns := min(live, int(maxListPeriod/listPeriod))
	round := time.Duration(turns) * listPeriod
	turn := time.Duration(rank%turns) * listPeriod
	passed := time.Duration(now.UnixNano()) % round
	wait := (turn - passed + round) % round
	if wait < listPeriod/2 {
		// The turn is the one that was just used, or starts too soon after the last poll.
		wait += round
	}
	return wait
}

func (p *poller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	members, err := p.tracker.opts.Members.ListMembers(ctx)
	if err != nil {
		if ctx.Err() == nil {
			klog.V(1).ErrorS(err, "platform's list not read; using the previous one")
		}
		return
	}
	p.tracker.setList(decodeList(members), time.Now())
}
