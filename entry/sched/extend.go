package sched

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"tanagerstack.org/core/lease"
	"tanagerstack.org/core/peer"
)

const (
	// extendEvery is the time between looks at whether an extension is needed.
	extendEvery = 250 * time.Millisecond
	// promiseTimeout bounds the question to one voter.
	promiseTimeout = 200 * time.Millisecond
	// confirmEvery is the time between questions to an earlier holder.
	confirmEvery = 500 * time.Millisecond
)

// PromiseMessage asks a voter not to take the lease of its domain for a while.
type PromiseMessage struct {
	Domain     string    `cbor:"1,keyasint"`
	Epoch      int64     `cbor:"2,keyasint"`
	Until      time.Time `cbor:"3,keyasint"`
	TasksUntil time.Time `cbor:"4,keyasint"`
}

// Kind names the message.
func (PromiseMessage) Kind() string { return "lease-promise" }

// PromiseAnswer says whether the promise was given.
type PromiseAnswer struct {
	Given bool `cbor:"1,keyasint"`
}

// FenceMessage tells an earlier holder that a newer epoch was granted.
type FenceMessage struct {
	Domain string `cbor:"1,keyasint"`
	// Instance is the process that held the lease.
	Instance string `cbor:"2,keyasint"`
	Epoch    int64  `cbor:"3,keyasint"`
}

// Kind names the message.
func (FenceMessage) Kind() string { return "lease-fence" }

// FenceAnswer says whether the earlier holder sends nothing more.
type FenceAnswer struct {
	Ended bool `cbor:"1,keyasint"`
	// Restarted says that the process that held the lease is gone. Otherwise
	// TasksUntil is the latest deadline that it gave to a task.
	Restarted  bool      `cbor:"2,keyasint"`
	TasksUntil time.Time `cbor:"3,keyasint"`
}

func (s *Scheduler) handlePromise(_ context.Context, _ peer.Identity, m PromiseMessage) (PromiseAnswer, error) {
	if m.Domain != s.opts.Domain {
		return PromiseAnswer{}, nil
	}
	given := s.lease.Promise(lease.Extension{Epoch: m.Epoch, Until: m.Until, MaxTaskDeadline: m.TasksUntil})
	return PromiseAnswer{Given: given}, nil
}

func (s *Scheduler) handleFence(_ context.Context, _ peer.Identity, m FenceMessage) (FenceAnswer, error) {
	if m.Domain != s.opts.Domain {
		return FenceAnswer{}, nil
	}
	if m.Instance != s.lease.Instance() {
		return FenceAnswer{Ended: true, Restarted: true}, nil
	}
	s.lease.ObserveEpoch(m.Epoch)
	h := s.held.Load()
	return FenceAnswer{
		Ended:      h == nil || h.grant.Epoch >= m.Epoch,
		TasksUntil: time.Unix(0, s.given.Load()),
	}, nil
}

// extender asks the voters for an extension while the platform is out of reach.
type extender struct {
	h *holder
	// extended is whether the last round succeeded, for the log.
	extended bool
}

func (e *extender) run(ctx context.Context) {
	defer e.h.loops.Done()
	ticker := time.NewTicker(extendEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.round(ctx)
		}
	}
}

func (e *extender) round(ctx context.Context) {
	s := e.h.s
	wanted, voters, ok := s.lease.ExtensionNeeded(s.opts.Now())
	if !ok {
		e.extended = false
		return
	}
	given := e.askAll(ctx, wanted, voters)
	if given {
		s.lease.Extend(wanted)
	}
	if given != e.extended {
		klog.InfoS("Cut off from the platform's tables", "domain", s.opts.Domain, "goes-on-placing", given)
	}
	e.extended = given
}

// askAll reports whether every voter promised.
func (e *extender) askAll(ctx context.Context, wanted lease.Extension, voters []string) bool {
	message := PromiseMessage{Domain: e.h.s.opts.Domain, Epoch: wanted.Epoch, Until: wanted.Until, TasksUntil: wanted.MaxTaskDeadline}
	for _, name := range voters {
		to, ok := e.h.s.addressOf(name)
		if !ok {
			return false
		}
		callCtx, cancel := context.WithTimeout(ctx, promiseTimeout)
		answer, err := peer.Call[PromiseAnswer](callCtx, e.h.s.opts.Peers, to, message)
		cancel()
		if err != nil || !answer.Given {
			return false
		}
	}
	return true
}

// addressOf is the address of an entry VM, if messages can be sent to it.
func (s *Scheduler) addressOf(name string) (peer.Address, bool) {
	if s.opts.Peers == nil {
		return peer.Address{}, false
	}
	for _, vm := range s.opts.Roster().VMs {
		if vm.Name == name && vm.PeerAddress.IsValid() {
			return peer.Address{Name: vm.Name, Addr: vm.PeerAddress}, true
		}
	}
	return peer.Address{}, false
}

// confirmer finds out whether earlier holders have ended. Until then a worker
// that does not answer this holder may be renewed by one of them.
type confirmer struct{ h *holder }

func (c *confirmer) run(ctx context.Context) {
	defer c.h.loops.Done()
	ticker := time.NewTicker(confirmEvery)
	defer ticker.Stop()
	left := c.h.grant.PreviousHolders
	for len(left) > 0 {
		var unconfirmed []lease.PreviousHolder
		for _, former := range left {
			if until, ok := c.ended(ctx, former); ok {
				c.h.confirmEnded(former, until)
			} else {
				unconfirmed = append(unconfirmed, former)
			}
		}
		left = unconfirmed
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// ended asks an earlier holder, or finds that the platform has dropped its VM. It
// returns the latest deadline that the earlier holder may have given to a task.
func (c *confirmer) ended(ctx context.Context, former lease.PreviousHolder) (time.Time, bool) {
	s := c.h.s
	// What a dead process renewed last can't outlive the longest lease from now.
	longest := s.opts.Now().Add(maxTaskLease)
	if former.Name == s.opts.Name {
		return longest, former.Instance != s.lease.Instance()
	}
	if c.h.dropped(former.Name) {
		return longest, true
	}
	to, ok := s.addressOf(former.Name)
	if !ok {
		return time.Time{}, false
	}
	callCtx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	message := FenceMessage{Domain: s.opts.Domain, Instance: former.Instance, Epoch: c.h.grant.Epoch}
	answer, err := peer.Call[FenceAnswer](callCtx, s.opts.Peers, to, message)
	if err != nil || !answer.Ended {
		return time.Time{}, false
	}
	if answer.Restarted {
		return longest, true
	}
	return answer.TasksUntil, true
}

// dropped reports whether neither the platform's list nor the stored roster has an entry VM any
// more. The list lags: one from before the takeover may lack a VM that was added last.
func (h *holder) dropped(name string) bool {
	view := h.s.opts.Roster()
	if view.UnreadableMembers > 0 || view.ListedVMs[name] || !view.ListAsOf.After(h.startedAt.Add(h.skew())) {
		return false
	}
	_, found := view.VM(name)
	return !found
}

// confirmEnded notes the end of an earlier holder, and how long its renewals last.
func (h *holder) confirmEnded(former lease.PreviousHolder, until time.Time) {
	h.s.lease.RemovePreviousHolder(former)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.formers--
	h.renewedUntil = latest(h.renewedUntil, until)
}
