package cell

import (
	"context"
	"math"
	"sync"
	"time"

	"tanagerstack.org/core/store"
)

// Where keys must stop working soon after a configuration removed them, a VM accepts keys only while it
// can prove that its configuration is recent. A proof is an answer of the store to a watch or a read of
// the row, and holds for the instant at which that call was sent. Most VMs take their proofs over from
// the leader, so that one VM watches the row for all.

const (
	// revokeMargin is the part of Options.RevokeWithin that is left for a request between the check
	// of its key and its effect, and for clocks that differ.
	revokeMargin = time.Second
	// maxLeaderProofAge is the age of the leader's last proof from which a VM watches the row itself.
	// A proof that was taken over with a heartbeat is at most 1.3 s old while nothing fails.
	maxLeaderProofAge = 1500 * time.Millisecond
	// leaderProofInterval is the time between two checks of that age.
	leaderProofInterval = 100 * time.Millisecond
	// strictWatchWait bounds a watch where revocation is strict, and leaderWatchWaitStrict one of the
	// leader, whose proofs reach the other VMs a heartbeat later. urgentWatchWait bounds a watch while
	// there is no recent proof, which its answer brings. Each is also at most a part of the age from
	// which keys are refused, so that a short bound does not refuse keys between two watches.
	strictWatchWait       = time.Second
	leaderWatchWaitStrict = 400 * time.Millisecond
	urgentWatchWait       = 250 * time.Millisecond
	// maxProvingBytes is the size of a watch's answer up to which it surely has all changes. The store
	// cuts answers at 1 MB.
	maxProvingBytes = 512 << 10
	// watchParts, urgentParts and leaderAgeEighths are these parts of maxProofAge: a quarter, an eighth
	// and three eighths. Four seconds give the values above.
	watchParts, urgentParts, leaderAgeEighths = 4, 8, 3
	// proofCheckInterval is the time between two checks whether keys have begun or ceased to be
	// refused, which is then logged.
	proofCheckInterval = 250 * time.Millisecond
)

// neverProved is the age of a proof that there never was.
const neverProved = time.Duration(math.MaxInt64)

// configProof is what a VM knows about how recent its configuration is. Its decisions take the current
// time. Its methods may be called by several goroutines. The zero value has no proof.
type configProof struct {
	mu sync.Mutex
	// provedAt is the latest instant at which the configuration in force was proved to be the newest,
	// leaderProvedAt the latest one that the leader proved.
	provedAt, leaderProvedAt time.Time
	// readable and unreadable are the versions of the latest rows that could and could not be decoded.
	readable, unreadable int64
}

// noteRow records a row of the configuration, after it was put in force if it could be decoded. It
// reports whether the row was not known before.
func (p *configProof) noteRow(version int64, decoded bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	latest := &p.unreadable
	if decoded {
		latest = &p.readable
	}
	if version <= *latest {
		return false
	}
	*latest = version
	return true
}

// lastReadable returns the version of the latest row that could be decoded.
func (p *configProof) lastReadable() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readable
}

// prove records that a call that was sent at an instant found no newer row than those recorded. It
// proves nothing while the newest one cannot be decoded.
func (p *configProof) prove(at, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.readable > p.unreadable {
		p.provedAt = later(p.provedAt, at, now)
	}
}

// adopt records a proof of the leader.
func (p *configProof) adopt(at, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaderProvedAt = later(p.leaderProvedAt, at, now)
	p.provedAt = later(p.provedAt, at, now)
}

// later returns the instant from which less time has passed, also while the VM was suspended.
func later(a, b, now time.Time) time.Time {
	if a.IsZero() || elapsed(b, now) < elapsed(a, now) {
		return b
	}
	return a
}

// age returns the age of the latest proof.
func (p *configProof) age(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return ageOf(p.provedAt, now)
}

// leaderAge returns the age of the leader's latest proof.
func (p *configProof) leaderAge(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return ageOf(p.leaderProvedAt, now)
}

func ageOf(at, now time.Time) time.Duration {
	if at.IsZero() {
		return neverProved
	}
	return elapsed(at, now)
}

// configReport is what a leader says about its configuration in the reply to a heartbeat: its version
// was the newest ProofAge ago.
type configReport struct {
	Version  int64         `cbor:"1,keyasint"`
	ProofAge time.Duration `cbor:"2,keyasint"`
}

// maxProofAge returns the age of the proof from which on keys are refused, or zero if revocation is not
// strict.
func (o *Options) maxProofAge() time.Duration {
	return o.RevokeWithin - min(revokeMargin, o.RevokeWithin/2)
}

// ConfigView returns the configuration in force and the age of the proof that it is the newest.
func (n *Node) ConfigView() ConfigView {
	// The age goes first: a configuration that is put in force between the two reads is newer than what
	// was proved, never older.
	view := ConfigView{ProofAge: n.proof.age(time.Now()), MaxProofAge: n.opts.maxProofAge()}
	view.Config = n.Config()
	return view
}

// reportConfig returns what the heartbeat replies of this VM say as the leader, or nil in a cell without
// organizations.
func (n *Node) reportConfig() *configReport {
	view := n.ConfigView()
	if !view.Config.HasOrganizations() {
		return nil
	}
	return &configReport{Version: view.Config.Version, ProofAge: view.ProofAge}
}

// noteLeaderConfig takes over the leader's proof from the reply to a heartbeat that was sent at an
// instant. A VM with an older version reads the row at once. The load is one call each 0.4 s.
func (n *Node) noteLeaderConfig(sent time.Time, report *configReport) {
	if report == nil {
		return
	}
	config := n.Config()
	if config == nil || config.Version < report.Version {
		n.triggerConfigRead()
		return
	}
	if report.ProofAge >= 0 && report.ProofAge < neverProved {
		n.proof.adopt(sent.Add(-report.ProofAge), time.Now())
	}
}

// triggerConfigRead makes runConfigReads read the row.
func (n *Node) triggerConfigRead() {
	select {
	case n.configReads <- struct{}{}:
	default:
	}
}

// runConfigReads reads the configuration whenever it is known to be older than the leader's, and logs
// when keys begin and cease to be refused, until ctx ends.
func (n *Node) runConfigReads(ctx context.Context) {
	ticker := time.NewTicker(proofCheckInterval)
	defer ticker.Stop()
	refusing := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.configReads:
			n.readConfig(ctx)
		case <-ticker.C:
		}
		refusing = n.logProof(refusing)
	}
}

func (n *Node) readConfig(ctx context.Context) {
	sent := time.Now()
	row, err := n.opts.Store.Read(ctx, n.opts.Directory.ConfigTable, n.opts.Directory.ConfigKey)
	switch {
	case err != nil:
		n.opts.Logger.Warn("config not read", "error", err)
	case row.Version != store.Absent:
		n.configRow(row, false)
		n.proof.prove(sent, time.Now())
	}
}

// logProof logs when keys begin or cease to be refused. It returns whether they are.
func (n *Node) logProof(before bool) bool {
	view := n.ConfigView()
	refusing := view.Unproved()
	switch {
	case refusing && !before:
		n.opts.Logger.Warn("keys refused because the config may be out of date", "version", view.Config.Version, "proof-age", view.ProofAge, "max-proof-age", view.MaxProofAge)
	case !refusing && before:
		n.opts.Logger.Info("keys accepted again", "version", view.Config.Version, "proof-age", view.ProofAge)
	}
	return refusing
}

// configFeed is the feed of the configuration. In a cell with organizations it skips changes that were
// read from the row in the meantime, and its watches last as long as the proof allows.
type configFeed struct{ node *Node }

var _ store.Feed = configFeed{}

// Snapshot implements store.Feed.
func (f configFeed) Snapshot(ctx context.Context, table, prefix string) ([]store.Row, int64, error) {
	return f.node.opts.Store.Snapshot(ctx, table, prefix)
}

// Watch implements store.Feed.
func (f configFeed) Watch(ctx context.Context, table string, after int64, wait time.Duration) (store.Changes, error) {
	if f.node.Config().HasOrganizations() {
		after = max(after, f.node.proof.lastReadable())
		wait = f.node.configWatchWait()
	}
	return f.node.opts.Store.Watch(ctx, table, after, wait)
}

// configWatchWait returns how long the next watch of the configuration waits for a change.
func (n *Node) configWatchWait() time.Duration {
	switch {
	case n.opts.RevokeWithin <= 0:
		return configWatchWait
	case n.leader() != nil:
		return min(leaderWatchWaitStrict, n.opts.maxProofAge()/urgentParts)
	case n.proof.age(time.Now()) >= n.opts.maxLeaderProofAge():
		return min(urgentWatchWait, n.opts.maxProofAge()/urgentParts)
	default:
		return min(strictWatchWait, n.opts.maxProofAge()/watchParts)
	}
}

// maxLeaderProofAge returns the age of the leader's last proof from which this VM watches by itself.
func (o *Options) maxLeaderProofAge() time.Duration {
	if o.RevokeWithin <= 0 {
		return maxLeaderProofAge
	}
	return min(maxLeaderProofAge, leaderAgeEighths*o.maxProofAge()/8)
}

// configCaughtUp records a proof after the answer to a watch or a snapshot was processed that was sent
// at an instant. If the answer may be incomplete, the row is read instead.
func (n *Node) configCaughtUp(sent time.Time) {
	if n.answerComplete {
		n.proof.prove(sent, time.Now())
	} else if n.opts.RevokeWithin > 0 && n.Config().HasOrganizations() {
		n.triggerConfigRead()
	}
}

// awaitConfigWatch waits while the leader's proofs make a watch unnecessary. A leader watches all the
// time.
func (n *Node) awaitConfigWatch(ctx context.Context) {
	for n.Config().HasOrganizations() && n.leader() == nil && n.proof.leaderAge(time.Now()) < n.opts.maxLeaderProofAge() {
		if !store.Sleep(ctx, leaderProofInterval) {
			return
		}
	}
}
