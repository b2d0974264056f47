package cell

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// logLimit bounds the log lines about events that callers cause, and counts those that are left out.
type logLimit struct {
	limiter    *rate.Limiter
	suppressed atomic.Int64
}

func newLogLimit(perSecond rate.Limit, burst int) *logLimit {
	return &logLimit{limiter: rate.NewLimiter(perSecond, burst)}
}

// take reports whether an event at a time is logged, and how many were left out before it.
func (l *logLimit) take(now time.Time) (suppressed int64, ok bool) {
	if !l.limiter.AllowN(now, 1) {
		l.suppressed.Add(1)
		return 0, false
	}
	return l.suppressed.Swap(0), true
}
