package sched

import (
	"context"
	"errors"
	"fmt"
	"time"

	"tanagerstack.org/core/peer"
	"tanagerstack.org/core/roster"
)

// NudgeMessage tells the holder of a domain about a new or changed row.
type NudgeMessage struct {
	Domain string `cbor:"1,keyasint"`
	// Row is the job's row and Version its version.
	Row     []byte `cbor:"2,keyasint"`
	Version int64  `cbor:"3,keyasint"`
	// Relayed is set on a message that another entry VM passed on.
	Relayed bool `cbor:"4,keyasint,omitempty"`
}

// Kind names the message.
func (NudgeMessage) Kind() string { return "job-nudge" }

// LookupMessage asks the holder of a domain for a job's state.
type LookupMessage struct {
	Domain  string `cbor:"1,keyasint"`
	Caller  string `cbor:"2,keyasint"`
	ID      string `cbor:"3,keyasint"`
	Relayed bool   `cbor:"4,keyasint,omitempty"`
}

// Kind names the message.
func (LookupMessage) Kind() string { return "job-lookup" }

// CancelMessage asks the holder of a domain to cancel a job.
type CancelMessage struct {
	Domain  string `cbor:"1,keyasint"`
	Caller  string `cbor:"2,keyasint"`
	ID      string `cbor:"3,keyasint"`
	Relayed bool   `cbor:"4,keyasint,omitempty"`
}

// Kind names the message.
func (CancelMessage) Kind() string { return "job-cancel" }

// JobAnswer answers all messages about a job.
type JobAnswer struct {
	// Held says that the answering VM holds the domain's lease.
	Held bool `cbor:"1,keyasint"`
	// Found says that the holder has the job.
	Found bool `cbor:"2,keyasint"`
	// Job is the job as JSON of the callers' API.
	Job []byte `cbor:"3,keyasint,omitempty"`
	// Pending is the count that a PendingMessage asks for.
	Pending int `cbor:"4,keyasint,omitempty"`
}

// errNoHolder means that the holder of a domain could not be asked.
var errNoHolder = errors.New("the domain's lease holder was not reached")

// relayTimeout bounds a message to another entry VM.
const relayTimeout = 800 * time.Millisecond

// Register registers the scheduler's message handlers.
func (s *Scheduler) Register(mux *peer.Mux) {
	peer.Handle(mux, s.handleNudge)
	peer.Handle(mux, s.handleLookup)
	peer.Handle(mux, s.handleCancel)
	peer.Handle(mux, s.handlePending)
	peer.Handle(mux, s.handlePromise)
	peer.Handle(mux, s.handleFence)
}

func (s *Scheduler) handleNudge(ctx context.Context, _ peer.Identity, m NudgeMessage) (JobAnswer, error) {
	if h := s.current(); h != nil && m.Domain == s.opts.Domain {
		err := h.accept(m.Row, m.Version)
		return JobAnswer{Held: true, Found: true}, err
	}
	if m.Relayed {
		return JobAnswer{}, nil
	}
	m.Relayed = true
	return s.relay(ctx, m.Domain, m)
}

func (s *Scheduler) handleLookup(ctx context.Context, _ peer.Identity, m LookupMessage) (JobAnswer, error) {
	if h := s.current(); h != nil && m.Domain == s.opts.Domain {
		return h.lookup(m.Caller, m.ID)
	}
	if m.Relayed {
		return JobAnswer{}, nil
	}
	m.Relayed = true
	return s.relay(ctx, m.Domain, m)
}

func (s *Scheduler) handleCancel(ctx context.Context, _ peer.Identity, m CancelMessage) (JobAnswer, error) {
	if h := s.current(); h != nil && m.Domain == s.opts.Domain {
		return h.cancel(ctx, m.Caller, m.ID)
	}
	if m.Relayed {
		return JobAnswer{}, nil
	}
	m.Relayed = true
	return s.relay(ctx, m.Domain, m)
}

// relay sends a message towards the holder of a domain: to the holder itself in
// this domain, to some entry VM of another domain.
func (s *Scheduler) relay(ctx context.Context, domain string, m peer.Message) (JobAnswer, error) {
	to, ok := s.towards(domain)
	if !ok || s.opts.Peers == nil {
		return JobAnswer{}, errNoHolder
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	answer, err := peer.Call[JobAnswer](ctx, s.opts.Peers, to, m)
	if err != nil {
		return JobAnswer{}, fmt.Errorf("%w: %w", errNoHolder, err)
	}
	if !answer.Held {
		return JobAnswer{}, errNoHolder
	}
	return answer, nil
}

// towards picks the entry VM to ask about a domain's jobs: the known holder, or
// of another domain the VM heard of last.
func (s *Scheduler) towards(domain string) (peer.Address, bool) {
	holder := ""
	if domain == s.opts.Domain {
		holder = s.lease.Holder()
	}
	var best roster.VM
	for _, vm := range s.opts.Roster().VMs {
		if vm.Domain != domain || vm.Name == s.opts.Name || !vm.PeerAddress.IsValid() {
			continue
		}
		if vm.Name == holder {
			return peer.Address{Name: vm.Name, Addr: vm.PeerAddress}, true
		}
		if best.Name == "" || vm.LastHeartbeatAt.After(best.LastHeartbeatAt) {
			best = vm
		}
	}
	if domain == s.opts.Domain || best.Name == "" {
		return peer.Address{}, false
	}
	return peer.Address{Name: best.Name, Addr: best.PeerAddress}, true
}
