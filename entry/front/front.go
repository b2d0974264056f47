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

// keptAnswerBytes bounds the answers kept for repeats of requests.
const keptAnswerBytes = 16 << 20

// Options configure a Front.
type Options struct {
	shared.Parts
	// NoteTargetLeaving, if set, is told of targets that say that they leave.
	NoteTargetLeaving func(name string)
	// Burn, if set, is told how requests end.
	Burn *burn.Recorder
	// Jobs handles the calls about jobs.
	Jobs Jobs
}

// Front is the callers' API. It is safe for concurrent use.
type Front struct {
	opts    Options
	now     func() time.Time
	server  http.Handler
	callers *admit.Gate
	gate    *inFlight
	claims  *claims
	router  *router
	metrics *metrics

	callerChain Next
	ownChain    Next
	placeChain  Next
}

// New returns a Front. It needs Name, Domain, Policy, Roster and Tables.
func New(opts Options) (*Front, error) {
	if opts.Name == "" || opts.Domain == "" || opts.Policy == nil || opts.Roster == nil || opts.Tables == nil {
		return nil, errors.New("front: name, domain, policy, roster and tables are required")
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	f := &Front{opts: opts, now: opts.Now, callers: admit.NewGate(), gate: &inFlight{}, metrics: &metrics{}}
	if err := f.assemble(); err != nil {
		return nil, err
	}
	server, err := caller.NewServer(api{f}, security{opts.Policy},
		caller.WithErrorHandler(handleError), caller.WithNotFound(notFound), caller.WithMethodNotAllowed(methodNotAllowed))
	if err != nil {
		return nil, fmt.Errorf("callers' API: %w", err)
	}
	f.server = f.boundReading(server)
	return f, nil
}

// assemble builds the filters and the chains.
func (f *Front) assemble() error {
	instance := make([]byte, 8)
	if _, err := rand.Read(instance); err != nil {
		return fmt.Errorf("instance name: %w", err)
	}
	opts := f.opts
	place := route.Location{Name: opts.Name, Domain: opts.Domain, Region: opts.Region}
	passing := &relay{place: place, peers: opts.Peers, policy: opts.Policy, roster: opts.Roster, now: f.now, metrics: f.metrics}
	f.claims = &claims{
		place:     place,
		policy:    opts.Policy,
		roster:    opts.Roster,
		now:       f.now,
		clockSkew: opts.ClockSkew,
		tables:    opts.Tables,
		relay:     passing,
		book:      claim.NewBook[Outcome](keptAnswerBytes),
		metrics:   f.metrics,
		instance:  hex.EncodeToString(instance),
		startedAt: f.now(),
	}
	passing.claims = f.claims
	f.router = &router{place: place, roster: opts.Roster, now: f.now, relay: passing, pools: make(map[string]*pool)}
	passing.retry = f.router.retry
	last := &dispatcher{
		now:         f.now,
		claims:      f.claims,
		clockSkew:   opts.ClockSkew,
		metrics:     f.metrics,
		trace:       opts.Trace,
		noteLeaving: f.noteLeaving,
	}
	f.placeChain = chain(last.Dispatch, f.router)
	f.ownChain = chain(f.placeChain, f.claims)
	f.callerChain = chain(f.ownChain,
		labelFilter{policy: opts.Policy, now: f.now},
		windowFilter{now: f.now, clockSkew: opts.ClockSkew},
		limitsFilter{gate: f.callers, roster: opts.Roster, burn: opts.Burn, now: f.now},
	)
	return nil
}

// Handler returns the callers' API.
func (f *Front) Handler() http.Handler { return f.server }

// Register adds the handlers of messages from other entry VMs.
func (f *Front) Register(mux *peer.Mux) {
	peer.Handle(mux, f.receivePass)
	peer.Handle(mux, f.claims.receiveLookup)
	peer.Handle(mux, f.claims.receiveHold)
	peer.Handle(mux, f.claims.receiveRelease)
	peer.Handle(mux, f.claims.receiveRecall)
}

// Start begins the work that goes on between requests. It ends with ctx.
func (f *Front) Start(ctx context.Context) {
	go poolLoop{f}.run(ctx)
	go claimLoop{f.claims}.run(ctx)
}

// Drain refuses new requests and waits until those in flight have ended. Then
// it writes to the tables what only this VM remembers.
func (f *Front) Drain(ctx context.Context) error {
	err := f.gate.drain(ctx)
	f.claims.flush(ctx)
	return err
}

// SlotsHeldUntil returns the instant by which no request that this VM has sent
// can run any more, once Drain has ended.
func (f *Front) SlotsHeldUntil() time.Time {
	last := f.now()
	for _, p := range f.router.all() {
		if until := p.heldUntil(); until.After(last) {
			last = until
		}
	}
	return last
}

// noteLeaving spreads the word that a target is leaving.
func (f *Front) noteLeaving(service, name string) {
	f.router.pool(service).setLeaving(name)
	if f.opts.NoteTargetLeaving != nil {
		f.opts.NoteTargetLeaving(name)
	}
}

func (f *Front) drainingRefusal() Refused {
	return unavailable(reasonDraining, f.now(), "entry VM %s is shutting down; another one takes the request", f.opts.Name)
}
