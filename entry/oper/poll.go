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
	// pollPeriod is the mean time between two polls of the head.
	pollPeriod = time.Second
	// pollTimeout bounds one poll, so that slow tables do not hold up the next.
	pollTimeout = 900 * time.Millisecond
	// pollJitter spreads the polls of VMs that started together.
	pollJitter = 0.2
)

// poller is the controller that follows the head of the policy.
type poller struct {
	name     string
	tables   changer
	keeper   *policy.ActiveVersion
	spreader *spreader
	// bad is the number of the newest version that this VM cannot read, or 0.
	bad atomic.Int64
	// behind is the head's number when it was last seen below the version in
	// force, or 0.
	behind atomic.Int64
}

func newPoller(opts Options, s *spreader) *poller {
	return &poller{
		name:     opts.Name,
		tables:   changer{tables: opts.Tables, keeper: opts.Policy, now: opts.Now},
		keeper:   opts.Policy,
		spreader: s,
	}
}

// loop polls until ctx ends.
func (p *poller) loop(ctx context.Context) {
	for ctx.Err() == nil {
		wait := jitter(pollPeriod)
		p.poll(ctx)
		p.spreader.tellDiffering()
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func jitter(period time.Duration) time.Duration {
	return time.Duration(float64(period) * (1 - pollJitter + 2*pollJitter*rand.Float64()))
}

// poll takes the newest accepted version into force, if the tables can be read.
func (p *poller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	head, err := p.tables.readHead(ctx)
	if err != nil {
		klog.V(2).InfoS("Reading the policy head", "vm", p.name, "err", err)
		return
	}
	inForce := numberInForce(p.keeper)
	p.noteBehind(head.Number, inForce)
	if head.Number <= inForce || head.Number == p.bad.Load() {
		return
	}
	row, err := p.tables.tables.Read(ctx, policy.HistoryTable, policy.HistoryKey(head.Number))
	if err != nil || row.Version == store.Absent {
		klog.V(2).InfoS("Reading a policy version", "vm", p.name, "version", head.Number, "err", err)
		return
	}
	v, err := policy.DecodeRow(row.Value)
	if err != nil {
		p.bad.Store(head.Number)
		klog.ErrorS(err, "Cannot read the newest policy version; the present one stays in force", "vm", p.name, "version", head.Number)
		return
	}
	p.spreader.offer(v)
}

// noteBehind logs when the tables fall behind the version in force, which they
// do only after a loss of data. The version in force stays.
func (p *poller) noteBehind(head, inForce int64) {
	if head >= inForce {
		p.behind.Store(0)
		return
	}
	if p.behind.Swap(head+1) == 0 {
		klog.ErrorS(nil, "The tables name an older policy version than the one in force", "vm", p.name, "tables", head, "version", inForce)
	}
}

func numberInForce(k *policy.ActiveVersion) int64 {
	if v := k.Current(); v != nil {
		return v.Number
	}
	return 0
}
