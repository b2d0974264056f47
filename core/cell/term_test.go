package cell

import (
	"context"
	"testing"
	"time"

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
			e.row, e.known, e.takingOver = c.row, !c.unknown, c.takingOver
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
						return len(l.members) >= 2 && l.loaded
					}
				}
				return false
			})
			memory.setFault(func(changes []store.Change) storeFault {
				if put, ok := changes[0].(store.Put); ok && put.Table == LeaderTable {
					return storeDown
				}
				return noFault
			})
			if !reachesAll {
				l.mu.Lock()
				l.members["elsewhere"] = &followerVM{entry: vmEntry{Address: freeAddress(t)}, seenAt: time.Now().Add(time.Hour)}
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
			if request, ok := l.engine.NextPoll(time.Now(), "w1"); ok && request.LeaseUntil > 0 {
				t.Error("a lease is granted after the term")
			}
			if commands := l.engine.Schedule(time.Now()); len(commands) > 0 {
				t.Errorf("commands after the term: %+v", commands)
			}
		})
	}
}
