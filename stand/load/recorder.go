package load

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// counter is a counter that is safe for concurrent use.
type counter struct{ value atomic.Int64 }

func (c *counter) add(n int64) int64 { return c.value.Add(n) }

// outcome is how one copy of a request ended for its caller.
type outcome int

const (
	// unknown is the zero value: no answer came, or one with an unknown outcome.
	unknown outcome = iota
	completed
	refused
)

// requestResult is what a caller received for one copy of a request.
type requestResult struct {
	id            string
	nonIdempotent bool
	// resent is true if an earlier send got no answer, so that a later refusal
	// applies to the later send only.
	resent  bool
	outcome outcome
	answer  []byte
}

// slowRequest describes a completed request in the report.
type slowRequest struct {
	id     string
	caller string
	sentAt time.Time
	took   time.Duration
	via    netip.AddrPort
}

// maxSlowest is how many of the slowest requests the report shows.
const maxSlowest = 5

// violation describes a violated guarantee in the report.
type violation struct {
	ID     string
	Reason string
}

// recorder collects the results of all drivers. It is safe for concurrent use.
type recorder struct {
	mu         sync.Mutex
	requests   map[string][]requestResult
	jobs       []*jobResult
	violations []violation
	// problems counts failed sends and calls by kind and reason.
	problems map[string]int64
	// idempotent and nonIdempotent are the latencies of completed requests, in
	// microseconds.
	idempotent, nonIdempotent *hdrhistogram.Histogram
	// slowest are the slowest completed requests, the slowest first.
	slowest []slowRequest
	// policyDelays are the times until each policy change was in force everywhere.
	policyDelays []time.Duration
	// inFlightWaits counts requests delayed by Options.MaxInFlight.
	inFlightWaits int64
	resends       int64
}

const (
	latencyMaxMicroseconds = 60_000_000
	latencyDigits          = 3
)

func newRecorder() *recorder {
	return &recorder{
		requests:      make(map[string][]requestResult),
		problems:      make(map[string]int64),
		idempotent:    hdrhistogram.New(1, latencyMaxMicroseconds, latencyDigits),
		nonIdempotent: hdrhistogram.New(1, latencyMaxMicroseconds, latencyDigits),
	}
}

func (r *recorder) addRequest(result requestResult, s slowRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[result.id] = append(r.requests[result.id], result)
	if result.outcome != completed {
		return
	}
	latency := r.idempotent
	if result.nonIdempotent {
		latency = r.nonIdempotent
	}
	_ = latency.RecordValue(s.took.Microseconds())
	r.slowest = append(r.slowest, s)
	slices.SortFunc(r.slowest, func(a, b slowRequest) int { return int(b.took - a.took) })
	r.slowest = r.slowest[:min(len(r.slowest), maxSlowest)]
}

func (r *recorder) countProblem(kind, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems[kind+" "+reason]++
}

func (r *recorder) addViolation(id, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, violation{ID: id, Reason: reason})
}

func (r *recorder) addJob(j *jobResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs = append(r.jobs, j)
}

func (r *recorder) addPolicyDelay(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policyDelays = append(r.policyDelays, took)
}

func (r *recorder) maxPolicyDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.policyDelays) == 0 {
		return 0
	}
	return slices.Max(r.policyDelays)
}

func (r *recorder) countInFlightWait() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlightWaits++
}

func (r *recorder) countResend() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resends++
}
