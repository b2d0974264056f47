package route

const (
	// initialRetries is the number of retries that are available without first
	// attempts, so that a VM can retry just after its start or when it is idle.
	initialRetries = 3
	// maxRetries limits the retries that can accumulate, and so a burst of retries.
	maxRetries = 20
)

// RetryBudget limits retries to a ratio of first attempts. The zero value is ready to
// use. A RetryBudget is not safe for concurrent use.
type RetryBudget struct {
	spent, earned float64
}

// AddFirstAttempt adds ratio retries to the budget, for one first attempt.
func (b *RetryBudget) AddFirstAttempt(ratio float64) {
	b.earned += ratio
	if available := b.available(); available > maxRetries {
		b.earned -= available - maxRetries
	}
}

// TakeRetry takes one retry from the budget and reports whether one was available.
func (b *RetryBudget) TakeRetry() bool {
	if b.available() < 1 {
		return false
	}
	b.spent++
	return true
}

func (b *RetryBudget) available() float64 { return initialRetries + b.earned - b.spent }
