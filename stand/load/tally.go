package load

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// counter is a counter for many goroutines.
type counter struct{ value atomic.Int64 }

func (c *counter) add(n int64) int64 { return c.value.Add(n) }

// verdict is how one send of a request or job ended for its caller.
type verdict int

const (
	// unknown is the zero value: nothing was heard.
	unknown verdict = iota
	completed
	refused
)

// outcome is what a caller was told about one request ID.
type outcome struct {
	id string
	// once marks a non-idempotent request.
	once bool
	// resent tells that an earlier send got no answer, so that a later refusal
	// speaks for the later send only.
	resent  bool
	verdict verdict
	answer  []byte
}

// slow is a completed request, for people.
type slow struct {
	id     string
	caller string
	sentAt time.Time
	took   time.Duration
	via    netip.AddrPort
}

// slowestKept is how many of the slowest requests are shown.
const slowestKept = 5

// breach is a broken promise, for people.
type breach struct {
	ID     string
	Reason string
}

// tally collects what happened. It is safe for concurrent use.
type tally struct {
	mu       sync.Mutex
	outcomes map[string][]outcome
	jobs     []*jobOutcome
	breaches []breach
	refusals map[string]int64
	// latency of completed requests, idempotent ones and others.
	idempotent, once *hdrhistogram.Histogram
	// slowest are the slowest completed requests.
	slowest  []slow
	changes  []time.Duration
	heldBack int64
	resends  int64
}

const (
	latencyMaxMicroseconds = 60_000_000
	latencyDigits          = 3
)

func newTally() *tally {
	return &tally{
		outcomes:   make(map[string][]outcome),
		refusals:   make(map[string]int64),
		idempotent: hdrhistogram.New(1, latencyMaxMicroseconds, latencyDigits),
		once:       hdrhistogram.New(1, latencyMaxMicroseconds, latencyDigits),
	}
}

func (t *tally) request(o outcome, s slow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[o.id] = append(t.outcomes[o.id], o)
	if o.verdict != completed {
		return
	}
	latency := t.idempotent
	if o.once {
		latency = t.once
	}
	_ = latency.RecordValue(s.took.Microseconds())
	t.slowest = append(t.slowest, s)
	slices.SortFunc(t.slowest, func(a, b slow) int { return int(b.took - a.took) })
	t.slowest = t.slowest[:min(len(t.slowest), slowestKept)]
}

func (t *tally) refusal(kind, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refusals[kind+" "+reason]++
}

func (t *tally) breach(id, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breaches = append(t.breaches, breach{ID: id, Reason: reason})
}

func (t *tally) job(j *jobOutcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.jobs = append(t.jobs, j)
}

func (t *tally) change(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changes = append(t.changes, took)
}

func (t *tally) slowestChange() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.changes) == 0 {
		return 0
	}
	return slices.Max(t.changes)
}

func (t *tally) held() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heldBack++
}

func (t *tally) resent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resends++
}
