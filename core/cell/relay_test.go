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

// countingWorkers counts the commands that one VM sends to workers shared by all VMs.
type countingWorkers struct {
	workers map[string]*fakeWorkers
	mu      sync.Mutex
	starts  int
	polls   int
	// silent means that no poll through this VM is answered.
	silent bool
}

func (c *countingWorkers) Start(ctx context.Context, command engine.Start) (engine.StartOutcome, error) {
	c.mu.Lock()
	c.starts++
	c.mu.Unlock()
	return c.workers[command.Worker].Start(ctx, command)
}

func (c *countingWorkers) Stop(ctx context.Context, command engine.Stop) error {
	return c.workers[command.Worker].Stop(ctx, command)
}

func (c *countingWorkers) Poll(ctx context.Context, request engine.PollRequest, wait time.Duration) (engine.Report, error) {
	c.mu.Lock()
	c.polls++
	silent := c.silent
	c.mu.Unlock()
	if silent {
		<-ctx.Done()
		return engine.Report{}, ctx.Err()
	}
	return c.workers[request.Worker].Poll(ctx, request, wait)
}

func (c *countingWorkers) sent() (starts, polls int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts, c.polls
}

// startRelayCell starts VMs that are too small to poll all workers directly, and waits until
// the leader has an open link to a relay.
func startRelayCell(t *testing.T, runTime time.Duration, names ...string) (nodes []*Node, counted []*countingWorkers, stops []func()) {
	t.Helper()
	workers := map[string]*fakeWorkers{"w1": newFakeWorkers(runTime), "w2": newFakeWorkers(runTime)}
	memory := newMemoryStore()
	memory.put(t, "config", "config", "1")
	memory.put(t, "workers", "w1", "ready")
	memory.put(t, "workers", "w2", "ready")
	for _, name := range names {
		c := &countingWorkers{workers: workers}
		node, stop := testNodeWithOptions(t, name, memory, c, workers["w1"], func(o *Options) { o.Processors = 0.001 })
		nodes, counted, stops = append(nodes, node), append(counted, c), append(stops, stop)
	}
	eventually(t, "one leader with a link", func() bool {
		l := nodes[max(0, leaderIndex(nodes))].leader()
		return l != nil && l.dispatch.openLinks() > 0
	})
	return nodes, counted, stops
}

func leaderIndex(nodes []*Node) int {
	for i, node := range nodes {
		if node.leader() != nil {
			return i
		}
	}
	return -1
}

// TestRelaysCarryOrders checks that a leader with more workers than it can poll itself sends
// its commands through other VMs, and that jobs finish that way.
func TestRelaysCarryOrders(t *testing.T) {
	nodes, counted, _ := startRelayCell(t, 10*time.Millisecond, "a", "b", "c")
	leader := leaderIndex(nodes)
	before, _ := counted[leader].sent()
	for n := range 10 {
		if err := nodes[n%3].Submit(t.Context(), testJob(jobs.ID(fmt.Sprintf("job%d", n)))); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "all jobs are done", func() bool { return allDone(t, nodes[0], 10) })
	if after, _ := counted[leader].sent(); after != before {
		t.Errorf("the leader sent %d starts itself, want none", after-before)
	}
	relayed := 0
	for i, c := range counted {
		if starts, _ := c.sent(); i != leader {
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

// TestRelayGoesAway checks that jobs finish, and each task runs once, when the relay of their
// commands shuts down.
func TestRelayGoesAway(t *testing.T) {
	nodes, counted, stops := startRelayCell(t, 300*time.Millisecond, "a", "b", "c")
	leader := leaderIndex(nodes)
	for n := range 4 {
		if err := nodes[leader].Submit(t.Context(), testJob(jobs.ID(fmt.Sprintf("job%d", n)))); err != nil {
			t.Fatal(err)
		}
	}
	relay := -1
	eventually(t, "a relay has sent starts", func() bool {
		for i, c := range counted {
			if starts, _ := c.sent(); i != leader && starts > 0 {
				relay = i
			}
		}
		return relay >= 0
	})
	stops[relay]()
	eventually(t, "all jobs are done", func() bool { return allDone(t, nodes[leader], 4) })
	ran := make(map[jobs.TaskID]int)
	for _, w := range counted[leader].workers {
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

// TestSilentWayIsLeft checks that a worker that does not answer through one relay is polled on
// another path before its lease expires.
func TestSilentWayIsLeft(t *testing.T) {
	nodes, counted, _ := startRelayCell(t, 10*time.Millisecond, "a", "b", "c")
	leader := leaderIndex(nodes)
	for i, c := range counted {
		if i != leader {
			c.mu.Lock()
			c.silent = true
			c.mu.Unlock()
			break
		}
	}
	if err := nodes[leader].Submit(t.Context(), testJob("job0")); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the job is done", func() bool { return allDone(t, nodes[leader], 1) })
}

// TestHeldOrderIsDropped checks that a relay that was suspended does not send commands that
// have become too old in the meantime.
func TestHeldOrderIsDropped(t *testing.T) {
	counted := &countingWorkers{workers: map[string]*fakeWorkers{"w1": newFakeWorkers(time.Millisecond)}}
	session := &relaySession{path: directPath{counted}}
	start := relayCommand{ID: 7, Start: &startCommand{Worker: "w1", Run: 1}}
	cases := map[string]struct {
		receivedAt time.Time
		outcome    engine.StartOutcome
		starts     int
	}{
		"fresh":                          {time.Now(), engine.StartAccepted, 1},
		"too old":                        {time.Now().Add(-2 * maxCommandAge), engine.StartUnsent, 0},
		"too old by the wall clock only": {time.Now().Round(0).Add(-2 * maxCommandAge), engine.StartUnsent, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			before, _ := counted.sent()
			result := (&relayCall{session: session, command: start, receivedAt: c.receivedAt}).execute(t.Context())
			after, _ := counted.sent()
			if result.Outcome != c.outcome || after-before != c.starts {
				t.Errorf("outcome %s after %d starts, want %s after %d", result.Outcome, after-before, c.outcome, c.starts)
			}
		})
	}
}

// TestLaterLeaderTakesTheRelay checks that a relay closes the links of an earlier leader when a
// later one opens a link, and rejects new links of the earlier one.
func TestLaterLeaderTakesTheRelay(t *testing.T) {
	server := &peerServer{sessions: make(map[*relaySession]bool)}
	session := func(epoch int64) (*relaySession, net.Conn) {
		near, far := net.Pipe()
		return &relaySession{epoch: epoch, conn: newFrameConn(near, bufio.NewReader(near), nil)}, far
	}
	first, firstEnd := session(4)
	if !server.register(first) {
		t.Fatal("the first link was rejected")
	}
	second, _ := session(5)
	if !server.register(second) {
		t.Fatal("the later leader's link was rejected")
	}
	if _, err := firstEnd.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the earlier leader's link is still open: %v", err)
	}
	if again, _ := session(4); server.register(again) {
		t.Error("a new link of the earlier leader was accepted")
	}
}

// TestMalformedFramesEndOnlyTheirLink checks that a relay survives bytes that are not a frame
// and commands without content, and closes at most the link they arrive on.
func TestMalformedFramesEndOnlyTheirLink(t *testing.T) {
	node, stop := testNodeWithOptions(t, "a", newMemoryStore(), newFakeWorkers(0), newFakeWorkers(0), nil)
	defer stop()
	empty, err := cbor.Marshal(commandFrame{Commands: []relayCommand{{ID: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	framed := func(data []byte) []byte {
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...)
	}
	cases := map[string]struct {
		sent []byte
		// answered is true if the link stays open and the command is answered.
		answered bool
	}{
		"invalid CBOR":            {framed([]byte{0xff, 0xff, 0x00}), false},
		"length above the limit":  {[]byte{0xff, 0xff, 0xff, 0xff, 1}, false},
		"list instead of a frame": {framed([]byte{0x83, 1, 2, 3}), false},
		"command without content": {framed(empty), true},
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

// TestRelayRejectsInvalidHandshake checks that a request without the headers of a leader's link
// is rejected.
func TestRelayRejectsInvalidHandshake(t *testing.T) {
	node, stop := testNodeWithOptions(t, "a", newMemoryStore(), newFakeWorkers(0), newFakeWorkers(0), nil)
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

// TestChooseRelays checks which VMs relay for the workers of each failure domain.
func TestChooseRelays(t *testing.T) {
	vm := func(name, zone string, processors float64) relayVM {
		return relayVM{Name: name, vmEntry: vmEntry{Zone: zone, Processors: processors}}
	}
	vms := []relayVM{vm("a1", "a", 0.2), vm("a2", "a", 0.8), vm("a3", "a", 0.8), vm("b1", "b", 0.2), vm("b2", "b", 0.2)}
	cases := map[string]struct {
		workers map[string]int
		want    map[string]string
	}{
		"the largest VM first":         {map[string]int{"a": 60}, map[string]string{"a": "a2"}},
		"as many VMs as needed":        {map[string]int{"a": 100}, map[string]string{"a": "a2 a3"}},
		"all VMs if capacity is short": {map[string]int{"b": 500}, map[string]string{"b": "b1 b2"}},
		"none in a domain without VMs": {
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

// TestWorkersSpreadByCapacity checks that relays get workers in proportion to their capacity,
// and that a worker keeps its relay when another relay is lost.
func TestWorkersSpreadByCapacity(t *testing.T) {
	small := &relayLink{name: "small", capacity: 10, commands: newBatch[relayCommand]()}
	large := &relayLink{name: "large", capacity: 40, commands: newBatch[relayCommand]()}
	other := &relayLink{name: "other", capacity: 40, commands: newBatch[relayCommand]()}
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
	other.commands = nil
	for id, link := range first {
		if now := d.rank(engine.Destination{Worker: id, Zone: "a"})[0]; link != other && now != link {
			t.Errorf("worker %s moved from %s to %s when another relay was lost", id, link.name, now.name)
		}
	}
}

// TestLeaderRowListsLargestVMs checks that the leader row, which all VMs read, lists a limited
// number of VMs, and those with the highest relay capacity.
func TestLeaderRowListsLargestVMs(t *testing.T) {
	l := &leader{node: &Node{opts: Options{Name: "leader"}}, followers: make(map[string]*followerVM)}
	for n := range 200 {
		l.followers[fmt.Sprintf("small%d", n)] = &followerVM{entry: vmEntry{Processors: 0.2}}
	}
	for n := range 18 {
		l.followers[fmt.Sprintf("large%d", n)] = &followerVM{entry: vmEntry{Processors: 0.8}}
	}
	vms := l.vms()
	if len(vms) != maxRowVMs+1 {
		t.Errorf("row lists %d VMs, want %d and the leader", len(vms), maxRowVMs)
	}
	for n := range 18 {
		if _, named := vms[fmt.Sprintf("large%d", n)]; !named {
			t.Errorf("large%d is not listed", n)
		}
	}
}

// TestFrameCarriesSpecOnce checks that commands survive encoding and decoding, and that the
// tasks of a job share its spec.
func TestFrameCarriesSpecOnce(t *testing.T) {
	spec := jobs.NewSpec(strings.Repeat("x", 1000))
	var commands []relayCommand
	for n := range 20 {
		task := jobs.TaskID{StepID: jobs.StepID{Job: "job", Step: 1}, Index: n}
		commands = append(commands, relayCommand{ID: uint64(n), spec: spec, Start: &startCommand{
			Worker: "w1", Task: encodeTask(task), Run: 3, LeaseUntil: time.Hour, Fence: 9, Ticket: "t", Checkpoint: "c",
		}})
	}
	near, far := net.Pipe()
	written := make(chan error, 1)
	go (&frameWriter{conn: newFrameConn(near, bufio.NewReader(near), nil), commands: commands, done: written}).run()
	frame, err := readFrame[commandFrame](newFrameConn(far, bufio.NewReader(far), nil))
	if err := errors.Join(err, <-written); err != nil {
		t.Fatal(err)
	}
	if len(frame.Commands) != len(commands) || len(frame.Specs) != 1 {
		t.Fatalf("%d commands and %d specs, want %d and one", len(frame.Commands), len(frame.Specs), len(commands))
	}
	got := frame.Commands[4].Start.decode(frame.specOf(frame.Commands[4]))
	want := engine.Start{
		Destination: engine.Destination{Worker: "w1"}, Task: commands[4].Start.Task.decode(), Run: 3, Spec: spec, LeaseUntil: time.Hour,
		Fence: 9, Ticket: "t", Checkpoint: "c",
	}
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

type frameWriter struct {
	conn     *frameConn
	commands []relayCommand
	done     chan error
}

func (w *frameWriter) run() { w.done <- writeFrame(w.conn, newCommandFrame(w.commands)) }

// FuzzFrame checks that decoding arbitrary bytes does not panic.
func FuzzFrame(f *testing.F) {
	seed, err := cbor.Marshal(commandFrame{Commands: []relayCommand{{ID: 1, Stop: &stopCommand{Worker: "w"}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var commands commandFrame
		if cbor.Unmarshal(data, &commands) == nil {
			for _, command := range commands.Commands {
				if command.Start != nil {
					command.Start.decode(commands.specOf(command))
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

var _ store.Transport = (*memoryStore)(nil)

// TestPathsOfRemovedWorkersAreForgotten checks that a leader keeps no path state of workers
// that it no longer polls. Otherwise memory would grow with each worker that joins and leaves.
func TestPathsOfRemovedWorkersAreForgotten(t *testing.T) {
	_, nodes, _ := startCell(t, newFakeWorkers(time.Millisecond), "vm")
	l := nodes[0].leader()
	l.dispatch.pathTo(engine.Destination{Worker: "gone"})
	known := func() bool {
		l.dispatch.mu.Lock()
		defer l.dispatch.mu.Unlock()
		return l.dispatch.paths["gone"] != nil
	}
	if !known() {
		t.Fatal("no path state for a worker that gets a command")
	}
	if _, ok := (&poller{leader: l, worker: "gone"}).nextRequest(); ok {
		t.Fatal("a worker unknown to the engine is polled")
	}
	if known() {
		t.Error("path state of a removed worker is kept")
	}
}
