package oper

import (
	"context"
	"math/rand"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"tanagerstack.org/core/policy"
	"tanagerstack.org/core/store"
)

const (
	// pollPeriod is the mean time between polls of the policy head.
	pollPeriod = time.Second
	// pollTimeout limits one poll, so that slow tables do not delay the next.
	pollTimeout = 900 * time.Millisecond
	// pollJitter is the fraction by which the period varies either way, to spread the polls of VMs
	// that started together.
	pollJitter = 0.2
)

// poller reads the policy head from the tables and puts newer versions in force.
type poller struct {
	name     string
	policies policyStore
	active   *policy.ActiveVersion
	syncer   *syncer
	// unreadable is the number of the last version that this VM could not decode, or 0.
	unreadable atomic.Int64
	// staleHead is 0 unless the head is older than the version in force. Then it is the head's number
	// plus 1, which is not 0 even if the tables have no head.
	staleHead atomic.Int64
}

func newPoller(opts Options, s *syncer) *poller {
	return &poller{
		name:     opts.Name,
		policies: policyStore{tables: opts.Tables, active: opts.Policy, now: opts.Now},
		active:   opts.Policy,
		syncer:   s,
	}
}

// run polls until ctx is done.
func (p *poller) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := jitter(pollPeriod)
		p.poll(ctx)
		p.syncer.syncDiffering()
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// jitter returns a random duration within pollJitter of period.
func jitter(period time.Duration) time.Duration {
	return time.Duration(float64(period) * (1 - pollJitter + 2*pollJitter*rand.Float64()))
}

// poll puts the newest accepted version in force if it is newer than the present one. If the version
// cannot be read, the present one stays in force.
func (p *poller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	head, err := p.policies.readHead(ctx)
	if err != nil {
		klog.V(2).InfoS("cannot read the policy head", "vm", p.name, "err", err)
		return
	}
	active := activeNumber(p.active)
	p.logStaleHead(head.Number, active)
	if head.Number <= active || head.Number == p.unreadable.Load() {
		return
	}
	row, err := p.policies.tables.Read(ctx, policy.HistoryTable, policy.HistoryKey(head.Number))
	if err != nil || row.Version == store.Absent {
		klog.V(2).InfoS("cannot read the policy version", "vm", p.name, "version", head.Number, "err", err)
		return
	}
	v, err := policy.DecodeRow(row.Value)
	if err != nil {
		p.unreadable.Store(head.Number)
		klog.ErrorS(err, "cannot decode the newest policy version; the present one stays in force", "vm", p.name, "version", head.Number)
		return
	}
	p.syncer.activate(v)
}

// logStaleHead logs once when the head becomes older than the version in force, which happens only
// after the tables have lost data. The version in force stays.
func (p *poller) logStaleHead(head, active int64) {
	if head >= active {
		p.staleHead.Store(0)
		return
	}
	if p.staleHead.Swap(head+1) == 0 {
		klog.ErrorS(nil, "policy head in the tables is older than the version in force", "vm", p.name, "tables", head, "version", active)
	}
}

// activeNumber returns the number of the version in force, or 0 if none is.
func activeNumber(k *policy.ActiveVersion) int64 {
	if v := k.Current(); v != nil {
		return v.Number
	}
	return 0
}
