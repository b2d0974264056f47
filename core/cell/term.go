package cell

import (
	"context"
	"sync"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/store"
)

// A leader proves that nobody else leads by renewing its row. While the store answers nobody, the
// other VMs prove it instead: all of them confirm that they have not taken over. A leader that is
// cut off together with some VMs lacks the answers of the others, one of which may lead.

const (
	// leadershipTerm is how long after the last proof that it leads a leader starts runs and grants
	// leases. It must outlast two renewals through a slow store. The next leader waits for what the
	// term allows.
	leadershipTerm = 2500 * time.Millisecond
	// renewalOverdue is the age of the last proof from which the other VMs are asked, and
	// termInterval the time between two such rounds.
	renewalOverdue = 900 * time.Millisecond
	termInterval   = 300 * time.Millisecond
	// termTimeout bounds a round. A proof holds from the start of its round.
	termTimeout = 500 * time.Millisecond
	// memberRetention is how long after its last heartbeat a VM may be alive without having been
	// seen by the leader.
	memberRetention = 30 * time.Second
)

// confirm extends the term: no other VM had taken over at the given time.
func (l *leader) confirm(at time.Time) {
	l.mu.Lock()
	if at.After(l.confirmedAt) {
		l.confirmedAt = at
	}
	l.mu.Unlock()
	l.apply(engine.LeadershipConfirmed{At: at, Until: at.Add(leadershipTerm)})
}

// confirmedBefore returns how old the last proof is.
func (l *leader) confirmedBefore() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.confirmedAt)
}

// runTerm asks the other VMs to confirm the term while the row is not renewed, until ctx ends.
func (l *leader) runTerm(ctx context.Context) {
	for store.Sleep(ctx, termInterval) {
		members, overdue := l.termMembers(time.Now())
		if !overdue {
			continue
		}
		asked := time.Now()
		confirmed, missing := l.askMembers(ctx, members)
		if missing == "" {
			l.confirm(asked)
		}
		l.node.opts.Logger.Info("other VMs asked to confirm the term", "epoch", l.epoch, "confirmed", confirmed, "of", len(members), "missing", missing)
	}
}

// termMembers returns the VMs that may take over, and whether the last proof is overdue.
func (l *leader) termMembers(now time.Time) (members map[string]vmEntry, overdue bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.confirmedAt) < renewalOverdue {
		return nil, false
	}
	members = make(map[string]vmEntry, len(l.members))
	for name, vm := range l.members {
		switch {
		case name == l.node.opts.Name:
		case now.Sub(vm.seenAt) > memberRetention:
			delete(l.members, name)
		default:
			members[name] = vm.entry
		}
	}
	return members, true
}

// askMembers asks VMs to confirm the term. It returns how many did, and the name of one that did not.
func (l *leader) askMembers(ctx context.Context, members map[string]vmEntry) (confirmed int, missing string) {
	ctx, cancel := context.WithTimeout(ctx, termTimeout)
	defer cancel()
	calls := make([]*termCall, 0, len(members))
	var pending sync.WaitGroup
	for name, vm := range members {
		call := &termCall{leader: l, name: name, vm: vm, done: &pending}
		calls = append(calls, call)
		pending.Add(1)
		go call.run(ctx)
	}
	pending.Wait()
	for _, call := range calls {
		if call.confirmed {
			confirmed++
		} else {
			missing = call.name
		}
	}
	return confirmed, missing
}

// termCall asks one VM to confirm the term.
type termCall struct {
	leader    *leader
	name      string
	vm        vmEntry
	done      *sync.WaitGroup
	confirmed bool
}

func (c *termCall) run(ctx context.Context) {
	defer c.done.Done()
	request := termRequest{Epoch: c.leader.epoch, Instance: c.leader.node.instance}
	reply, err := exchange[termRequest, termReply](ctx, c.leader.node.peers, c.vm.Address, pathTerm, request)
	if err == nil && reply.Epoch > c.leader.epoch {
		c.leader.node.elector.abandon(c.leader.epoch, "a peer knows a later epoch")
	}
	c.confirmed = err == nil && reply.Confirmed
}

func (s *peerServer) confirmTerm(_ context.Context, request termRequest) termReply {
	return s.node.elector.confirmTerm(request)
}

// confirmTerm tells a leader whether anybody has taken over, as far as this VM knows. A VM that has
// not read the row since its start confirms nothing: it may have led before.
func (e *elector) confirmTerm(request termRequest) termReply {
	e.mu.Lock()
	defer e.mu.Unlock()
	isLast := e.known && !e.row.Released && e.row.Epoch == request.Epoch && e.row.Instance == request.Instance
	return termReply{Confirmed: isLast && !e.takingOver && e.cancelSession == nil, Epoch: e.row.Epoch}
}
