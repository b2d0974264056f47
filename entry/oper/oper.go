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

// maxBodyBytes limits the body of a call. The body holds a policy document as a JSON string, whose
// escape sequences can double its length.
const maxBodyBytes = 2*policy.MaxTextBytes + 4096

// Options configure a Service.
type Options struct {
	shared.CommonOptions
	// Burn measures the service levels of this VM.
	Burn *burn.Recorder
	// Roles returns the roles that this VM currently holds. A nil func means that it never holds one.
	Roles func() []string
	// Drain starts a graceful shutdown of this VM and returns at once. A nil func does nothing.
	Drain func()
	// OperatorTokens maps operator names to the SHA-256 hashes of their tokens, in hexadecimal.
	OperatorTokens map[string]string
}

// Service serves the operators' API of one entry VM and keeps the policy in force there up to date.
type Service struct {
	opts     Options
	auth     authenticator
	policies policyStore
	syncer   *syncer
	poller   *poller
	server   *api.Server
}

// New returns a Service. The policy is polled and exchanged only after Start.
func New(opts Options) (*Service, error) {
	opts.setDefaults()
	auth, err := newAuthenticator(opts.OperatorTokens)
	if err != nil {
		return nil, err
	}
	o := &Service{opts: opts, auth: auth}
	o.syncer = newSyncer(opts)
	o.policies = policyStore{tables: opts.Tables, active: opts.Policy, now: opts.Now}
	o.poller = newPoller(opts, o.syncer)
	handler := &handler{service: o}
	o.server, err = api.NewServer(handler, &o.auth, api.WithErrorHandler(handler.decodeError), api.WithNotFound(notFound), api.WithMethodNotAllowed(methodNotAllowed))
	if err != nil {
		return nil, fmt.Errorf("operators' API: %w", err)
	}
	return o, nil
}

func (o *Options) setDefaults() {
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

// Handler returns the HTTP handler of the operators' API.
func (o *Service) Handler() http.Handler {
	return http.MaxBytesHandler(o.server, maxBodyBytes)
}

// Register adds the handlers for messages from other VMs to m.
func (o *Service) Register(m *peer.Mux) {
	peer.Handle(m, o.syncer.handle)
	peer.Handle(m, o.handleStatus)
	peer.Handle(m, o.handleExplain)
	peer.Handle(m, o.handleBurn)
}

// Start polls the tables for new policy versions and exchanges versions with other VMs until ctx is
// done. It returns at once.
func (o *Service) Start(ctx context.Context) {
	o.syncer.start(ctx)
	go o.poller.run(ctx)
}

// peers returns the other entry VMs whose peer address is known.
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
