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
	// maxDirectWorkers is how many workers a leader with one full processor polls itself, and
	// maxRelayWorkers how many a relay does. A leader of 48 workers uses 0.13 processors under
	// a light load (docs/PLATFORM.md), and a relay also serves callers.
	maxDirectWorkers = 120
	maxRelayWorkers  = 80
	// avoidPathFor is how long a path is avoided after a worker did not answer on it: about as
	// long as it takes to find out that the worker does not answer on another path either.
	avoidPathFor = 3 * time.Second
)

// relayVM is a VM that can relay commands.
type relayVM struct {
	Name string
	vmEntry
}

// capacity returns the number of workers that the VM can relay for.
func (v relayVM) capacity() int { return scaledCapacity(v.Processors, maxRelayWorkers) }

// scaledCapacity returns the capacity of a VM whose capacity per processor is given, at least
// 1. Zero processors mean that the number is unknown, and count as one.
func scaledCapacity(processors float64, perProcessor int) int {
	if processors <= 0 {
		processors = 1
	}
	return max(1, int(processors*float64(perProcessor)))
}

// chooseRelays returns the relays to use, by failure domain. The workers of a domain are served
// by VMs of the same domain, those with the most processors first, until their capacity
// suffices. Domains without VMs are left out: their workers are served by relays of any domain.
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
		capacity := 0
		for _, vm := range list {
			if capacity >= count {
				break
			}
			capacity += vm.capacity()
			chosen[zone] = append(chosen[zone], vm)
		}
	}
	return chosen
}

// dispatcher selects the path of each command to its worker: direct from the leader if it has
// few workers, otherwise through a relay in the worker's failure domain. A worker that does not
// answer on one path is tried on another before it counts as lost.
type dispatcher struct {
	leader *leader
	direct workerPath

	mu sync.Mutex
	// links holds the links to the chosen relays by VM name, and byZone by failure domain.
	links  map[string]*relayLink
	byZone map[string][]*relayLink
	// paths holds the path state of each worker that gets commands, by worker.
	paths map[string]*pathState
	// generation changes whenever the set of relays or the state of a link changes.
	generation int
}

// pathState is the state of the paths to one worker. ranked is the order of preference of the
// links as of a generation.
type pathState struct {
	generation int
	ranked     []*relayLink
	// avoidUntil holds, for each link to avoid, the time until which it is avoided.
	avoidUntil map[*relayLink]time.Time
}

func newDispatcher(l *leader) *dispatcher {
	return &dispatcher{
		leader: l, direct: directPath{l.node.opts.Workers},
		links: make(map[string]*relayLink), byZone: make(map[string][]*relayLink), paths: make(map[string]*pathState),
	}
}

// updateRelays chooses the relays for the given candidate VMs and numbers of workers by failure
// domain, and opens and closes links accordingly.
func (d *dispatcher) updateRelays(vms []relayVM, workers map[string]int) {
	total := 0
	for _, count := range workers {
		total += count
	}
	if total <= scaledCapacity(d.leader.node.opts.Processors, maxDirectWorkers) {
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
				link = d.openLink(vm)
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

// openLink starts a link to a VM and replaces an earlier one. The caller holds d.mu.
func (d *dispatcher) openLink(vm relayVM) *relayLink {
	if earlier := d.links[vm.Name]; earlier != nil {
		earlier.cancel()
	}
	ctx, cancel := context.WithCancel(d.leader.ctx)
	link := &relayLink{leader: d.leader, name: vm.Name, address: vm.Address, capacity: vm.capacity(), cancel: cancel}
	d.links[vm.Name] = link
	d.leader.loops.Add(1)
	go (&task{call: link.run, done: &d.leader.loops}).run(ctx)
	return link
}

// openLinks returns the number of links that are up.
func (d *dispatcher) openLinks() int {
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

// noteLinkChange records that a link came up or went down, so that paths are ranked again.
func (d *dispatcher) noteLinkChange() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
}

// pathTo returns the path of a command to a worker: the first ranked link that is not avoided,
// or else the direct path. The link is nil for the direct path.
func (d *dispatcher) pathTo(destination engine.Destination) (workerPath, *relayLink) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.paths[destination.Worker]
	if state == nil {
		state = &pathState{generation: -1}
		d.paths[destination.Worker] = state
	}
	if state.generation != d.generation {
		state.generation, state.ranked = d.generation, d.rank(destination)
	}
	for _, link := range state.ranked {
		if !now.Before(state.avoidUntil[link]) {
			return link, link
		}
	}
	return d.direct, nil
}

// rank returns the links that are up, in a worker's order of preference: those in its failure
// domain first, then by a weight specific to the worker, so that the workers of a lost relay
// are spread over the others.
func (d *dispatcher) rank(destination engine.Destination) []*relayLink {
	type ranked struct {
		link *relayLink
		// distance is 0 in the worker's failure domain, otherwise 1.
		distance int
		weight   float64
	}
	var list []ranked
	for zone, links := range d.byZone {
		for _, link := range links {
			if !link.isUp() {
				continue
			}
			r := ranked{link: link, weight: rendezvousWeight(destination.Worker, link)}
			if zone != destination.Zone {
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

// rendezvousWeight returns the weight of a relay for a worker in rendezvous hashing. A relay
// gets a share of the workers in proportion to its capacity.
func rendezvousWeight(worker string, link *relayLink) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(worker + "\x00" + link.name))
	unit := (float64(hash.Sum64()>>11) + 1) / (1 << 53)
	return -float64(link.capacity) / math.Log(unit)
}

func (d *dispatcher) start(ctx context.Context, command engine.Start) (engine.StartOutcome, bool, error) {
	p, _ := d.pathTo(command.Destination)
	return p.start(ctx, command)
}

func (d *dispatcher) stop(ctx context.Context, command engine.Stop) error {
	p, _ := d.pathTo(command.Destination)
	return p.stop(ctx, command)
}

// poll polls a worker. A path on which the worker did not answer is avoided for a while.
func (d *dispatcher) poll(ctx context.Context, request engine.PollRequest, wait time.Duration) (engine.Report, error) {
	p, link := d.pathTo(request.Destination)
	report, err := p.poll(ctx, request, wait)
	if err != nil && ctx.Err() == nil && !errors.Is(err, ErrSuperseded) {
		d.avoidPath(request.Worker, link)
	}
	return report, err
}

// forgetWorker drops the path state of a worker that is no longer polled.
func (d *dispatcher) forgetWorker(worker string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.paths, worker)
}

// avoidPath avoids a link to a worker for a while. A nil link means that the direct path failed
// too: then all links were tried, and none is avoided anymore.
func (d *dispatcher) avoidPath(worker string, link *relayLink) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.paths[worker]
	if state == nil {
		return
	}
	if link == nil {
		state.avoidUntil = nil
		return
	}
	if state.avoidUntil == nil {
		state.avoidUntil = make(map[*relayLink]time.Time)
	}
	state.avoidUntil[link] = time.Now().Add(avoidPathFor)
}
