package roster

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"tanagerstack.org/core/api/member"
	"tanagerstack.org/core/keys"
	"tanagerstack.org/core/peer"
	"tanagerstack.org/core/store"
)

// fakePlatform serves the membership list and the tables of a fleet in memory.
type fakePlatform struct {
	*store.Memory
	mu      sync.Mutex
	members []member.Member
}

func (p *fakePlatform) ListMembers(context.Context) (*member.MemberList, error) {
	if !p.Reachable() {
		return nil, errors.New("platform unreachable")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := &member.MemberList{AsOf: time.Now()}
	for _, m := range p.members {
		data, err := m.MarshalJSON()
		if err != nil {
			return nil, err
		}
		list.Members = append(list.Members, data)
	}
	return list, nil
}

func (p *fakePlatform) add(m member.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.State = member.MemberStateLive
	m.Region = "r"
	p.members = append(p.members, m)
}

// fleet runs trackers, three per failure domain.
type fleet struct {
	tb       testing.TB
	platform *fakePlatform
	trackers []*Tracker
	peers    []*peer.Node
	stops    []context.CancelFunc
}

func newFleet(tb testing.TB, vms, targets, workers int) *fleet {
	tb.Helper()
	f := &fleet{tb: tb, platform: &fakePlatform{Memory: store.NewMemory()}}
	for i := range targets {
		f.platform.add(member.Member{Name: fmt.Sprintf("target-%d", i), Kind: member.MemberKindTarget, Domain: "d0", Address: "127.0.0.1:1", Slots: member.NewOptInt(8)})
	}
	for i := range workers {
		f.platform.add(member.Member{Name: fmt.Sprintf("worker-%d", i), Kind: member.MemberKindWorker, Domain: "d0", Address: "127.0.0.1:1", Rack: member.NewOptString("r1")})
	}
	dir := tb.TempDir()
	for i := range vms {
		f.start(dir, fmt.Sprintf("vm-%02d", i), fmt.Sprintf("d%d", i/3))
	}
	return f
}

func (f *fleet) start(dir, name, domain string) {
	f.tb.Helper()
	if err := keys.Issue(dir, []string{name}, time.Now()); err != nil {
		f.tb.Fatal(err)
	}
	source, err := keys.NewSource(keys.Files{CA: dir + "/" + keys.AuthorityCert, Cert: keys.CertFile(dir, name), Key: keys.KeyFile(dir, name)})
	if err != nil {
		f.tb.Fatal(err)
	}
	mux := peer.NewMux()
	node, err := peer.NewNode(peer.Options{Name: name, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Keys: source, Mux: mux})
	if err != nil {
		f.tb.Fatal(err)
	}
	f.platform.add(member.Member{Name: name, Kind: member.MemberKindEntry, Domain: domain, Address: "127.0.0.1:1", PeerAddress: member.NewOptString(node.Addr().String())})
	tracker, err := NewTracker(Options{
		Name: name, Domain: domain, Region: "r", PeerAddress: node.Addr(), Members: f.platform, Peers: node,
		Tables: f.platform, SeatsPerDomain: 4, MaxWindow: func() time.Duration { return time.Second },
	})
	if err != nil {
		f.tb.Fatal(err)
	}
	tracker.Register(mux)
	ctx, cancel := context.WithCancel(context.Background())
	tracker.Start(ctx)
	f.trackers, f.peers, f.stops = append(f.trackers, tracker), append(f.peers, node), append(f.stops, cancel)
	f.tb.Cleanup(func() { f.kill(node, cancel) })
}

func (f *fleet) kill(node *peer.Node, cancel context.CancelFunc) {
	cancel()
	ctx, done := context.WithTimeout(context.Background(), time.Second)
	defer done()
	_ = node.Close(ctx)
}

// awaitViews waits until the views of all trackers satisfy a condition, for 30 s at most.
func (f *fleet) awaitViews(description string, trackers []*Tracker, condition func(*View) bool) {
	f.tb.Helper()
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		missing := ""
		for _, t := range trackers {
			if !condition(t.View()) {
				missing = t.View().Self
			}
		}
		if missing == "" {
			return
		}
		if time.Now().After(deadline) {
			f.tb.Fatalf("%s: not true on %s after 30 s", description, missing)
		}
	}
}

func (v *View) count(state State) int {
	count := 0
	for i := range v.VMs {
		if v.VMs[i].State == state {
			count++
		}
	}
	return count
}

// TestTrackers checks the views of four VMs: all become live and get seats. Then, with the
// platform unreachable, one VM sees a target leave, one VM reports that it is leaving, and one
// is killed. The others see each of these and keep their seats.
func TestTrackers(t *testing.T) {
	f := newFleet(t, 4, 2, 1)
	f.awaitViews("all are live", f.trackers, func(v *View) bool { return v.count(Live) == 4 })
	f.awaitViews("all have usable seats", f.trackers, func(v *View) bool {
		_, usable := v.OwnSeat(time.Now())
		return usable && len(v.FreeSeats("d0")) == 1 && len(v.FreeSeats("d1")) == 3 && v.FreeSeats("d9") == nil
	})
	seats := make(map[int]string)
	for _, s := range f.trackers[3].View().SeatsOf("d0") {
		seats[s.Number] = s.VM
	}
	for _, tracker := range f.trackers[:3] {
		if seat, _ := tracker.View().OwnSeat(time.Now()); seats[seat] != tracker.View().Self {
			t.Fatalf("%s uses seat %d, which the stored roster assigns to %q", tracker.View().Self, seat, seats[seat])
		}
	}
	f.platform.SetFaults(store.Faults{Down: true})
	f.trackers[2].MarkTargetLeaving("target-1")
	f.awaitViews("only target-1 is leaving", f.trackers, func(v *View) bool {
		return v.Targets[0].State == Live && v.Targets[1].State == Leaving
	})
	f.trackers[3].SetLeaving()
	f.awaitViews("vm-03 is leaving", f.trackers, func(v *View) bool { vm, _ := v.VM("vm-03"); return vm.State == Leaving })
	f.kill(f.peers[0], f.stops[0])
	f.awaitViews("vm-00 sends no heartbeats and keeps its seat", f.trackers[1:], func(v *View) bool { vm, _ := v.VM("vm-00"); return vm.State == Unknown && vm.Seat >= 0 })
	f.awaitViews("the other VMs keep their seats", f.trackers[1:3], func(v *View) bool { _, usable := v.OwnSeat(time.Now()); return usable })
}

// BenchmarkHeartbeats measures the bytes that one entry VM sends and receives per second, for
// three fleet sizes.
func BenchmarkHeartbeats(b *testing.B) {
	for _, vms := range []int{9, 25, 45} {
		b.Run(fmt.Sprintf("%d-vms", vms), func(b *testing.B) {
			f := newFleet(b, vms, 0, 0)
			f.awaitViews("all are live", f.trackers, func(v *View) bool { return v.count(Live) == vms })
			// By then, handshakes are done and duplicate connections from simultaneous dials are
			// closed.
			time.Sleep(15 * time.Second)
			var total uint64
			b.ResetTimer()
			for range b.N {
				before := f.bytes()
				time.Sleep(time.Second)
				total += f.bytes() - before
			}
			b.ReportMetric(float64(total)/float64(b.N)/float64(vms), "bytes/s/vm")
		})
	}
}

func (f *fleet) bytes() uint64 {
	total := uint64(0)
	for _, node := range f.peers {
		total += node.Bytes()
	}
	return total
}

// BenchmarkPublish measures the time and memory to build one View.
func BenchmarkPublish(b *testing.B) {
	for _, workers := range []int{150, 560} {
		for _, marks := range []int{0, 1} {
			b.Run(fmt.Sprintf("%d-workers-%d-leaving", workers, marks), func(b *testing.B) {
				f := newFleet(b, 1, 150, workers)
				f.awaitViews("all workers are listed", f.trackers, func(v *View) bool { return len(v.Workers) == workers })
				f.stops[0]()
				if marks > 0 {
					f.trackers[0].MarkTargetLeaving("target-0")
				}
				b.ReportAllocs()
				for b.Loop() {
					f.trackers[0].publish()
				}
			})
		}
	}
}
