package roster

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"tanagerstack.org/core/api/member"
)

const (
	// listPeriod is the time between polls of one of the entry VMs, and
	// longestListPeriod bounds the time between two of the same VM.
	listPeriod    = 500 * time.Millisecond
	maxListPeriod = 10 * time.Second
	listTimeout   = 3 * time.Second
)

// Lister reads the platform's membership list. The generated client is one.
type Lister interface {
	ListMembers(ctx context.Context) (*member.MemberList, error)
}

// list is the platform's list in the shapes of a View.
type list struct {
	asOf    time.Time
	vms     []VM
	targets []Target
	workers []Worker
	// listed has the names of all entry VMs on the list.
	listed map[string]bool
}

// decodeList turns the platform's list. A member with an address that cannot be
// used is left out, and reported.
func decodeList(members *member.MemberList) list {
	l := list{asOf: members.AsOf, listed: make(map[string]bool)}
	for _, m := range members.Members {
		if m.State == member.MemberStateGone {
			continue
		}
		address, err := netip.ParseAddrPort(m.Address)
		if err != nil {
			klog.V(1).ErrorS(err, "Ignored a member of the platform's list", "member", m.Name)
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

func (l *list) addVM(m member.Member, address netip.AddrPort) {
	l.listed[m.Name] = true
	peers, err := netip.ParseAddrPort(m.PeerAddress.Or(""))
	if err != nil {
		klog.V(1).ErrorS(err, "Entry VM has no usable peer address", "vm", m.Name)
		return
	}
	l.vms = append(l.vms, VM{
		Name:    m.Name,
		Domain:  m.Domain,
		Region:  m.Region,
		Callers: address,
		Peer:    peers,
		State:   listState(m.State, Unknown),
		Seat:    -1,
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

// listState is the state of a listed member; live is what "live" on the list
// means for its kind. An entry VM has to be heard of as well.
func listState(s member.MemberState, live State) State {
	if s == member.MemberStateLeaving {
		return Leaving
	}
	return live
}

// poller reads the platform's list again and again. The entry VMs share the
// work: they poll in turn, by the clock, and what is leaving travels with the
// heartbeats. A VM that cannot reach the list leaves a gap of one turn.
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

// rank returns this VM's place among the live ones by name, and their number.
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

// untilTurn returns the time until the next turn of the VM of a rank. A turn
// lasts for listPeriod, and a round for as many turns as VMs are live; with more
// VMs than the longest round has turns, some of them poll together.
func untilNextTurn(now time.Time, rank, live int) time.Duration {
	turns := min(live, int(maxListPeriod/listPeriod))
	round := time.Duration(turns) * listPeriod
	turn := time.Duration(rank%turns) * listPeriod
	passed := time.Duration(now.UnixNano()) % round
	wait := (turn - passed + round) % round
	if wait < listPeriod/2 {
		// The turn that has just been taken, or is about to begin while the last
		// poll has only just ended.
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
			klog.V(1).ErrorS(err, "Platform's list not read; the last one stays in force")
		}
		return
	}
	p.tracker.setList(decodeList(members), time.Now())
}
