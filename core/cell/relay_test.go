package cell

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/store"
)

// countedWorkers count the orders that one VM sends to workers that all VMs share.
type countedWorkers struct {
	workers map[string]*fakeWorkers
	counts  sync.Mutex
	starts  int
	looks   int
	// silent says that no look through this VM is answered.
	silent bool
}

func (c *countedWorkers) Start(ctx context.Context, order engine.Start) (engine.StartOutcome, error) {
	c.counts.Lock()
	c.starts++
	c.counts.Unlock()
	return c.workers[order.Worker].Start(ctx, order)
}

func (c *countedWorkers) Stop(ctx context.Context, order engine.Stop) error {
	return c.workers[order.Worker].Stop(ctx, order)
}

func (c *countedWorkers) Poll(ctx context.Context, order engine.PollRequest, wait time.Duration) (engine.Report, error) {
	c.counts.Lock()
	c.looks++
	silent := c.silent
	c.counts.Unlock()
	if silent {
		<-ctx.Done()
		return engine.Report{}, ctx.Err()
	}
	return c.workers[order.Worker].Poll(ctx, order, wait)
}

func (c *countedWorkers) sent() (starts, looks int) {
	c.counts.Lock()
	defer c.counts.Unlock()
	return c.starts, c.looks
}

// relayCell starts VMs that are too small to look at the workers of the platform from
// one of them, and waits until the leader's orders go through relays.
func relayCell(t *testing.T, takes time.Duration, names ...string) (nodes []*Node, counted []*countedWorkers, stops []func()) {
	t.Helper()
	workers := map[string]*fakeWorkers{"w1": newFakeWorkers(takes), "w2": newFakeWorkers(takes)}
	platform := newMemoryPlatform()
	platform.put(t, "config", "config", "1")
	platform.put(t, "workers", "w1", "ready")
	platform.put(t, "workers", "w2", "ready")
	for _, name := range names {
		c := &countedWorkers{workers: workers}
		node, stop := testNodeWith(t, name, platform, c, workers["w1"], func(o *Options) { o.Processors = 0.001 })
		nodes, counted, stops = append(nodes, node), append(counted, c), append(stops, stop)
	}
	eventually(t, "one leader with a link", func() bool {
		l := nodes[max(0, leaderAmong(nodes))].leader()
		return l != nil && l.dispatch.open() > 0
	})
	return nodes, counted, stops
}

func leaderAmong(nodes []*Node) int {
	for i, node := range nodes {
		if node.leader() != nil {
			return i
		}
	}
	return -1
}

// TestRelaysCarryOrders checks that a leader with more workers than it can look at
// itself sends its orders through other VMs, and that jobs come to their end so.
func TestRelaysCarryOrders(t *testing.T) {
	nodes, counted, _ := relayCell(t, 10*time.Millisecond, "a", "b", "c")
	lead := leaderAmong(nodes)
	before, _ := counted[lead].sent()
	for n := range 10 {
		if err := nodes[n%3].Submit(t.Context(), testJob(jobs.ID(fmt.Sprintf("job%d", n)))); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "all jobs are done", func() bool { return allDone(t, nodes[0], 10) })
	if after, _ := counted[lead].sent(); after != before {
		t.Errorf("the leader sent %d starts itself, want none", after-before)
	}
	relayed := 0
	for i, c := range counted {
		if starts, _ := c.sent(); i != lead {
			relayed += starts
		}
	}
	if relayed != 20 {
		t.Errorf("%d starts went through relays, want 20", relayed)
	}
}

func allDone(t *testing.T, node *Node, count int) bool {
	t.Helper()
	for n := range count {
		state, err := node.Status(t.Context(), jobs.ID(fmt.Sprintf("job%d", n)))
		if err != nil || state != jobs.Done {
			return false
		}
	}
	return true
}

// TestRelayGoesAway checks that jobs come to their end, and run once, when the relay
// that carries them ends.
func TestRelayGoesAway(t *testing.T) {
	nodes, counted, stops := relayCell(t, 300*time.Millisecond, "a", "b", "c")
	lead := leaderAmong(nodes)
	for n := range 4 {
		if err := nodes[lead].Submit(t.Context(), testJob(jobs.ID(fmt.Sprintf("job%d", n)))); err != nil {
			t.Fatal(err)
		}
	}
	relay := -1
	eventually(t, "a relay has sent starts", func() bool {
		for i, c := range counted {
			if starts, _ := c.sent(); i != lead && starts > 0 {
				relay = i
			}
		}
		return relay >= 0
	})
	stops[relay]()
	eventually(t, "all jobs are done", func() bool { return allDone(t, nodes[lead], 4) })
	ran := make(map[jobs.TaskID]int)
	for _, w := range counted[lead].workers {
		w.mu.Lock()
		for task, starts := range w.starts {
			ran[task] += starts
		}
		w.mu.Unlock()
	}
	for task, starts := range ran {
		if starts != 1 {
			t.Errorf("task %s ran %d times, want once", task, starts)
		}
	}
}

// TestSilentWayIsLeft checks that a worker that does not answer through one relay is
// looked at on another way, before its lease lapses.
func TestSilentWayIsLeft(t *testing.T) {
	nodes, counted, _ := relayCell(t, 10*time.Millisecond, "a", "b", "c")
	lead := leaderAmong(nodes)
	for i, c := range counted {
		if i != lead {
			c.counts.Lock()
			c.silent = true
			c.counts.Unlock()
			break
		}
	}
	if err := nodes[lead].Submit(t.Context(), testJob("job0")); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the job is done", func() bool { return allDone(t, nodes[lead], 1) })
}

// TestHeldOrderIsDropped checks that a relay which stood still does not send what it
// held meanwhile.
func TestHeldOrderIsDropped(t *testing.T) {
	counted := &countedWorkers{workers: map[string]*fakeWorkers{"w1": newFakeWorkers(time.Millisecond)}}
	session := &relaySession{way: directWay{counted}}
	start := relayOrder{ID: 7, Start: &startOrder{Worker: "w1", Run: 1}}
	cases := map[string]struct {
		took    time.Time
		outcome engine.StartOutcome
		starts  int
	}{
		"fresh":                         {time.Now(), engine.StartAccepted, 1},
		"held":                          {time.Now().Add(-2 * orderHold), engine.StartUnsent, 0},
		"steady clock did not count it": {time.Now().Round(0).Add(-2 * orderHold), engine.StartUnsent, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			before, _ := counted.sent()
			result := (&relayCall{session: session, order: start, took: c.took}).carryOut(t.Context())
			after, _ := counted.sent()
			if result.Outcome != c.outcome || after-before != c.starts {
				t.Errorf("%s after %d starts, want %s after %d", result.Outcome, after-before, c.outcome, c.starts)
			}
		})
	}
}

// TestLaterLeaderTakesTheRelay checks that a relay ends the links of an earlier leader
// when a later one opens one, and takes no new one of the earlier.
func TestLaterLeaderTakesTheRelay(t *testing.T) {
	server := &peerServer{sessions: make(map[*relaySession]bool)}
	session := func(epoch int64) (*relaySession, net.Conn) {
		near, far := net.Pipe()
		return &relaySession{epoch: epoch, conn: newFrameConn(near, bufio.NewReader(near), nil)}, far
	}
	first, firstEnd := session(4)
	if !server.adopt(first) {
		t.Fatal("the first link was not taken")
	}
	second, _ := session(5)
	if !server.adopt(second) {
		t.Fatal("the later leader's link was not taken")
	}
	if _, err := firstEnd.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the earlier leader's link is still open: %v", err)
	}
	if again, _ := session(4); server.adopt(again) {
		t.Error("a new link of the earlier leader was taken")
	}
}

// TestMalformedFramesEndOnlyTheirLink checks that a relay lives on when a link brings
// bytes that are no frame, or orders that ask for nothing.
func TestMalformedFramesEndOnlyTheirLink(t *testing.T) {
	node, stop := testNodeWith(t, "a", newMemoryPlatform(), newFakeWorkers(0), newFakeWorkers(0), nil)
	defer stop()
	empty, err := cbor.Marshal(orderFrame{Orders: []relayOrder{{ID: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	framed := func(data []byte) []byte {
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...)
	}
	cases := map[string]struct {
		sent []byte
		// answered says that the link goes on.
		answered bool
	}{
		"no CBOR":               {framed([]byte{0xff, 0xff, 0x00}), false},
		"longer than any frame": {[]byte{0xff, 0xff, 0xff, 0xff, 1}, false},
		"a list for a frame":    {framed([]byte{0x83, 1, 2, 3}), false},
		"an order for nothing":  {framed(empty), true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			conn := openTestLink(t, node)
			if _, err := conn.conn.Write(c.sent); err != nil {
				t.Fatal(err)
			}
			answered := false
			for {
				frame, err := readFrame[resultFrame](conn)
				if err != nil {
					break
				}
				if len(frame.Results) > 0 {
					answered = true
					break
				}
			}
			if answered != c.answered {
				t.Errorf("answered: %v, want %v", answered, c.answered)
			}
		})
	}
}

// openTestLink opens a link to a node as a leader would.
func openTestLink(t *testing.T, node *Node) *frameConn {
	t.Helper()
	var conn net.Conn
	eventually(t, "the node listens", func() bool {
		var err error
		conn, err = net.Dial("tcp", node.opts.PeerAddress.String())
		return err == nil
	})
	t.Cleanup(func() { _ = conn.Close() })
	c := newFrameConn(conn, bufio.NewReader(conn), nil)
	link := &relayLink{leader: &leader{epoch: 1}, name: "a", address: node.opts.PeerAddress}
	if err := link.handshake(c); err != nil {
		t.Fatal(err)
	}
	return c
}

// TestRelayRefusesStrangers checks what is no link of a leader.
func TestRelayRefusesStrangers(t *testing.T) {
	node, stop := testNodeWith(t, "a", newMemoryPlatform(), newFakeWorkers(0), newFakeWorkers(0), nil)
	defer stop()
	eventually(t, "the node answers", func() bool {
		response, err := http.Post("http://"+node.opts.PeerAddress.String()+pathRelay, "text/plain", strings.NewReader("x"))
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusBadRequest
	})
}

// TestChooseRelays checks which VMs relay for whose workers.
func TestChooseRelays(t *testing.T) {
	vm := func(name, zone string, processors float64) relayVM {
		return relayVM{Name: name, vmEntry: vmEntry{Zone: zone, Processors: processors}}
	}
	vms := []relayVM{vm("a1", "a", 0.2), vm("a2", "a", 0.8), vm("a3", "a", 0.8), vm("b1", "b", 0.2), vm("b2", "b", 0.2)}
	cases := map[string]struct {
		workers map[string]int
		want    map[string]string
	}{
		"the largest first":      {map[string]int{"a": 60}, map[string]string{"a": "a2"}},
		"as many as are needed":  {map[string]int{"a": 100}, map[string]string{"a": "a2 a3"}},
		"all, if that is little": {map[string]int{"b": 500}, map[string]string{"b": "b1 b2"}},
		"none where there is no VM": {
			map[string]int{"c": 10, "b": 1}, map[string]string{"b": "b1"},
		},
		"no workers": {nil, map[string]string{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			chosen := chooseRelays(vms, c.workers)
			if len(chosen) != len(c.want) {
				t.Errorf("relays in %d domains, want %d", len(chosen), len(c.want))
			}
			for zone, want := range c.want {
				var names []string
				for _, vm := range chosen[zone] {
					names = append(names, vm.Name)
				}
				if got := strings.Join(names, " "); got != want {
					t.Errorf("%s: %s, want %s", zone, got, want)
				}
			}
		})
	}
}

// TestWorkersSpreadByCapacity checks that relays get workers by what they have, and
// that a worker keeps its relay when another one is lost.
func TestWorkersSpreadByCapacity(t *testing.T) {
	small := &relayLink{name: "small", capacity: 10, orders: newBatch[relayOrder]()}
	large := &relayLink{name: "large", capacity: 40, orders: newBatch[relayOrder]()}
	other := &relayLink{name: "other", capacity: 40, orders: newBatch[relayOrder]()}
	d := &dispatcher{byZone: map[string][]*relayLink{"a": {small, large, other}}}
	counts := make(map[*relayLink]int)
	first := make(map[string]*relayLink)
	const workers = 900
	for n := range workers {
		id := fmt.Sprintf("w%d", n)
		first[id] = d.rank(engine.Destination{Worker: id, Zone: "a"})[0]
		counts[first[id]]++
	}
	if counts[small] < workers/18 || counts[small] > workers/6 {
		t.Errorf("the small relay has %d of %d workers, want about a ninth", counts[small], workers)
	}
	other.orders = nil
	for id, link := range first {
		if now := d.rank(engine.Destination{Worker: id, Zone: "a"})[0]; link != other && now != link {
			t.Errorf("%s went from %s to %s when another relay was lost", id, link.name, now.name)
		}
	}
}

// TestLeaderRowNamesTheLargestVMs checks that the row that all VMs read has few of them,
// and the ones that can relay the most.
func TestLeaderRowNamesTheLargestVMs(t *testing.T) {
	l := &leader{node: &Node{opts: Options{Name: "leader"}}, helpers: make(map[string]*helperVM)}
	for n := range 200 {
		l.helpers[fmt.Sprintf("small%d", n)] = &helperVM{entry: vmEntry{Processors: 0.2}}
	}
	for n := range 18 {
		l.helpers[fmt.Sprintf("large%d", n)] = &helperVM{entry: vmEntry{Processors: 0.8}}
	}
	vms := l.vms()
	if len(vms) != recordedVMs+1 {
		t.Errorf("%d VMs, want %d and the leader", len(vms), recordedVMs)
	}
	for n := range 18 {
		if _, named := vms[fmt.Sprintf("large%d", n)]; !named {
			t.Errorf("large%d is not named", n)
		}
	}
}

// TestFrameCarriesSpecOnce checks that orders come out as they went in, and that the
// tasks of a job share its spec.
func TestFrameCarriesSpecOnce(t *testing.T) {
	spec := jobs.NewSpec(strings.Repeat("x", 1000))
	var orders []relayOrder
	for n := range 20 {
		task := jobs.TaskID{StepID: jobs.StepID{Job: "job", Step: 1}, Index: n}
		orders = append(orders, relayOrder{ID: uint64(n), spec: spec, Start: &startOrder{
			Worker: "w1", Task: encodeTask(task), Run: 3, Until: time.Hour, Fence: 9, Ticket: "t", Checkpoint: "c",
		}})
	}
	near, far := net.Pipe()
	written := make(chan error, 1)
	go (&frameWriter{conn: newFrameConn(near, bufio.NewReader(near), nil), orders: orders, done: written}).run()
	frame, err := readFrame[orderFrame](newFrameConn(far, bufio.NewReader(far), nil))
	if err := errors.Join(err, <-written); err != nil {
		t.Fatal(err)
	}
	if len(frame.Orders) != len(orders) || len(frame.Specs) != 1 {
		t.Fatalf("%d orders and %d specs, want %d and one", len(frame.Orders), len(frame.Specs), len(orders))
	}
	got := frame.Orders[4].Start.decode(frame.specOf(frame.Orders[4]))
	want := engine.Start{
		Destination: engine.Destination{Worker: "w1"}, Task: orders[4].Start.Task.decode(), Run: 3, Spec: spec, LeaseUntil: time.Hour,
		Fence: 9, Ticket: "t", Checkpoint: "c",
	}
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

type frameWriter struct {
	conn   *frameConn
	orders []relayOrder
	done   chan error
}

func (w *frameWriter) run() { w.done <- writeFrame(w.conn, frameOf(w.orders)) }

// FuzzFrame checks that no bytes take a relay down.
func FuzzFrame(f *testing.F) {
	seed, err := cbor.Marshal(orderFrame{Orders: []relayOrder{{ID: 1, Stop: &stopOrder{Worker: "w"}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var orders orderFrame
		if cbor.Unmarshal(data, &orders) == nil {
			for _, order := range orders.Orders {
				if order.Start != nil {
					order.Start.decode(orders.specOf(order))
				}
			}
		}
		var results resultFrame
		if cbor.Unmarshal(data, &results) == nil {
			for _, result := range results.Results {
				if result.Report != nil {
					result.Report.decode()
				}
				_ = result.Outcome.String()
			}
		}
	})
}

var _ store.Transport = (*memoryPlatform)(nil)

// TestWaysOfGoneWorkersAreForgotten checks that a leader keeps nothing for workers that it
// looks at no longer, however many come and go under it.
func TestWaysOfGoneWorkersAreForgotten(t *testing.T) {
	_, nodes, _ := startCell(t, newFakeWorkers(time.Millisecond), "vm")
	l := nodes[0].leader()
	l.dispatch.wayTo(engine.Destination{Worker: "gone"})
	known := func() bool {
		l.dispatch.mu.Lock()
		defer l.dispatch.mu.Unlock()
		return l.dispatch.ways["gone"] != nil
	}
	if !known() {
		t.Fatal("nothing is kept for a worker that an order goes to")
	}
	if _, ok := (&looker{leader: l, worker: "gone"}).order(); ok {
		t.Fatal("a worker that the engine does not know is looked at")
	}
	if known() {
		t.Error("the way to a worker that has gone is kept")
	}
}
