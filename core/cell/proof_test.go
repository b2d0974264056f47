package cell

import (
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/orgs"
	"tanagerstack.org/core/store"
)

// TestConfigProof checks what proves that a configuration is the newest. The load is one answer of the
// store a second and one heartbeat each 0.4 s.
func TestConfigProof(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	type step func(p *configProof)
	row := func(version int64, decoded bool) step { return func(p *configProof) { p.noteRow(version, decoded) } }
	prove := func(d time.Duration) step { return func(p *configProof) { p.prove(ago(d), now) } }
	adopt := func(d time.Duration) step { return func(p *configProof) { p.adopt(ago(d), now) } }
	cases := map[string]struct {
		steps []step
		want  time.Duration
	}{
		"nothing":                         {nil, neverProved},
		"answer before any row":           {[]step{prove(time.Second)}, neverProved},
		"row and answer":                  {[]step{row(1, true), prove(time.Second)}, time.Second},
		"later answer":                    {[]step{row(1, true), prove(time.Second), prove(time.Millisecond)}, time.Millisecond},
		"late answer to an earlier call":  {[]step{row(1, true), prove(time.Millisecond), prove(time.Second)}, time.Millisecond},
		"newest row is unreadable":        {[]step{row(1, true), prove(time.Second), row(2, false), prove(0)}, time.Second},
		"readable again":                  {[]step{row(1, true), row(2, false), row(3, true), prove(0)}, 0},
		"earlier row after unreadable":    {[]step{row(2, false), row(1, true), prove(0)}, neverProved},
		"only an unreadable row":          {[]step{row(1, false), prove(0)}, neverProved},
		"proof of the leader":             {[]step{row(1, true), prove(time.Second), adopt(time.Millisecond)}, time.Millisecond},
		"older proof of the leader":       {[]step{row(1, true), prove(time.Millisecond), adopt(time.Second)}, time.Millisecond},
		"proof by the wall clock":         {[]step{row(1, true), func(p *configProof) { p.prove(ago(time.Second).Round(0), now) }}, time.Second},
		"an hour ago, then a moment ago":  {[]step{adopt(time.Hour), adopt(time.Millisecond)}, time.Millisecond},
		"an hour ago after a moment ago":  {[]step{adopt(time.Millisecond), adopt(time.Hour)}, time.Millisecond},
		"unreadable, proof of the leader": {[]step{row(1, false), adopt(time.Second)}, time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var p configProof
			for _, step := range c.steps {
				step(&p)
			}
			if got := p.age(now); got != c.want {
				t.Errorf("age %s, want %s", got, c.want)
			}
			// A suspended VM finds that time has passed, at least by its wall clock.
			if later := p.age(now.Round(0).Add(time.Minute)); c.want != neverProved && later != c.want+time.Minute {
				t.Errorf("age %s a minute later, want %s", later, c.want+time.Minute)
			}
		})
	}
}

// TestMaxProofAge checks the age from which keys are refused.
func TestMaxProofAge(t *testing.T) {
	for name, c := range map[string]struct{ within, want time.Duration }{
		"not strict": {0, 0}, "as on the platform": {5 * time.Second, 4 * time.Second}, "short": {time.Second, 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			if got := (&Options{RevokeWithin: c.within}).maxProofAge(); got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
		})
	}
}

// TestWatchesFitTheBound guards against keys that are refused between two watches of a healthy cell: two
// watches in a row and a heartbeat must fit into the age of a proof.
func TestWatchesFitTheBound(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, time.Minute} {
		node := idleElector(t).node
		node.opts.RevokeWithin = bound
		age, now := node.opts.maxProofAge(), time.Now()
		node.proof.provedAt = now.Add(-time.Hour)
		urgent := node.configWatchWait()
		node.proof.provedAt = now.Add(time.Hour)
		usual := node.configWatchWait()
		if usual > strictWatchWait || 2*usual > age/2 || urgent > usual || node.opts.maxLeaderProofAge()+2*urgent > age*3/4 {
			t.Errorf("bound %s: watches of %s, urgent ones of %s, own watches after %s", bound, usual, urgent, node.opts.maxLeaderProofAge())
		}
	}
}

// decodeKeys decodes a configuration of the form "VERSION KEY..." that has one organization for each key.
// Any other text is unreadable. "VERSION -" has no organizations.
func decodeKeys(row store.Row) (*jobs.Config, error) {
	fields := strings.Fields(string(row.Value))
	if len(fields) == 0 {
		return nil, errors.New("empty config")
	}
	version, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		return nil, err
	}
	config := &jobs.Config{Version: version, Queues: []jobs.Queue{testQueue}}
	if len(fields) > 1 && fields[1] == "-" {
		return config, nil
	}
	var list []orgs.Organization
	for _, key := range fields[1:] {
		list = append(list, orgs.Organization{Name: "owner of " + key, Keys: []orgs.Digest{orgs.DigestOf(key)}})
	}
	config.Organizations, err = orgs.NewDirectory(list)
	return config, err
}

// cutDialer opens connections that fail while the VM is cut off.
type cutDialer struct{ cut atomic.Bool }

func (d *cutDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if d.cut.Load() {
		return nil, errors.New("cut off")
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return &cutConn{conn, d}, err
}

type cutConn struct {
	net.Conn
	dialer *cutDialer
}

func (c *cutConn) Write(data []byte) (int, error) {
	if c.dialer.cut.Load() {
		return 0, errors.New("cut off")
	}
	return c.Conn.Write(data)
}

// configTransport is a faultyTransport that counts calls about the configuration, and can leave its
// watches without an answer.
type configTransport struct {
	*faultyTransport
	watches, reads atomic.Int64
	// longestWait is the longest wait of a watch, in nanoseconds.
	longestWait atomic.Int64
	silent      atomic.Bool
}

func (c *configTransport) Read(ctx context.Context, table, key string) (store.Row, error) {
	if table == "config" {
		c.reads.Add(1)
	}
	return c.faultyTransport.Read(ctx, table, key)
}

func (c *configTransport) Watch(ctx context.Context, table string, after int64, wait time.Duration) (store.Changes, error) {
	if table == "config" {
		c.watches.Add(1)
		c.longestWait.Store(max(c.longestWait.Load(), int64(wait)))
		if c.silent.Load() {
			<-ctx.Done()
			return store.Changes{}, store.ErrOutcomeUnknown
		}
	}
	return c.faultyTransport.Watch(ctx, table, after, wait)
}

// keyedVM is a VM of a cell with organizations.
type keyedVM struct {
	*Node
	stop      func()
	transport *configTransport
	dialer    *cutDialer
}

// check reports whether a key is accepted, and otherwise why not.
func (v *keyedVM) check(key string) error {
	view := v.ConfigView()
	if view.Config == nil {
		return errors.New("no configuration")
	}
	_, err := v.Authenticate(view, KeyedRequest{Queue: testQueue, Key: key})
	return err
}

// startKeyedCell starts VMs on a store with a configuration and waits until one of them leads and all
// VMs know each other. The leader is the first one in the result.
func startKeyedCell(t *testing.T, config string, revokeWithin time.Duration, names ...string) (*memoryStore, []*keyedVM) {
	t.Helper()
	memory := newMemoryStore()
	memory.put(t, "config", "config", config)
	var vms []*keyedVM
	for _, name := range names {
		vms = append(vms, startKeyedVM(t, memory, name, revokeWithin))
	}
	leader := -1
	eventually(t, "one leader that all VMs know", func() bool {
		leader = -1
		for i, vm := range vms {
			if vm.leader() != nil {
				leader = i
			}
			if len(vm.elector.current().VMs) < len(vms) || vm.Config() == nil {
				return false
			}
		}
		return leader >= 0
	})
	vms[0], vms[leader] = vms[leader], vms[0]
	return memory, vms
}

func startKeyedVM(t *testing.T, memory *memoryStore, name string, revokeWithin time.Duration) *keyedVM {
	t.Helper()
	vm := &keyedVM{transport: &configTransport{faultyTransport: &faultyTransport{memoryStore: memory}}, dialer: &cutDialer{}}
	workers := newFakeWorkers(time.Millisecond)
	vm.Node, vm.stop = testNodeWithOptions(t, name, vm.transport, workers, workers, func(o *Options) {
		o.Directory.DecodeConfig, o.RevokeWithin, o.Dial = decodeKeys, revokeWithin, vm.dialer.dial
	})
	return vm
}

// TestRevocationIsStrict guards against a key that works longer than the bound after its removal, when
// the VM does not learn of the removal. The bound is checked from before each check, so that a slow
// machine cannot make it fail.
func TestRevocationIsStrict(t *testing.T) {
	const bound = 3 * time.Second
	cases := map[string]struct {
		// leader is set if the faulty VM is the leader.
		leader bool
		// fault happens just before the removal, to VM vm.
		fault func(vm *keyedVM, all []*keyedVM)
		// want is the reason with which the VM finally refuses the key.
		want error
	}{
		"none":                     {false, func(*keyedVM, []*keyedVM) {}, ErrUnknownKey},
		"none, leader":             {true, func(*keyedVM, []*keyedVM) {}, ErrUnknownKey},
		"store rejects VM":         {false, func(vm *keyedVM, _ []*keyedVM) { vm.transport.mode.Store(int32(storeRejects)) }, ErrUnknownKey},
		"store ignores VM":         {false, func(vm *keyedVM, _ []*keyedVM) { vm.transport.mode.Store(int32(storeSilent)) }, ErrUnknownKey},
		"store rejects leader":     {true, func(vm *keyedVM, _ []*keyedVM) { vm.transport.mode.Store(int32(storeRejects)) }, ErrUnknownKey},
		"watches are not answered": {false, func(vm *keyedVM, _ []*keyedVM) { vm.transport.silent.Store(true) }, ErrUnknownKey},
		"leader lost":              {false, func(_ *keyedVM, all []*keyedVM) { all[0].stop() }, ErrUnknownKey},
		"store down for all": {false, func(_ *keyedVM, all []*keyedVM) {
			for _, vm := range all {
				vm.transport.mode.Store(int32(storeRejects))
			}
		}, ErrConfigUnproved},
		"store silent for all": {true, func(_ *keyedVM, all []*keyedVM) {
			for _, vm := range all {
				vm.transport.mode.Store(int32(storeSilent))
			}
		}, ErrConfigUnproved},
		"VM cut off": {false, func(vm *keyedVM, _ []*keyedVM) {
			vm.transport.mode.Store(int32(storeSilent))
			vm.dialer.cut.Store(true)
		}, ErrConfigUnproved},
		"leader cut off": {true, func(vm *keyedVM, _ []*keyedVM) {
			vm.transport.mode.Store(int32(storeSilent))
			vm.dialer.cut.Store(true)
		}, ErrConfigUnproved},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			memory, vms := startKeyedCell(t, "1 old other", bound, "a", "b", "c")
			vm := vms[1]
			if c.leader {
				vm = vms[0]
			}
			eventually(t, "the key works", func() bool { return vm.check("old") == nil })
			c.fault(vm, vms)
			memory.put(t, "config", "config", "2 other")
			removed := time.Now()
			// The key is checked until well after the bound.
			var last error
			eventually(t, "the key is refused for the expected reason", func() bool {
				began := time.Now()
				last = vm.check("old")
				if last == nil && began.Sub(removed) > bound {
					t.Fatalf("the key works %s after its removal", began.Sub(removed))
				}
				return began.Sub(removed) > 2*bound && errors.Is(last, c.want)
			})
			if !errors.Is(c.want, ErrConfigUnproved) {
				return
			}
			if err := vm.check("other"); !errors.Is(err, ErrConfigUnproved) {
				t.Errorf("a key that was not removed: %v, want %v", err, ErrConfigUnproved)
			}
			if vm.Ready() {
				t.Error("the VM reports ready although it refuses all keys")
			}
		})
	}
}

// TestKeysWorkAgainAfterOutage guards against a VM that refuses keys forever, and against one that
// accepts new keys late after an outage. Without strict revocation an outage changes nothing.
func TestKeysWorkAgainAfterOutage(t *testing.T) {
	const bound = 2 * time.Second
	t.Run("strict", func(t *testing.T) {
		t.Parallel()
		memory, vms := startKeyedCell(t, "1 old", bound, "a", "b")
		setMode := func(mode storeMode) {
			for _, vm := range vms {
				vm.transport.mode.Store(int32(mode))
			}
		}
		for _, vm := range vms {
			eventually(t, "the key works", func() bool { return vm.check("old") == nil })
		}
		setMode(storeRejects)
		for _, vm := range vms {
			eventually(t, "the key is refused", func() bool { return errors.Is(vm.check("old"), ErrConfigUnproved) })
			if err := vm.check("new"); !errors.Is(err, ErrConfigUnproved) {
				t.Errorf("a key that may be new: %v, want %v", err, ErrConfigUnproved)
			}
		}
		memory.put(t, "config", "config", "2 new")
		setMode(storeAnswers)
		for _, vm := range vms {
			eventually(t, "the new key works", func() bool { return vm.check("new") == nil })
			eventually(t, "the VM is ready", vm.Ready)
			if err := vm.check("old"); err == nil {
				t.Error("the removed key works")
			}
		}
	})
	t.Run("not strict", func(t *testing.T) {
		t.Parallel()
		_, vms := startKeyedCell(t, "1 old", 0, "a")
		vms[0].transport.mode.Store(int32(storeRejects))
		for began := time.Now(); time.Since(began) < bound; time.Sleep(10 * time.Millisecond) {
			if err := vms[0].check("old"); err != nil {
				t.Fatalf("known key: %v", err)
			}
			if err := vms[0].check("new"); !errors.Is(err, ErrUnknownKey) {
				t.Fatalf("unknown key: %v, want %v", err, ErrUnknownKey)
			}
		}
	})
}

// TestRestartedVMHasNoProof guards against a VM that accepts keys after a restart before it has read the
// newest configuration.
func TestRestartedVMHasNoProof(t *testing.T) {
	memory, vms := startKeyedCell(t, "1 old", 5*time.Second, "a")
	vms[0].stop()
	memory.put(t, "config", "config", "2 new")
	next := startKeyedVM(t, memory, "a", 5*time.Second)
	eventually(t, "the new key works", func() bool {
		if next.check("old") == nil {
			t.Fatal("the removed key works after the restart")
		}
		return next.check("new") == nil
	})
	next.stop()
	cut := &faultyTransport{memoryStore: memory}
	cut.mode.Store(int32(storeRejects))
	workers := newFakeWorkers(time.Millisecond)
	last, _ := testNodeWithOptions(t, "a", cut, workers, workers, func(o *Options) { o.Directory.DecodeConfig, o.RevokeWithin = decodeKeys, 5*time.Second })
	for range 20 {
		if last.Config() != nil || last.Ready() {
			t.Fatal("a VM that never reached the store has a configuration or is ready")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestUnreadableConfigProvesNothing guards against taking answers of the store for a proof while the
// newest configuration, which may have removed a key, cannot be decoded. The last good one stays in
// force meanwhile.
func TestUnreadableConfigProvesNothing(t *testing.T) {
	memory, vms := startKeyedCell(t, "1 key", 2*time.Second, "a", "b")
	memory.put(t, "config", "config", "unreadable")
	for _, vm := range vms {
		eventually(t, "the row was read", func() bool {
			vm.proof.mu.Lock()
			defer vm.proof.mu.Unlock()
			return vm.proof.unreadable > vm.proof.readable
		})
	}
	for _, vm := range vms {
		eventually(t, "the key is refused", func() bool { return errors.Is(vm.check("key"), ErrConfigUnproved) })
		if version := vm.Config().Version; version != 1 {
			t.Errorf("version %d in force, want the last good one", version)
		}
	}
	for _, vm := range vms {
		// A proof by one of the next answers would make the key work again.
		watches := vm.transport.watches.Load()
		eventually(t, "answers of the store", func() bool {
			if err := vm.check("key"); !errors.Is(err, ErrConfigUnproved) {
				t.Fatalf("key after the store answered: %v, want %v", err, ErrConfigUnproved)
			}
			return vm.transport.watches.Load() >= watches+3
		})
	}
	memory.put(t, "config", "config", "2 key")
	for _, vm := range vms {
		eventually(t, "the key works again", func() bool { return vm.check("key") == nil })
	}
}

// TestFollowersTakeOverProofs guards against each VM watching the configuration by itself, which would
// take a call a second for each VM of a cell.
func TestFollowersTakeOverProofs(t *testing.T) {
	_, vms := startKeyedCell(t, "1 key", 5*time.Second, "a", "b")
	follower := vms[1]
	provedAt := func() time.Time {
		follower.proof.mu.Lock()
		defer follower.proof.mu.Unlock()
		return follower.proof.leaderProvedAt
	}
	// A VM that watches by itself makes a call at least each second, thus several during ten proofs
	// with 0.4 s between them.
	const proofs = 10
	count, watches, last := 0, int64(0), time.Time{}
	eventually(t, "ten proofs of the leader without a watch", func() bool {
		if calls := follower.transport.watches.Load(); calls != watches || follower.leader() != nil {
			watches, count = calls, 0
		}
		if at := provedAt(); at != last {
			last = at
			count++
		}
		return count >= proofs
	})
	if err := follower.check("key"); err != nil {
		t.Errorf("key with the leader's proof: %v", err)
	}
}

// TestOlderVersionIsReadAtOnce guards against a VM that waits for its own watch although the leader has a
// newer configuration.
func TestOlderVersionIsReadAtOnce(t *testing.T) {
	memory, vms := startKeyedCell(t, "1 key", 0, "a", "b")
	vms[1].transport.silent.Store(true)
	// A watch that began before is answered.
	memory.put(t, "config", "config", "2 key")
	eventually(t, "the second version", func() bool { return vms[1].Config().Version == 2 })
	memory.put(t, "config", "config", "3 key")
	eventually(t, "the third version", func() bool { return vms[1].Config().Version == 3 })
	if vms[1].transport.reads.Load() == 0 {
		t.Error("the row was not read")
	}
}

// TestCellWithoutOrganizationsIsUnchanged guards against more calls to the store, shorter watches or
// refusals in a cell without organizations, also where revocation is strict.
func TestCellWithoutOrganizationsIsUnchanged(t *testing.T) {
	const bound = 500 * time.Millisecond
	memory, vms := startKeyedCell(t, "1 -", bound, "a", "b")
	eventually(t, "heartbeats", func() bool { _, err := vms[1].Pending("queue"); return err == nil })
	memory.put(t, "config", "config", "2 -")
	for _, vm := range vms {
		eventually(t, "the second version", func() bool { return vm.Config().Version == 2 })
		watches := vm.transport.watches.Load()
		eventually(t, "watches", func() bool { return vm.transport.watches.Load() > watches })
		if reads, wait := vm.transport.reads.Load(), time.Duration(vm.transport.longestWait.Load()); reads != 0 || wait != configWatchWait {
			t.Errorf("%d reads of the configuration, watches of %s; want none, %s", reads, wait, configWatchWait)
		}
		if vm.reportConfig() != nil {
			t.Error("heartbeat replies name the configuration")
		}
		vm.transport.mode.Store(int32(storeRejects))
		time.Sleep(2 * bound)
		if err := vm.check("any"); err != nil {
			t.Errorf("request without organizations: %v", err)
		}
	}
}

// TestProofIsNotOfLaterConfig guards against a check of a key by a configuration that is older than the
// one that was proved, if that is put in force during the check.
func TestProofIsNotOfLaterConfig(t *testing.T) {
	node := idleElector(t).node
	node.opts.RevokeWithin = time.Hour
	node.config.Store(keyedTestConfig(1))
	node.proof.readable = 1
	// oldest is the oldest version that a recent proof may go with.
	var oldest atomic.Int64
	var failed atomic.Bool
	done := make(chan struct{})
	var readers sync.WaitGroup
	for range 2 {
		readers.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				version := oldest.Load()
				if view := node.ConfigView(); !view.Unproved() && view.Config.Version < version {
					failed.Store(true)
				}
			}
		})
	}
	for version := int64(2); version < 50_000; version++ {
		node.proof.mu.Lock()
		node.proof.provedAt = time.Now().Add(-2 * time.Hour)
		node.proof.mu.Unlock()
		oldest.Store(version)
		node.config.Store(&jobs.Config{Version: version, Organizations: node.Config().Organizations})
		now := time.Now()
		node.proof.prove(now, now)
	}
	close(done)
	readers.Wait()
	if failed.Load() {
		t.Error("a recent proof was returned with an older configuration")
	}
}

// TestLargeAnswerProvesNothing guards against taking an answer that the store has cut for all changes.
func TestLargeAnswerProvesNothing(t *testing.T) {
	node := idleElector(t).node
	node.opts.Directory = Directory{ConfigTable: "config", ConfigKey: "config", DecodeConfig: decodeKeys}
	node.opts.RevokeWithin = 5 * time.Second
	change := func(version int64, padding int) []store.RowChange {
		value := strconv.FormatInt(version, 10) + " key" + strings.Repeat(" ", padding)
		return []store.RowChange{{Row: store.Row{Key: "config", Version: version, Value: []byte(value)}}}
	}
	node.configChanges(change(1, maxProvingBytes))
	node.configCaughtUp(time.Now())
	if age := node.proof.age(time.Now()); age != neverProved || len(node.configReads) != 1 {
		t.Errorf("proof of age %s after a large answer, %d reads triggered; want no proof and a read", age, len(node.configReads))
	}
	node.configChanges(change(2, 0))
	node.configCaughtUp(time.Now())
	if age := node.proof.age(time.Now()); age == neverProved {
		t.Error("no proof after a small answer")
	}
	if version := node.Config().Version; version != 2 {
		t.Errorf("version %d in force, want 2", version)
	}
}
