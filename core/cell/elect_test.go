package cell

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/store"
)

// idleElector returns the elector of a node that does not run.
func idleElector(t *testing.T) *elector {
	t.Helper()
	client, err := store.New(store.Options{Transport: newMemoryStore()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return New(Options{Name: "vm", Store: client, Logger: silentLogger{}}).elector
}

// TestWhenToTakeOver checks how long a leader row may stay unchanged before another VM takes
// over: longer while its leader loads the stored jobs, and not at all once the leader's process
// is known to have ended.
func TestWhenToTakeOver(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:1")
	elector, others := map[string]netip.AddrPort{"vm": address}, map[string]netip.AddrPort{"other": address}
	cases := map[string]struct {
		row        leaderRow
		idle       time.Duration
		holderGone bool
		// ended is set if the end of its process is proved as well.
		ended bool
		want  bool
	}{
		"renewed recently":               {row: leaderRow{Epoch: 1}, idle: time.Second},
		"not renewed":                    {row: leaderRow{Epoch: 1}, idle: expireAfter + time.Second, want: true},
		"not renewed, but loading":       {row: leaderRow{Epoch: 1, Loading: true}, idle: expireAfter + time.Second},
		"loading for too long":           {row: leaderRow{Epoch: 1, Loading: true}, idle: loadingExpireAfter + time.Second, want: true},
		"loading, and its process ended": {row: leaderRow{Epoch: 1, Loading: true}, idle: time.Second, holderGone: true, want: true},
		"released":                       {row: leaderRow{Epoch: 1, Released: true}, idle: time.Millisecond, want: true},
		"listed as elector":              {row: leaderRow{Epoch: 1, Electors: elector}, idle: expireAfter + time.Second, want: true},
		"not listed":                     {row: leaderRow{Epoch: 1, Electors: others}, idle: unlistedExpireAfter - time.Second},
		"not listed for long":            {row: leaderRow{Epoch: 1, Electors: others}, idle: unlistedExpireAfter + time.Second, want: true},
		"not listed, refused":            {row: leaderRow{Epoch: 1, Electors: others}, idle: time.Second, holderGone: true},
		"not listed, process ended":      {row: leaderRow{Epoch: 1, Electors: others}, idle: time.Second, holderGone: true, ended: true, want: true},
		"not listed, released":           {row: leaderRow{Epoch: 1, Released: true, Electors: others}, idle: time.Millisecond, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := idleElector(t)
			now := time.Now()
			e.row, e.version, e.known, e.holderGone, e.holderEnded = c.row, 1, true, c.holderGone, c.ended
			e.seenAt = now.Add(-c.idle)
			e.changedAt, e.reachableSince, e.lastAnswerAt = now.Add(-c.idle), now.Add(-time.Minute), now
			if got := e.beginTakeover(now); got != c.want {
				t.Errorf("beginTakeover: %v, want %v", got, c.want)
			}
		})
	}
}

// TestFollowersSkipRenewals checks that VMs whose leader confirms to them that it leads do
// not read each renewal of its row. In a fleet of 147 VMs these reads were most of the store's
// work.
func TestFollowersSkipRenewals(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	memory, nodes, _ := startCell(t, newFakeWorkers(time.Millisecond), names...)
	eventually(t, "the leader knows all VMs", func() bool {
		row, _ := memory.Read(t.Context(), LeaderTable, LeaderKey)
		var known leaderRow
		return json.Unmarshal(row.Value, &known) == nil && len(known.VMs) == len(nodes)
	})
	counts := func() (renewals, watches int) {
		memory.mu.Lock()
		defer memory.mu.Unlock()
		for _, change := range memory.log {
			if change.Table == LeaderTable && change.Key == LeaderKey {
				renewals++
			}
		}
		return renewals, memory.watches[LeaderTable]
	}
	renewalsBefore, watchesBefore := counts()
	renewals, watches := 0, 0
	eventually(t, "ten renewals", func() bool {
		renewals, watches = counts()
		return renewals >= renewalsBefore+10
	})
	renewals, watches = renewals-renewalsBefore, watches-watchesBefore
	if limit := renewals * len(nodes) * 3 / 4; watches > limit {
		t.Errorf("%d watches of the row during %d renewals, want at most %d", watches, renewals, limit)
	}
}

// TestSignsOfLife checks since when a leader counts as silent for a VM that has not watched its
// row for a while.
func TestSignsOfLife(t *testing.T) {
	const ago = 500 * time.Millisecond
	cases := map[string]struct {
		paused bool
		// instance is the instance in the row that the first watch afterwards returns.
		instance string
		want     time.Duration
	}{
		"watched without pause":          {false, "same", 0},
		"not watched":                    {true, "same", ago},
		"not watched, and another leads": {true, "other", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := idleElector(t)
			now := time.Now()
			e.row, e.version, e.known = leaderRow{Epoch: 1, Instance: "same"}, 1, true
			e.confirmedAt, e.changedAt, e.watchPaused = now.Add(-ago), now.Add(-ago), c.paused
			data, err := json.Marshal(leaderRow{Epoch: 1, Instance: c.instance, Renewals: 1})
			if err != nil {
				t.Fatal(err)
			}
			var renewals []store.RowChange
			for version := range int64(2) {
				row := store.Row{Table: LeaderTable, Key: LeaderKey, Version: 2 + version, Value: data}
				renewals = append(renewals, store.RowChange{Row: row})
			}
			e.observeChanges(renewals)
			if want := now.Add(-c.want); e.changedAt.Before(want) || c.want > 0 && e.changedAt.After(want) {
				t.Errorf("silent for %s, want %s", now.Sub(e.changedAt), c.want)
			}
		})
	}
}

// TestStandstillIsNoSilence guards against a VM that takes over from a leader that renews its row,
// because the VM itself stood still while it did not watch the row.
func TestStandstillIsNoSilence(t *testing.T) {
	const silence = expireAfter - confirmationValidFor + maxTakeoverJitter
	cases := map[string]struct {
		// alive is how long before the first watch after a pause the leader was last known to be alive,
		// and unchanged how long the row stays unchanged after that watch.
		alive, unchanged time.Duration
		want             bool
	}{
		"stood still":                       {3 * time.Second, 0, false},
		"stood still, renewal not yet due":  {3 * time.Second, renewInterval, false},
		"stood still, leader silent since":  {3 * time.Second, silence, true},
		"leader silent since it confirmed":  {confirmationValidFor, silence, true},
		"leader not silent for long enough": {confirmationValidFor, expireAfter - maxUnconfirmedPause, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := idleElector(t)
			e.row, e.version, e.known = leaderRow{Epoch: 1, Instance: "leader"}, 1, true
			now := time.Now()
			e.watchPaused, e.changedAt, e.reachableSince = true, now.Add(-c.alive), now.Add(-time.Minute)
			e.adopt(leaderRow{Epoch: 1, Instance: "leader", Renewals: 1}, 2)
			e.lastAnswerAt = now.Add(c.unchanged)
			if got := e.beginTakeover(e.lastAnswerAt); got != c.want {
				t.Errorf("takes over: %v, want %v", got, c.want)
			}
		})
	}
}

// fakeLeader is a leader that can stop answering heartbeats or renewing its row.
type fakeLeader struct {
	t       *testing.T
	memory  *memoryStore
	address netip.AddrPort
	// answers and renews control whether it answers heartbeats and renews its row.
	answers, renews atomic.Bool
	// renewedAt is the time of the last renewal. takenOver is set once another VM has taken over, and
	// silence is how long the row was not renewed before that. The lock of memory guards them.
	renewedAt time.Time
	takenOver bool
	silence   time.Duration
}

// watchCommit notes renewals and takeovers. It never fails a commit. The lock of memory is held.
func (l *fakeLeader) watchCommit(changes []store.Change) storeFault {
	for _, change := range changes {
		key, expected := changeTarget(change)
		switch {
		case key != [2]string{LeaderTable, LeaderKey} || l.takenOver:
		case expected == nil:
			l.renewedAt = time.Now()
		case *expected == l.memory.row(key).Version:
			l.takenOver, l.silence = true, time.Since(l.renewedAt)
		}
	}
	return noFault
}

// replaced reports whether another VM has taken over, and how long the row was not renewed before that.
func (l *fakeLeader) replaced() (silence time.Duration, takenOver bool) {
	l.memory.mu.Lock()
	defer l.memory.mu.Unlock()
	return l.silence, l.takenOver
}

// ServeHTTP answers a heartbeat, or blocks until the caller gives up.
func (l *fakeLeader) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The server notices that the caller has gone only after the body has been read.
	if _, err := io.Copy(io.Discard, r.Body); err != nil || !l.answers.Load() {
		<-r.Context().Done()
		return
	}
	body, err := cbor.Marshal(helloReply{Leading: true, Epoch: 7, Instance: "stand"})
	if err != nil {
		l.t.Error(err)
	}
	_, _ = w.Write(body)
}

func (l *fakeLeader) run(ctx context.Context) {
	for store.Sleep(ctx, renewInterval/2) {
		if l.renews.Load() {
			l.write()
		}
	}
}

func (l *fakeLeader) write() {
	l.memory.put(l.t, LeaderTable, LeaderKey, fmt.Sprintf(`{"epoch":7,"holder":"stand","instance":"stand","address":%q,"beat":%d}`, l.address, time.Now().UnixNano()))
}

// TestSilentLeaderIsReplaced checks that a VM that does not watch the leader row all the time
// takes over once the leader falls silent, and does not take over from a leader that renews its
// row.
func TestSilentLeaderIsReplaced(t *testing.T) {
	cases := map[string]struct{ answers, renews, replaced bool }{
		"suspended":                   {false, false, true},
		"answers, but does not renew": {true, false, true},
		"renews, but does not answer": {false, true, false},
		"alive":                       {true, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			memory := newMemoryStore()
			memory.put(t, "config", "config", "1")
			l := &fakeLeader{t: t, memory: memory}
			memory.setFault(l.watchCommit)
			server := httptest.NewServer(l)
			defer server.Close()
			defer server.CloseClientConnections()
			l.address = netip.MustParseAddrPort(server.Listener.Addr().String())
			l.answers.Store(true)
			l.renews.Store(true)
			l.write()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go l.run(ctx)
			node, _ := testNode(t, "vm", memory, newFakeWorkers(0))
			eventually(t, "the VM watches the row with pauses", func() bool { return node.elector.isConfirmed() })
			store.Sleep(t.Context(), maxWatchPause)
			l.answers.Store(c.answers)
			l.renews.Store(c.renews)
			if c.replaced {
				eventually(t, "the VM takes over", leads(node))
				return
			}
			store.Sleep(t.Context(), 2*expireAfter+maxWatchPause)
			// On a busy machine the fake leader may fail to renew its row in time.
			if silence, takenOver := l.replaced(); takenOver && silence < expireAfter-maxUnconfirmedPause {
				t.Errorf("the VM took over %s after the leader renewed its row", silence)
			}
		})
	}
}

// TestLeaderIsWholeWhenSeen checks that a leadership is ready to act as soon as other
// goroutines can see it, such as the one that passes on a new configuration. The race detector
// reports violations.
func TestLeaderIsWholeWhenSeen(t *testing.T) {
	e := idleElector(t)
	ctx, cancel := context.WithCancel(context.Background())
	e.lead(ctx, leaderRow{Epoch: 1, Instance: e.node.instance}, 1, time.Now(), predecessor{})
	e.node.leader().configChanged(&jobs.Config{Version: 1})
	if e.node.leader().ctx.Err() != nil {
		t.Error("the leadership ended before it was canceled")
	}
	cancel()
	e.sessions.Wait()
}

// TestLeaderRowFitsItsLimit guards against a leader that cannot renew its row because many workers
// are lost at once, with many jobs each. A worker whose jobs are left out may run any job.
func TestLeaderRowFitsItsLimit(t *testing.T) {
	const limit = 65_536
	cases := map[string]struct{ workers, lost, jobs int }{
		"few workers":               {50, 10, 8},
		"a third of a large fleet":  {1100, 367, 16},
		"lost with very many jobs":  {1100, 4, 4000},
		"each worker of the fleet":  {1100, 1100, 40},
		"lost workers without jobs": {1100, 1100, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			row := leaderRow{Epoch: 7, Lost: make(map[string][]jobs.ID)}
			for i := range c.workers {
				id := fmt.Sprintf("i-%010x", i)
				row.Workers = append(row.Workers, id)
				if i < c.lost {
					row.Lost[id] = make([]jobs.ID, 0, c.jobs)
					for n := range c.jobs {
						row.Lost[id] = append(row.Lost[id], jobs.ID(fmt.Sprintf("%016x", n)))
					}
				}
			}
			data, _, err := row.encode(func(data []byte) bool { return len(data) > limit })
			var stored leaderRow
			if err != nil || len(data) > limit || json.Unmarshal(data, &stored) != nil {
				t.Fatalf("row of %d bytes, limit %d, error %v", len(data), limit, err)
			}
			if !slices.Equal(stored.Workers, row.Workers) || len(stored.Lost) != c.lost {
				t.Errorf("%d workers and %d lost ones stored, want %d and %d", len(stored.Workers), len(stored.Lost), c.workers, c.lost)
			}
			for id, list := range stored.Lost {
				if list != nil && !slices.Equal(list, row.Lost[id]) {
					t.Errorf("worker %s is stored with some of its jobs only", id)
				}
			}
		})
	}
}

// TestLoadedLeaderRenewsAtOnce guards against a leader that is waited for as long as one that still
// loads the jobs, although it has loaded them: it is lost before its next regular renewal.
func TestLoadedLeaderRenewsAtOnce(t *testing.T) {
	memory := newMemoryStore()
	memory.put(t, "config", "config", "1")
	client, err := store.New(store.Options{Transport: memory})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	node := New(Options{Name: "vm", PeerAddress: freeAddress(t), Store: client, Workers: newFakeWorkers(0), Logger: silentLogger{}, MaxLease: time.Second})
	e := node.elector
	row := leaderRow{Epoch: 1, Holder: "vm", Instance: node.instance, Loading: true}
	version, err := e.write(t.Context(), row, store.Absent)
	if err != nil {
		t.Fatal(err)
	}
	e.adopt(row, version)
	l := newLeader(t.Context(), node, row, version, time.Now(), predecessor{})
	node.setLeader(l)
	e.renewAt = time.Now().Add(time.Hour)
	isLoading := func() bool {
		e.step(t.Context())
		stored, err := memory.Read(t.Context(), LeaderTable, LeaderKey)
		var known leaderRow
		if err != nil || json.Unmarshal(stored.Value, &known) != nil {
			t.Fatalf("leader row %q, error %v", stored.Value, err)
		}
		return known.Loading
	}
	if !isLoading() {
		t.Error("the row does not say that the leader loads the jobs")
	}
	if !l.load(t.Context()) || len(e.renewNow) != 1 {
		t.Error("the load does not trigger a renewal")
	}
	if isLoading() {
		t.Error("the row still says that the leader loads the jobs")
	}
}

// TestOldPendingCountIsNotGiven guards against a number of pending jobs that is seconds old, while
// nobody leads.
func TestOldPendingCountIsNotGiven(t *testing.T) {
	cases := map[string]struct {
		age  time.Duration
		want error
	}{
		"fresh":        {0, nil},
		"one second":   {time.Second, nil},
		"too old":      {maxPendingAge + time.Second, ErrUnavailable},
		"never had it": {time.Since(time.Time{}), ErrUnavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			node := idleElector(t).node
			node.pending, node.pendingAt = map[string]int{"queue": 7}, time.Now().Add(-c.age)
			if count, err := node.Pending("queue"); !errors.Is(err, c.want) || err == nil && count != 7 {
				t.Errorf("%d pending, error %v; want error %v", count, err, c.want)
			}
		})
	}
}
