package oper

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"tanagerstack.org/core/peer"
	"tanagerstack.org/core/policy"
	"tanagerstack.org/core/roster"
)

// exchangeTimeout bounds the exchange with one VM. A VM that does not answer
// is tried again at the next change or after about a second.
const exchangeTimeout = time.Second

// exchange tells a VM the sender's version and asks for a newer one.
type exchange struct {
	// Number is the version in force at the sender; 0 if none.
	Number int64 `cbor:"1,keyasint"`
	// Row is that version's row, if the sender knows that the receiver needs it.
	Row []byte `cbor:"2,keyasint,omitempty"`
}

// Kind names the message.
func (exchange) Kind() string { return "policy-exchange" }

// exchanged answers an exchange.
type exchanged struct {
	// Number is the version in force at the receiver, after it took the row.
	Number int64 `cbor:"1,keyasint"`
	// Row is the receiver's version if it is newer than the sender's.
	Row []byte `cbor:"2,keyasint,omitempty"`
}

// spreader makes the VMs' versions in force equal to the newest among them. It
// runs at most one exchange with each VM at a time, so that many changes in a
// row take few messages and a silent VM holds up no other.
type spreader struct {
	opts Options

	mu       sync.Mutex
	ctx      context.Context
	couriers map[string]*courier
}

func newSpreader(opts Options) *spreader {
	return &spreader{opts: opts, couriers: make(map[string]*courier)}
}

// start lets exchanges run until ctx ends.
func (s *spreader) start(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ctx = ctx
}

// offer puts v in force if it is newer than the present version and, if so,
// tells all other VMs.
func (s *spreader) offer(v *policy.Version) {
	if !s.opts.Policy.SetIfNewer(v) {
		return
	}
	klog.InfoS("Policy version in force", "vm", s.opts.Name, "version", v.Number, "author", v.Author)
	for _, vm := range s.opts.peers() {
		s.tell(vm)
	}
}

// tellDiffering begins exchanges with the live VMs whose heartbeats name another
// version, and with one of those that are not live. A fleet that agrees sends
// nothing.
func (s *spreader) tellDiffering() {
	inForce := numberInForce(s.opts.Policy)
	var silent []roster.VM
	for _, vm := range s.opts.peers() {
		switch {
		case vm.PolicyVersion == inForce:
		case vm.State == roster.Live:
			s.tell(vm)
		default:
			silent = append(silent, vm)
		}
	}
	if len(silent) > 0 {
		s.tell(silent[rand.Intn(len(silent))])
	}
}

// tell begins an exchange with vm unless one runs already, which will then see
// the newest version too.
func (s *spreader) tell(vm roster.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil || s.ctx.Err() != nil || s.opts.Peers == nil {
		return
	}
	if c, busy := s.couriers[vm.Name]; busy {
		c.again = true
		return
	}
	c := &courier{spreader: s, to: peer.Address{Name: vm.Name, Addr: vm.PeerAddress}}
	s.couriers[vm.Name] = c
	go c.run(s.ctx)
}

// handle answers an exchange that another VM began.
func (s *spreader) handle(_ context.Context, from peer.Identity, message exchange) (exchanged, error) {
	s.take(message.Row, from.Name)
	answer := exchanged{Number: numberInForce(s.opts.Policy)}
	if answer.Number > message.Number {
		answer.Row = s.row()
	}
	return answer, nil
}

// take puts a version from another VM in force if it is newer.
func (s *spreader) take(row []byte, from string) {
	if len(row) == 0 {
		return
	}
	v, err := policy.DecodeRow(row)
	if err != nil {
		klog.ErrorS(err, "Cannot read the policy version of a peer", "vm", s.opts.Name, "peer", from)
		return
	}
	s.offer(v)
}

// row returns the row of the version in force, or nil.
func (s *spreader) row() []byte {
	v := s.opts.Policy.Current()
	if v == nil {
		return nil
	}
	row, err := policy.EncodeRow(v)
	if err != nil {
		klog.ErrorS(err, "Encoding the policy version in force", "vm", s.opts.Name)
	}
	return row
}

// courier runs the exchanges with one VM until both have the same version.
type courier struct {
	spreader *spreader
	to       peer.Address
	// again asks for one more exchange. The spreader's lock guards it.
	again bool
}

func (c *courier) run(ctx context.Context) {
	for {
		c.exchange(ctx)
		if c.finish() {
			return
		}
	}
}

// finish reports whether the courier has nothing more to do, and if so takes
// it off the spreader's list.
func (c *courier) finish() bool {
	c.spreader.mu.Lock()
	defer c.spreader.mu.Unlock()
	if c.again {
		c.again = false
		return false
	}
	delete(c.spreader.couriers, c.to.Name)
	return true
}

// exchange tells the VM the number of the version in force, takes its version
// if that is newer, and sends it the row if it is older.
func (c *courier) exchange(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	message := exchange{Number: numberInForce(c.spreader.opts.Policy)}
	answer, err := c.call(ctx, message)
	if err != nil {
		return
	}
	if answer.Number < numberInForce(c.spreader.opts.Policy) {
		message = exchange{Number: numberInForce(c.spreader.opts.Policy), Row: c.spreader.row()}
		// A VM that misses this answer is told again in the next exchange.
		_, _ = c.call(ctx, message)
	}
}

func (c *courier) call(ctx context.Context, message exchange) (exchanged, error) {
	answer, err := peer.Call[exchanged](ctx, c.spreader.opts.Peers, c.to, message)
	if err != nil {
		klog.V(3).InfoS("Policy exchange", "vm", c.spreader.opts.Name, "peer", c.to.Name, "err", err)
		return exchanged{}, err
	}
	c.spreader.take(answer.Row, c.to.Name)
	return answer, nil
}
