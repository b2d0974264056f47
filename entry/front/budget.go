package front

import (
	"time"

	"golang.org/x/time/rate"

	"tanagerstack.org/core/roster"
)

// regionBurst is how many seconds of the byte budget may be used at once.
const regionBurst = 2

// affords reports whether the budget for other regions has room for the
// request's body. Requests on their way to the owner of their claim do not ask:
// they must go there, and are only charged.
func (f *relay) affords(r *Request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	return f.budget(now).TokensAt(now) >= float64(len(r.Body))
}

// charge takes bytes that went to or came from another region off the budget.
func (f *relay) charge(vm roster.VM, bytes int) {
	if vm.Region == f.place.Region {
		return
	}
	f.metrics.regionBytes.Add(int64(bytes))
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	budget := f.budget(now)
	budget.ReserveN(now, min(bytes, budget.Burst()))
}

// budget returns the byte budget as the policy has it now. f.mu is held.
func (f *relay) budget(now time.Time) *rate.Limiter {
	perSecond := int64(0)
	if version := f.policy.Current(); version != nil {
		perSecond = version.Document.Regions.BytesPerSecond
	}
	limit, burst := rate.Limit(perSecond), int(perSecond*regionBurst)
	if f.bytes == nil {
		f.bytes = rate.NewLimiter(limit, burst)
	}
	if f.bytes.Limit() != limit {
		f.bytes.SetLimitAt(now, limit)
		f.bytes.SetBurstAt(now, burst)
	}
	return f.bytes
}
