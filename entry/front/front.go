package front

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"time"

	"tanagerstack.org/core/admit"
	"tanagerstack.org/core/api/caller"
	"tanagerstack.org/core/burn"
	"tanagerstack.org/core/claim"
	"tanagerstack.org/core/peer"
	"tanagerstack.org/core/route"
	"tanagerstack.org/entry/shared"
)

// maxKeptResponseBytes limits the total size of responses kept for duplicates of
// non-idempotent requests.
const maxKeptResponseBytes = 16 << 20

// Options configure a Front.
type Options struct {
	shared.CommonOptions
	// MarkTargetLeaving, if set, is called when a target reports that it is leaving.
	MarkTargetLeaving func(name string)
	// Burn, if set, records the outcome of each request for burn rates.
	Burn *burn.Recorder
	// Jobs handles job calls. If nil, they are refused.
	Jobs Jobs
}

// Front serves the callers' API. It is safe for concurrent use.
type Front struct {
	opts       Options
	now        func() time.Time
	server     http.Handler
	callerGate *admit.Gate
	inFlight   *inFlightTracker
	claims     *claims
	router     *router
	metrics    *metrics

	callerChain Next
	claimChain  Next
	routeChain  Next
}

// New returns a Front. The options Name, Domain, Policy, Roster and Tables are
// required.
func New(opts Options) (*Front, error) {
	if opts.Name == "" || opts.Domain == "" || opts.Policy == nil || opts.Roster == nil || opts.Tables == nil {
		return nil, errors.New("front: name, domain, policy, roster and tables are required")
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	f := &Front{opts: opts, now: opts.Now, callerGate: admit.NewGate(), inFlight: &inFlightTracker{}, metrics: &metrics{}}
	if err := f.assemble(); err != nil {
		return nil, err
	}
	server, err := caller.NewServer(api{f}, security{opts.Policy},
		caller.WithErrorHandler(handleError), caller.WithNotFound(notFound), caller.WithMethodNotAllowed(methodNotAllowed))
	if err != nil {
		return nil, fmt.Errorf("callers' API: %w", err)
	}
	f.server = f.limitReading(server)
	return f, nil
}

// assemble creates the filters and combines them into the three chains.
func (f *Front) assemble() error {
	instance := make([]byte, 8)
	if _, err := rand.Read(instance); err != nil {
		return fmt.Errorf("instance name: %w", err)
	}
	opts := f.opts
	location := route.Location{Name: opts.Name, Domain: opts.Domain, Region: opts.Region}
	fwd := &forwarder{location: location, peers: opts.Peers, policy: opts.Policy, roster: opts.Roster, now: f.now, metrics: f.metrics}
	f.claims = &claims{
		location:  location,
		policy:    opts.Policy,
		roster:    opts.Roster,
		now:       f.now,
		clockSkew: opts.ClockSkew,
		tables:    opts.Tables,
		forwarder: fwd,
		book:      claim.NewBook[Outcome](maxKeptResponseBytes),
		metrics:   f.metrics,
		instance:  hex.EncodeToString(instance),
		startedAt: f.now(),
	}
	fwd.claims = f.claims
	f.router = &router{location: location, roster: opts.Roster, now: f.now, forwarder: fwd, pools: make(map[string]*pool)}
	fwd.takeRetry = f.router.takeRetry
	last := &dispatcher{
		now:               f.now,
		claims:            f.claims,
		clockSkew:         opts.ClockSkew,
		metrics:           f.metrics,
		trace:             opts.Trace,
		markTargetLeaving: f.markTargetLeaving,
	}
	f.routeChain = chain(last.Dispatch, f.router)
	f.claimChain = chain(f.routeChain, f.claims)
	f.callerChain = chain(f.claimChain,
		labelFilter{policy: opts.Policy, now: f.now},
		windowFilter{now: f.now, clockSkew: opts.ClockSkew},
		limitsFilter{gate: f.callerGate, roster: opts.Roster, burn: opts.Burn, now: f.now},
	)
	return nil
}

// Handler returns the HTTP handler of the callers' API.
func (f *Front) Handler() http.Handler { return f.server }

// Register registers the handlers of messages from other entry VMs with mux.
func (f *Front) Register(mux *peer.Mux) {
	peer.Handle(mux, f.handleForwardedRequest)
	peer.Handle(mux, f.claims.handleOutcomeRequest)
	peer.Handle(mux, f.claims.handleHold)
	peer.Handle(mux, f.claims.handleRelease)
	peer.Handle(mux, f.claims.handleHeldClaims)
}

// Start starts the background loops that maintain pools and claims. They run until ctx
// ends.
func (f *Front) Start(ctx context.Context) {
	go poolLoop{f}.run(ctx)
	go claimLoop{f.claims}.run(ctx)
}

// Drain refuses new requests and waits until those in flight have ended or ctx ends.
// Then it writes the claims that are held only in memory to the tables.
func (f *Front) Drain(ctx context.Context) error {
	err := f.inFlight.drain(ctx)
	f.claims.flush(ctx)
	return err
}

// LostRequestsUntil returns the time after which no request sent by this VM can still be
// running on a target. It is valid only after Drain has returned.
func (f *Front) LostRequestsUntil() time.Time {
	last := f.now()
	for _, p := range f.router.allPools() {
		if until := p.lostUntil(); until.After(last) {
			last = until
		}
	}
	return last
}

// markTargetLeaving stops new requests to a target in the local pool and reports that
// the target is leaving to MarkTargetLeaving.
func (f *Front) markTargetLeaving(service, name string) {
	f.router.pool(service).setLeaving(name)
	if f.opts.MarkTargetLeaving != nil {
		f.opts.MarkTargetLeaving(name)
	}
}

func (f *Front) drainingRefusal() Refused {
	return unavailable(reasonDraining, f.now(), "entry VM %s is shutting down; another one takes the request", f.opts.Name)
}
