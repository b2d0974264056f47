package oper

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	api "tanagerstack.org/core/api/oper"
	"tanagerstack.org/core/burn"
	"tanagerstack.org/core/peer"
	"tanagerstack.org/core/policy"
	"tanagerstack.org/core/roster"
	"tanagerstack.org/entry/shared"
)

// maxBodyBytes bounds the body of a call: a document as JSON text, whose
// escapes can double it.
const maxBodyBytes = 2*policy.MaxTextBytes + 4096

// Options configure an Operators.
type Options struct {
	shared.Parts
	// Burn measures the service levels of this VM.
	Burn *burn.Recorder
	// Roles returns the roles that this VM holds now; nil if it holds none.
	Roles func() []string
	// Drain begins to take this VM out of service and returns at once.
	Drain func()
	// OperatorTokens maps the names of operators to the SHA-256 hashes of their
	// tokens, in hexadecimal.
	OperatorTokens map[string]string
}

// Operators serves the operators' API of one entry VM and keeps its policy.
type Operators struct {
	opts     Options
	access   access
	changer  changer
	spreader *spreader
	poller   *poller
	server   *api.Server
}

// New returns an Operators. It begins to work on Start.
func New(opts Options) (*Operators, error) {
	opts.complete()
	access, err := newAccess(opts.OperatorTokens)
	if err != nil {
		return nil, err
	}
	o := &Operators{opts: opts, access: access}
	o.spreader = newSpreader(opts)
	o.changer = changer{tables: opts.Tables, keeper: opts.Policy, now: opts.Now}
	o.poller = newPoller(opts, o.spreader)
	handler := &handler{operators: o}
	o.server, err = api.NewServer(handler, &o.access, api.WithErrorHandler(handler.decodeError), api.WithNotFound(notFound), api.WithMethodNotAllowed(methodNotAllowed))
	if err != nil {
		return nil, fmt.Errorf("operators' API: %w", err)
	}
	return o, nil
}

func (o *Options) complete() {
	if o.Roster == nil {
		o.Roster = func() *roster.View { return nil }
	}
	if o.Roles == nil {
		o.Roles = func() []string { return nil }
	}
	if o.Drain == nil {
		o.Drain = func() {}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
}

// Handler serves the operators' API.
func (o *Operators) Handler() http.Handler {
	return http.MaxBytesHandler(o.server, maxBodyBytes)
}

// Register adds the handlers of messages from other VMs.
func (o *Operators) Register(m *peer.Mux) {
	peer.Handle(m, o.spreader.handle)
	peer.Handle(m, o.handleStatus)
	peer.Handle(m, o.handleExplain)
	peer.Handle(m, o.handleBurn)
}

// Start begins to keep the policy until ctx ends. It does not wait.
func (o *Operators) Start(ctx context.Context) {
	o.spreader.start(ctx)
	go o.poller.loop(ctx)
}

// peers returns the other entry VMs that have an address.
func (o *Options) peers() []roster.VM {
	view := o.Roster()
	if view == nil {
		return nil
	}
	others := make([]roster.VM, 0, len(view.VMs))
	for i := range view.VMs {
		if vm := view.VMs[i]; vm.Name != o.Name && vm.PeerAddress != (netip.AddrPort{}) {
			others = append(others, vm)
		}
	}
	return others
}
