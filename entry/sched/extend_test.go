package sched

import (
	"testing"
	"time"

	"tanagerstack.org/core/api/caller"
	"tanagerstack.org/core/api/worker"
	"tanagerstack.org/core/lease"
	"tanagerstack.org/core/roster"
	"tanagerstack.org/core/store"
)

// cutOffHolder returns the scheduler entry-1 that runs a task on the rig's only worker, and
// whose grant has ended because it no longer reaches the tables.
func cutOffHolder(r *rig) *Scheduler {
	r.t.Helper()
	s, _ := r.scheduler("entry-1")
	job := r.submit(s, jobSpec(caller.JobSpecKindBatch, 1, 1000, "run", "1h"))
	r.await(s, job.ID, runningTasks(1))
	r.tables.SetFaults(store.Faults{Down: true})
	for deadline := time.Now().Add(10 * time.Second); s.current() != nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			r.t.Fatal("the grant of entry-1 does not end")
		}
	}
	return s
}

// successor returns the state of entry-2 that holds the lease after entry-1 and has listed no worker.
func successor(r *rig, previous *Scheduler, view *roster.View) *holder {
	r.t.Helper()
	opts := previous.opts
	opts.Name = "entry-2"
	opts.Roster = func() *roster.View { return view }
	s, err := New(opts)
	if err != nil {
		r.t.Fatal(err)
	}
	return newHolder(s, lease.Grant{Domain: "zurich-a", Epoch: 2, PreviousHolders: []lease.PreviousHolder{
		{Name: "entry-1", Instance: previous.lease.Instance(), Epoch: 1},
	}})
}

// nextRenewal returns the next renewal that a holder sends to its only worker, or nil if it
// sends none within a few renewal periods.
func nextRenewal(h *holder) *worker.RenewRequest {
	for deadline := time.Now().Add(4 * renewEvery); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		h.mu.Lock()
		var l *link
		for _, l = range h.links {
			l.renewAt = time.Time{}
		}
		h.mu.Unlock()
		if request := h.takeRenewal(l); request != nil && len(request.TaskIDs) > 0 {
			return request
		}
	}
	return nil
}

// The successor of a holder that the roster lacks started its tasks again while it renewed them.
func TestHolderThatRenewsDoesNotCountAsEnded(t *testing.T) {
	r := newRig(t, 1)
	previous := cutOffHolder(r)
	h := successor(r, previous, &roster.View{ListAsOf: time.Now().Add(time.Minute)})
	until, ended := (&confirmer{h: h}).ended(t.Context(), h.grant.PreviousHolders[0])
	if !ended {
		return
	}
	if request := nextRenewal(previous.held.Load()); request != nil {
		t.Errorf("entry-1 counts as ended, with task leases until %s, and renews %v", time.Until(until).Round(time.Second), request.TaskIDs)
	}
}

// A holder counted as dropped by a list that has its VM, may have it, or is older than its lease.
func TestHolderIsDroppedOnlyByCompleteLaterList(t *testing.T) {
	r := newRig(t, 0)
	previous, kill := r.scheduler("entry-1")
	kill()
	now := time.Now()
	tests := map[string]struct {
		view    roster.View
		dropped bool
	}{
		"complete list without the VM":       {roster.View{ListAsOf: now.Add(time.Minute)}, true},
		"entry without usable peer address":  {roster.View{ListAsOf: now.Add(time.Minute), ListedVMs: map[string]bool{"entry-1": true}}, false},
		"entry that may be that of the VM":   {roster.View{ListAsOf: now.Add(time.Minute), UnreadableMembers: 1}, false},
		"list from before the takeover":      {roster.View{ListAsOf: now.Add(-time.Second)}, false},
		"stored roster or heartbeat with it": {roster.View{ListAsOf: now.Add(time.Minute), VMs: []roster.VM{{Name: "entry-1"}}}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := successor(r, previous, &test.view)
			if _, ended := (&confirmer{h: h}).ended(t.Context(), h.grant.PreviousHolders[0]); ended != test.dropped {
				t.Errorf("counts as ended: %v, want %v", ended, test.dropped)
			}
		})
	}
}
