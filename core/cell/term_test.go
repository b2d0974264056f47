package cell

import (
	"context"
	"fmt"
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

// TestWhoConfirmsTheTerm guards against a leader that goes on because a VM confirms its term that has
// taken over, is about to, or may have forgotten it.
func TestWhoConfirmsTheTerm(t *testing.T) {
	current := leaderRow{Epoch: 7, Instance: "leader"}
	cases := map[string]struct {
		row        leaderRow
		unknown    bool
		takingOver bool
		leads      bool
		want       bool
	}{
		"knows the leader":       {row: current, want: true},
		"knows a later leader":   {row: leaderRow{Epoch: 8, Instance: "next"}},
		"knows an earlier one":   {row: leaderRow{Epoch: 6, Instance: "before"}},
		"knows another process":  {row: leaderRow{Epoch: 7, Instance: "other"}},
		"knows that it released": {row: leaderRow{Epoch: 7, Instance: "leader", Released: true}},
		"has not read the row":   {row: leaderRow{}, unknown: true},
		"takes over":             {row: current, takingOver: true},
		"leads":                  {row: current, leads: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := idleElector(t)
			e.row, e.known, e.version = c.row, !c.unknown, 1
			if c.takingOver {
				e.changedAt, e.reachableSince, e.lastAnswerAt = time.Now().Add(-time.Minute), time.Now().Add(-time.Minute), time.Now()
				if !e.beginTakeover(time.Now()) {
					t.Fatal("no takeover begins")
				}
			}
			if c.leads {
				_, e.cancelSession = context.WithCancel(t.Context())
			}
			if got := e.confirmTerm(termRequest{Epoch: 7, Instance: "leader"}); got.Confirmed != c.want || got.Epoch != c.row.Epoch {
				t.Errorf("answer %+v, want confirmed %v by epoch %d", got, c.want, c.row.Epoch)
			}
		})
	}
}

// TestLeaderActsOnWordOfAllOthers guards against a leader that stops although the store answers
// nobody, and against one that goes on although one of the others may lead.
func TestLeaderActsOnWordOfAllOthers(t *testing.T) {
	for name, reachesAll := range map[string]bool{"all others confirm": true, "one VM does not answer": false} {
		t.Run(name, func(t *testing.T) {
			memory, nodes, _ := startCell(t, newFakeWorkers(10*time.Millisecond), "a", "b", "c")
			var l *leader
			eventually(t, "the leader knows all VMs", func() bool {
				for _, node := range nodes {
					if l = node.leader(); l != nil {
						l.mu.Lock()
						defer l.mu.Unlock()
						return len(l.electors) == 2 && l.loaded
					}
				}
				return false
			})
			var refused atomic.Bool
			memory.setFault(func(changes []store.Change) storeFault {
				if put, ok := changes[0].(store.Put); ok && put.Table == LeaderTable {
					refused.Store(true)
					return storeDown
				}
				return noFault
			})
			// A renewal that succeeds sets the electors, so the last one must have ended before
			// another elector is added.
			eventually(t, "a renewal fails", refused.Load)
			if !reachesAll {
				l.mu.Lock()
				l.electors["elsewhere"] = freeAddress(t)
				l.mu.Unlock()
			}
			store.Sleep(t.Context(), leadershipTerm+termInterval+termTimeout)
			if reachesAll {
				eventually(t, "the term is confirmed without the store", func() bool { return l.confirmedBefore() < leadershipTerm })
				return
			}
			if before := l.confirmedBefore(); before < leadershipTerm {
				t.Errorf("the term counts as confirmed %s ago without the word of one VM", before)
			}
			l.mu.Lock()
			defer l.mu.Unlock()
			if request, ok := l.engine.NextPoll(time.Now(), "w1"); !ok || request.LeaseUntil > 0 {
				t.Errorf("poll after the term: %+v (%v), want one without a lease", request, ok)
			}
			if commands := l.engine.Schedule(time.Now()); len(commands) > 0 {
				t.Errorf("commands after the term: %+v", commands)
			}
		})
	}
}

// idleLeader returns a leader that does not run, of a node on a store.
func idleLeader(t *testing.T, memory *memoryStore, row leaderRow) *leader {
	t.Helper()
	client, err := store.New(store.Options{Transport: memory})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	node := New(Options{Name: "vm", Store: client, Workers: newFakeWorkers(0), Logger: silentLogger{}, MaxLease: time.Second})
	row.Holder, row.Instance = "vm", node.instance
	version, err := node.elector.write(t.Context(), row, store.Absent)
	if err != nil {
		t.Fatal(err)
	}
	node.elector.adopt(row, version)
	l := newLeader(t.Context(), node, row, version, time.Now(), predecessor{})
	node.setLeader(l)
	return l
}

// TestElectorsAreAskedHoweverLongTheyAreSilent guards against a leader that takes its term up again
// once it has heard nothing of the VMs beyond a cut for long, one of which leads.
func TestElectorsAreAskedHoweverLongTheyAreSilent(t *testing.T) {
	l := idleLeader(t, newMemoryStore(), leaderRow{Epoch: 1})
	l.handleHello(hello{Name: "beyond", Address: freeAddress(t)})
	electors := l.nextElectors(time.Now())
	l.noteRenewed(time.Now(), electors)
	l.members["beyond"].seenAt = time.Now().Add(-time.Hour)
	l.confirmedAt = time.Now().Add(-time.Second)
	l.renewedAt = l.confirmedAt
	l.nextElectors(time.Now()) // not stored
	l.confirmByElectors(t.Context())
	if before := l.confirmedBefore(); before < time.Second {
		t.Errorf("the term was confirmed %s ago without the word of an elector", before)
	}
	l.electors = map[string]netip.AddrPort{}
	l.confirmByElectors(t.Context())
	if before := l.confirmedBefore(); before < time.Second {
		t.Errorf("the term was confirmed %s ago without any elector", before)
	}
}

// TestElectorsOfAFleet checks that the electors are spread over the failure domains, that the next
// leader asks the same ones, and that no others are asked.
func TestElectorsOfAFleet(t *testing.T) {
	l := idleLeader(t, newMemoryStore(), leaderRow{Epoch: 1})
	for i := range 146 {
		l.handleHello(hello{Name: fmt.Sprintf("vm%03d", i), Zone: fmt.Sprintf("zone%d", i/30), Address: freeAddress(t)})
	}
	electors := l.nextElectors(time.Now())
	zones := make(map[string]int)
	for name := range electors {
		zones[l.members[name].entry.Zone]++
	}
	for zone, count := range zones {
		if count < maxElectors/5 || count > maxElectors/5+1 {
			t.Errorf("%d of %d electors in %s", count, len(electors), zone)
		}
	}
	next := idleLeader(t, newMemoryStore(), leaderRow{Epoch: 2, Electors: electors})
	if asked := next.overdueElectors(time.Now().Add(renewalOverdue)); len(asked) != maxElectors || len(zones) != 5 {
		t.Errorf("the next leader asks %d of %d VMs in %d domains", len(asked), maxElectors, len(zones))
	}
	if asked := next.overdueElectors(time.Now().Add(unlistedExpireAfter + time.Second)); len(asked) > 0 {
		t.Errorf("%d VMs are asked although others may have taken over", len(asked))
	}
}

// TestProofCountsFromItsRequest guards against a leader that counts its term from the answer to its
// renewal or to its question: another VM may have taken over in between.
func TestProofCountsFromItsRequest(t *testing.T) {
	const transit = 30 * time.Millisecond
	cases := map[string]func(t *testing.T, l *leader, memory *memoryStore) (executedAt *time.Time){
		"renewal of the row": func(t *testing.T, l *leader, memory *memoryStore) *time.Time {
			var at time.Time
			memory.setFault(func([]store.Change) storeFault {
				time.Sleep(transit)
				at = time.Now()
				return noFault
			})
			roster, _ := l.wantedRoster()
			l.node.elector.renew(t.Context(), l, roster)
			return &at
		},
		"word of the electors": func(t *testing.T, l *leader, _ *memoryStore) *time.Time {
			var at time.Time
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(transit)
				at = time.Now()
				body, err := cbor.Marshal(termReply{Confirmed: true, Epoch: l.epoch})
				if err != nil {
					t.Error(err)
				}
				_, _ = w.Write(body)
			}))
			defer server.Close()
			l.electors = map[string]netip.AddrPort{"other": netip.MustParseAddrPort(server.Listener.Addr().String())}
			l.confirmByElectors(t.Context())
			return &at
		},
	}
	for name, prove := range cases {
		t.Run(name, func(t *testing.T) {
			memory := newMemoryStore()
			l := idleLeader(t, memory, leaderRow{Epoch: 1})
			began := time.Now().Add(-time.Second)
			l.confirmedAt = began
			executedAt := prove(t, l, memory)
			if !l.confirmedAt.After(began) || !l.confirmedAt.Before(executedAt.Add(-transit)) {
				t.Errorf("confirmed as of %s before the request was executed, want more than %s", executedAt.Sub(l.confirmedAt), transit)
			}
		})
	}
}

// TestTwoTakeoversWithinOneTerm guards against starting a job that a leader may start as well: the
// leader that replaced it ended at once.
func TestTwoTakeoversWithinOneTerm(t *testing.T) {
	memory := newMemoryStore()
	memory.put(t, "config", "config", "1")
	memory.put(t, "workers", "w1", "ready")
	put := func(row leaderRow) {
		data, _, err := row.encode(func([]byte) bool { return false })
		if err != nil {
			t.Fatal(err)
		}
		memory.put(t, LeaderTable, epochKey, fmt.Sprint(row.Epoch))
		memory.put(t, LeaderTable, LeaderKey, string(data))
	}
	row := leaderRow{Epoch: 1, Holder: "a", Instance: "a1", Address: freeAddress(t), Workers: []string{"beyond a cut"}}
	put(row)
	row.Epoch, row.Holder, row.Instance = 2, "b", "b1"
	replaced := time.Now()
	put(row)
	row.Released, row.Renewals = true, 1
	put(row)
	workers := newFakeWorkers(10 * time.Millisecond)
	node, _ := testNode(t, "c", memory, workers)
	eventually(t, "the third VM leads", leads(node))
	data, err := jobs.Encode(testJob("new"))
	if err != nil {
		t.Fatal(err)
	}
	memory.put(t, JobsTable, "new", string(data))
	eventually(t, "the job is started", func() bool {
		workers.mu.Lock()
		defer workers.mu.Unlock()
		return len(workers.starts) > 0
	})
	if after := time.Since(replaced); after < leadershipTerm {
		t.Errorf("started %s after the first leader was replaced, whose term may last %s", after, leadershipTerm)
	}
}
