package cell

import (
	"cmp"
	"context"
	"errors"
	"hash/fnv"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"tanagerstack.org/core/engine"
)

const (
	// directWorkers is how many workers a leader with a whole processor looks at
	// itself, and relayWorkers how many a relay does: a leader of 48 workers used 0.13
	// processors on a calm day (docs/PLATFORM.md), and a relay also serves callers.
	directWorkers = 120
	relayWorkers  = 80
	// avoidFor is how long a way is left alone on which a worker did not answer: about
	// as long as it takes to notice that it does not answer on another one either.
	avoidFor = 3 * time.Second
)

// relayVM is a VM that can relay orders.
type relayVM struct {
	Name string
	vmEntry
}

// capacity returns how many workers the VM can relay for.
func (v relayVM) capacity() int { return capacityOf(v.Processors, relayWorkers) }

// capacityOf returns a VM's part of what one with a whole processor does. Zero
// processors stand for an unknown number, and count as a whole one.
func capacityOf(processors float64, whole int) int {
	if processors <= 0 {
		processors = 1
	}
	return max(1, int(processors*float64(whole)))
}

// chooseRelays returns the VMs that are to relay for workers, by failure domain. Each
// domain's workers go through VMs there, those with the most processors first, until
// these can carry them. Domains without VMs are left out: their workers go through any.
func chooseRelays(vms []relayVM, workers map[string]int) map[string][]relayVM {
	byZone := make(map[string][]relayVM)
	for _, vm := range vms {
		byZone[vm.Zone] = append(byZone[vm.Zone], vm)
	}
	chosen := make(map[string][]relayVM, len(workers))
	for zone, count := range workers {
		list := byZone[zone]
		slices.SortFunc(list, func(a, b relayVM) int {
			return cmp.Or(cmp.Compare(b.Processors, a.Processors), strings.Compare(a.Name, b.Name))
		})
		room := 0
		for _, vm := range list {
			if room >= count {
				break
			}
			room += vm.capacity()
			chosen[zone] = append(chosen[zone], vm)
		}
	}
	return chosen
}

// dispatcher finds the way of each order to its worker: from the leader where it has
// few workers, else through a relay in the worker's failure domain. A worker that does
// not answer through one way is tried on another before it counts as lost.
type dispatcher struct {
	leader *leader
	direct path

	mu sync.Mutex
	// links are those to the chosen relays, by the VM's name, and byZone has them by
	// failure domain.
	links  map[string]*relayLink
	byZone map[string][]*relayLink
	ways   map[string]*way
	// generation changes with the relays and with what is known of them.
	generation int
}

// way is what is known of the ways to a worker.
type way struct {
	generation int
	ranked     []*relayLink
	// avoid is until when a link is left alone.
	avoid map[*relayLink]time.Time
}

func newDispatcher(l *leader) *dispatcher {
	return &dispatcher{
		leader: l, direct: directWay{l.node.opts.Workers},
		links: make(map[string]*relayLink), byZone: make(map[string][]*relayLink), ways: make(map[string]*way),
	}
}

// choose takes in which VMs can relay, and how many workers there are.
func (d *dispatcher) choose(vms []relayVM, workers map[string]int) {
	total := 0
	for _, count := range workers {
		total += count
	}
	if total <= capacityOf(d.leader.node.opts.Processors, directWorkers) {
		workers = nil
	}
	chosen := chooseRelays(vms, workers)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.byZone = make(map[string][]*relayLink, len(chosen))
	keep := make(map[string]bool)
	changed := false
	for zone, list := range chosen {
		for _, vm := range list {
			keep[vm.Name] = true
			link := d.links[vm.Name]
			if link == nil || link.address != vm.Address {
				link = d.link(vm)
				changed = true
			}
			d.byZone[zone] = append(d.byZone[zone], link)
		}
	}
	for name, link := range d.links {
		if !keep[name] {
			link.cancel()
			delete(d.links, name)
			changed = true
		}
	}
	if changed {
		d.generation++
		d.leader.node.opts.Logger.Info("relays chosen", "relays", len(d.links), "workers", total, "vms", len(vms))
	}
}

// link starts a link in place of an earlier one; d.mu is held.
func (d *dispatcher) link(vm relayVM) *relayLink {
	if earlier := d.links[vm.Name]; earlier != nil {
		earlier.cancel()
	}
	ctx, cancel := context.WithCancel(d.leader.ctx)
	link := &relayLink{leader: d.leader, name: vm.Name, address: vm.Address, capacity: vm.capacity(), cancel: cancel}
	d.links[vm.Name] = link
	d.leader.finished.Add(1)
	go (&task{call: link.run, done: &d.leader.finished}).run(ctx)
	return link
}

// open returns how many links are open.
func (d *dispatcher) open() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := 0
	for _, link := range d.links {
		if link.isUp() {
			count++
		}
	}
	return count
}

// changed notes that a link was opened or broke.
func (d *dispatcher) changed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
}

// wayTo returns the way of an order to a worker: the first of the ways that work and
// are not to be avoided. The link is nil for the direct way.
func (d *dispatcher) wayTo(target engine.Destination) (path, *relayLink) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.ways[target.Worker]
	if w == nil {
		w = &way{generation: -1}
		d.ways[target.Worker] = w
	}
	if w.generation != d.generation {
		w.generation, w.ranked = d.generation, d.rank(target)
	}
	for _, link := range w.ranked {
		if !now.Before(w.avoid[link]) {
			return link, link
		}
	}
	return d.direct, nil
}

// rank returns the open links for a worker: those of its failure domain first, in an
// order of the worker's own, so that the workers of a lost relay spread over the others.
func (d *dispatcher) rank(target engine.Destination) []*relayLink {
	type ranked struct {
		link *relayLink
		// distance is 0 in the worker's failure domain.
		distance int
		weight   float64
	}
	var list []ranked
	for zone, links := range d.byZone {
		for _, link := range links {
			if !link.isUp() {
				continue
			}
			r := ranked{link: link, weight: weightOf(target.Worker, link)}
			if zone != target.Zone {
				r.distance = 1
			}
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.weight, a.weight), strings.Compare(a.link.name, b.link.name))
	})
	links := make([]*relayLink, 0, len(list))
	for _, r := range list {
		links = append(links, r.link)
	}
	return links
}

// weightOf is the worker's rendezvous weight for a relay, so that a relay has a part of
// the workers by its capacity.
func weightOf(worker string, link *relayLink) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(worker + "\x00" + link.name))
	unit := (float64(hash.Sum64()>>11) + 1) / (1 << 53)
	return -float64(link.capacity) / math.Log(unit)
}

func (d *dispatcher) start(ctx context.Context, order engine.Start) (engine.StartOutcome, bool, error) {
	p, _ := d.wayTo(order.Destination)
	return p.start(ctx, order)
}

func (d *dispatcher) stop(ctx context.Context, order engine.Stop) error {
	p, _ := d.wayTo(order.Destination)
	return p.stop(ctx, order)
}

// look looks at a worker, and leaves the way alone for a while on which it did not answer.
func (d *dispatcher) look(ctx context.Context, order engine.PollRequest, wait time.Duration) (engine.Report, error) {
	p, link := d.wayTo(order.Destination)
	report, err := p.look(ctx, order, wait)
	if err != nil && ctx.Err() == nil && !errors.Is(err, ErrSuperseded) {
		d.noteSilent(order.Worker, link)
	}
	return report, err
}

// forget drops what is known of the ways to a worker that needs none anymore.
func (d *dispatcher) forget(worker string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.ways, worker)
}

// noteSilent leaves a way to a worker alone. Where all ways were tried it begins anew.
func (d *dispatcher) noteSilent(worker string, link *relayLink) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.ways[worker]
	if w == nil {
		return
	}
	if link == nil {
		w.avoid = nil
		return
	}
	if w.avoid == nil {
		w.avoid = make(map[*relayLink]time.Time)
	}
	w.avoid[link] = time.Now().Add(avoidFor)
}
