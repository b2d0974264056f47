package cell

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/store"
)

// A leader proves that nobody else leads by renewing its row. While the row is not renewed, the
// electors that it lists prove it instead: all of them confirm that they have not taken over, and no
// other VM may take over before unlistedExpireAfter. A leader that is cut off together with some
// electors lacks the answers of the others, one of which may lead.

const (
	// leadershipTerm is how long after the last proof that it leads a leader starts runs and grants
	// leases. It must outlast two renewals through a slow store. The next leader waits for what the
	// term allows.
	leadershipTerm = 2500 * time.Millisecond
	// renewalOverdue is the age of the last proof from which the electors are asked, and
	// termInterval the time between two such rounds.
	renewalOverdue = 900 * time.Millisecond
	termInterval   = 300 * time.Millisecond
	// termTimeout bounds a round. A proof holds from the start of its round.
	termTimeout = 500 * time.Millisecond
	// memberRetention is how long after its last heartbeat a VM remains an elector.
	memberRetention = 10 * time.Second
	// maxElectors bounds the electors. They are spread over the failure domains.
	maxElectors = 16
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

// noteRenewed records that the row was renewed with the given electors by a write sent at a time.
func (l *leader) noteRenewed(at time.Time, electors map[string]netip.AddrPort) {
	l.mu.Lock()
	l.renewedAt, l.electors = at, maps.Clone(electors)
	l.mu.Unlock()
	l.confirm(at)
}

// nextElectors returns the electors to list in the next version of the row. Until it is known whether
// that version is stored, those of the last one are asked as well.
func (l *leader) nextElectors(now time.Time) map[string]netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	byZone := make(map[string][]string)
	for name, vm := range l.members {
		switch {
		case name == l.node.opts.Name, now.Sub(vm.seenAt) > memberRetention:
			delete(l.members, name)
		default:
			byZone[vm.entry.Zone] = append(byZone[vm.entry.Zone], name)
		}
	}
	zones := slices.Sorted(maps.Keys(byZone))
	for _, zone := range zones {
		slices.SortFunc(byZone[zone], mostProcessors(l.members))
	}
	next := make(map[string]netip.AddrPort)
	for rank := 0; len(next) < min(maxElectors, len(l.members)); rank++ {
		for _, zone := range zones {
			if rank < len(byZone[zone]) && len(next) < maxElectors {
				name := byZone[zone][rank]
				next[name] = l.members[name].entry.Address
			}
		}
	}
	if l.electors == nil {
		l.electors = make(map[string]netip.AddrPort)
	}
	maps.Copy(l.electors, next)
	return next
}

// runTerm asks the electors to confirm the term while the row is not renewed, until ctx ends.
func (l *leader) runTerm(ctx context.Context) {
	for store.Sleep(ctx, termInterval) {
		l.confirmByElectors(ctx)
	}
}

// confirmByElectors confirms the term if it is overdue and all electors say that they have not taken
// over.
func (l *leader) confirmByElectors(ctx context.Context) {
	asked := time.Now()
	electors := l.overdueElectors(asked)
	if len(electors) == 0 {
		return
	}
	confirmed, missing := l.askElectors(ctx, electors)
	if missing == "" {
		l.confirm(asked)
	}
	l.node.opts.Logger.Info("electors asked to confirm the term", "epoch", l.epoch, "confirmed", confirmed, "of", len(electors), "missing", missing)
}

// overdueElectors returns the VMs that may take over, if the last proof is overdue and no other VM
// may. Without electors all VMs may.
func (l *leader) overdueElectors(now time.Time) map[string]netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.confirmedAt) < renewalOverdue || elapsed(l.renewedAt, now) > unlistedExpireAfter {
		return nil
	}
	return maps.Clone(l.electors)
}

// askElectors asks VMs to confirm the term. It returns how many did, and the name of one that did not.
func (l *leader) askElectors(ctx context.Context, electors map[string]netip.AddrPort) (confirmed int, missing string) {
	ctx, cancel := context.WithTimeout(ctx, termTimeout)
	defer cancel()
	calls := make([]*termCall, 0, len(electors))
	var pending sync.WaitGroup
	for name, address := range electors {
		call := &termCall{leader: l, name: name, address: address, done: &pending}
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
	address   netip.AddrPort
	done      *sync.WaitGroup
	confirmed bool
}

func (c *termCall) run(ctx context.Context) {
	defer c.done.Done()
	request := termRequest{Epoch: c.leader.epoch, Instance: c.leader.node.instance}
	reply, err := exchange[termRequest, termReply](ctx, c.leader.node.peers, c.address, pathTerm, request)
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
