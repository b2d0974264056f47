package route

const (
	// initialRetries lets a VM that has just started, or is idle, retry at all.
	initialRetries = 3
	// mostRetries bounds the retries saved up, and so a burst of them.
	mostRetries = 20
)

// Budget bounds retries to a ratio of first tries. It is not safe for
// concurrent use.
type RetryBudget struct {
	spent, earned float64
}

// FirstTry earns ratio of a retry.
func (b *RetryBudget) AddFirstAttempt(ratio float64) {
	b.earned += ratio
	if saved := b.saved(); saved > mostRetries {
		b.earned -= saved - mostRetries
	}
}

// Retry spends one retry and reports whether there was one left.
func (b *RetryBudget) TakeRetry() bool {
	if b.saved() < 1 {
		return false
	}
	b.spent++
	return true
}

func (b *RetryBudget) saved() float64 { return initialRetries + b.earned - b.spent }
