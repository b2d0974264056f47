package front

import (
	"time"

	"golang.org/x/time/rate"

	"tanagerstack.org/core/roster"
)

// regionBurstSeconds is the burst size of the cross-region budget, in seconds of
// its rate.
const regionBurstSeconds = 2

// fitsRegionBudget reports whether the cross-region byte budget covers the
// request's body. It is not checked for requests forwarded to the owner of their
// claim: no other VM may run them, so their bytes are only charged.
func (f *forwarder) fitsRegionBudget(r *Request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	return f.regionBudget(now).TokensAt(now) >= float64(len(r.Body))
}

// chargeRegionBudget charges bytes exchanged with a VM to the cross-region budget.
// Bytes exchanged within the own region are free.
func (f *forwarder) chargeRegionBudget(vm roster.VM, bytes int) {
	if vm.Region == f.location.Region {
		return
	}
	f.metrics.crossRegionBytes.Add(int64(bytes))
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	budget := f.regionBudget(now)
	budget.ReserveN(now, min(bytes, budget.Burst()))
}

// regionBudget returns the rate limiter of cross-region bytes, set to the rate of
// the active policy. The caller holds f.mu.
func (f *forwarder) regionBudget(now time.Time) *rate.Limiter {
	perSecond := int64(0)
	if version := f.policy.Current(); version != nil {
		perSecond = version.Document.Regions.BytesPerSecond
	}
	limit, burst := rate.Limit(perSecond), int(perSecond*regionBurstSeconds)
	if f.regionLimiter == nil {
		f.regionLimiter = rate.NewLimiter(limit, burst)
	}
	if f.regionLimiter.Limit() != limit {
		f.regionLimiter.SetLimitAt(now, limit)
		f.regionLimiter.SetBurstAt(now, burst)
	}
	return f.regionLimiter
}
