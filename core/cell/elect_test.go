package cell

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/store"
)

// idleElector returns the elector of a VM that does not run.
func idleElector(t *testing.T) *elector {
	t.Helper()
	client, err := store.New(store.Options{Transport: newMemoryPlatform()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return New(Options{Name: "vm", Store: client, Logger: silentLogger{}}).elector
}

// TestWhenToTakeOver checks how long a leader's row may stay unchanged before another VM
// takes over: longer while that leader reads the stored jobs, and not at all once its
// process is known to have ended.
func TestWhenToTakeOver(t *testing.T) {
	cases := map[string]struct {
		row    leaderRow
		idle   time.Duration
		vacant bool
		want   bool
	}{
		"renewed a moment ago":           {row: leaderRow{Epoch: 1}, idle: time.Second},
		"not renewed":                    {row: leaderRow{Epoch: 1}, idle: expireAfter + time.Second, want: true},
		"not renewed, but reading":       {row: leaderRow{Epoch: 1, Reading: true}, idle: expireAfter + time.Second},
		"reading for too long":           {row: leaderRow{Epoch: 1, Reading: true}, idle: readingExpire + time.Second, want: true},
		"reading, and its process ended": {row: leaderRow{Epoch: 1, Reading: true}, idle: time.Second, vacant: true, want: true},
		"released":                       {row: leaderRow{Epoch: 1, Released: true}, idle: time.Millisecond, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := idleElector(t)
			now := time.Now()
			e.row, e.version, e.known, e.vacant = c.row, 1, true, c.vacant
			e.changedAt, e.contactSince, e.lastContact = now.Add(-c.idle), now.Add(-time.Minute), now
			if got := e.wantsTakeover(now); got != c.want {
				t.Errorf("takes over: %v, want %v", got, c.want)
			}
		})
	}
}

// TestFollowersLeaveTheRowAlone checks that VMs whose leader tells them that it leads do
// not read each renewal of its row: in a fleet of 147 VMs that was most of the store's work.
func TestFollowersLeaveTheRowAlone(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	platform, nodes, _ := startCell(t, newFakeWorkers(time.Millisecond), names...)
	eventually(t, "the leader knows all VMs", func() bool {
		row, _ := platform.Read(t.Context(), LeaderTable, LeaderKey)
		var known leaderRow
		return json.Unmarshal(row.Value, &known) == nil && len(known.VMs) == len(nodes)
	})
	counts := func() (renewals, watches int) {
		platform.mu.Lock()
		defer platform.mu.Unlock()
		for _, change := range platform.log {
			if change.Table == LeaderTable && change.Key == LeaderKey {
				renewals++
			}
		}
		return renewals, platform.watches[LeaderTable]
	}
	renewalsBefore, watchesBefore := counts()
	renewals, watches := 0, 0
	eventually(t, "ten renewals", func() bool {
		renewals, watches = counts()
		return renewals >= renewalsBefore+10
	})
	renewals, watches = renewals-renewalsBefore, watches-watchesBefore
	if limit := renewals * len(nodes) * 3 / 4; watches > limit {
		t.Errorf("%d calls to watch the row in %d renewals, more than %d", watches, renewals, limit)
	}
}

// TestSignsOfLife checks since when a leader counts as silent for a VM that has not
// watched its row for a while.
func TestSignsOfLife(t *testing.T) {
	const ago = 500 * time.Millisecond
	cases := map[string]struct {
		rested bool
		// instance is that of the row that the first watch afterwards brings.
		instance string
		want     time.Duration
	}{
		"watched all the time":           {false, "same", 0},
		"not watched":                    {true, "same", ago},
		"not watched, and another leads": {true, "other", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := idleElector(t)
			now := time.Now()
			e.row, e.version, e.known = leaderRow{Epoch: 1, Instance: "same"}, 1, true
			e.confirmedAt, e.changedAt, e.rested = now.Add(-ago), now.Add(-ago), c.rested
			data, err := json.Marshal(leaderRow{Epoch: 1, Instance: c.instance, Beat: 1})
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
				t.Errorf("silent since %s ago, want %s", now.Sub(e.changedAt), c.want)
			}
		})
	}
}

// standLeader stands in for a leader that can fall silent: it answers reports and renews
// its row.
type standLeader struct {
	t        *testing.T
	platform *memoryPlatform
	address  netip.AddrPort
	// answers and renews say what it does.
	answers, renews atomic.Bool
}

// ServeHTTP answers a report, or nothing.
func (l *standLeader) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Only a body that was read lets the server see that the caller has gone.
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

func (l *standLeader) run(ctx context.Context) {
	for store.Sleep(ctx, renewEvery/2) {
		if l.renews.Load() {
			l.write()
		}
	}
}

func (l *standLeader) write() {
	l.platform.put(l.t, LeaderTable, LeaderKey, fmt.Sprintf(`{"epoch":7,"holder":"stand","instance":"stand","address":%q,"beat":%d}`, l.address, time.Now().UnixNano()))
}

// TestSilentLeaderIsReplaced has a VM that does not watch the leader's row all the time
// see a leader fall silent in different ways. It must not take over from one that lives.
func TestSilentLeaderIsReplaced(t *testing.T) {
	cases := map[string]struct{ answers, renews, replaced bool }{
		"stands still":                {false, false, true},
		"answers, but does not renew": {true, false, true},
		"renews, but does not answer": {false, true, false},
		"goes on":                     {true, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			platform := newMemoryPlatform()
			platform.put(t, "config", "config", "1")
			l := &standLeader{t: t, platform: platform}
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
			node, _ := testNode(t, "vm", platform, newFakeWorkers(0))
			eventually(t, "the VM leaves the row alone", func() bool { return node.elector.isConfirmed() })
			store.Sleep(t.Context(), restFor)
			l.answers.Store(c.answers)
			l.renews.Store(c.renews)
			if c.replaced {
				eventually(t, "the VM takes over", leads(node))
				return
			}
			store.Sleep(t.Context(), 2*expireAfter+restFor)
			if node.leader() != nil {
				t.Error("the VM took over from a leader that renews its row")
			}
		})
	}
}

// TestLeaderIsWholeWhenSeen checks that a leadership that others can see, such as those
// that pass on a new configuration, is ready to act. The race detector judges.
func TestLeaderIsWholeWhenSeen(t *testing.T) {
	e := idleElector(t)
	ctx, cancel := context.WithCancel(context.Background())
	e.lead(ctx, leaderRow{Epoch: 1, Instance: e.node.instance}, 1, time.Now(), predecessor{})
	e.node.leader().configChanged(&jobs.Config{Version: 1})
	if e.node.leader().ctx.Err() != nil {
		t.Error("the leadership has ended before it began")
	}
	cancel()
	e.ended.Wait()
}
