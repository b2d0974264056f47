package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	api "tanagerstack.org/core/api/caller"
)

// maxViolationsShown is the maximum number of violations printed one by one.
const maxViolationsShown = 20

// Report is the result of a run.
type Report struct {
	Accepted  int64
	Completed int64
	Refused   int64
	Unknown   int64
	// Violations counts violated guarantees for single requests and jobs; the summary
	// line prints it as "lost".
	Violations int64
	// DoubledExecutions and Overloaded are counts of the fake targets and workers: non-idempotent
	// requests and tasks that ran more than once, and those beyond a VM's capacity.
	DoubledExecutions int64
	Overloaded        int64
	// MaxPolicyDelay is the longest time until a policy change was in force everywhere.
	MaxPolicyDelay time.Duration

	opts      *Options
	recorder  *recorder
	targetLog *executionLog
	workerLog *executionLog
	jobStates map[string]int64
}

func newReport(opts *Options, rec *recorder, ran, started *executionLog) *Report {
	r := &Report{
		DoubledExecutions: ran.doubled + started.doubled,
		Overloaded:        ran.overloaded + started.overloaded,
		MaxPolicyDelay:    rec.maxPolicyDelay(),
		Violations:        int64(len(rec.violations)),
		opts:              opts, recorder: rec, targetLog: ran, workerLog: started, jobStates: make(map[string]int64),
	}
	for _, sends := range rec.requests {
		for _, send := range sends {
			r.countRequest(send.outcome)
		}
	}
	for _, j := range rec.jobs {
		r.countJob(j)
	}
	return r
}

func (r *Report) countRequest(v outcome) {
	switch v {
	case completed:
		r.Accepted++
		r.Completed++
	case refused:
		r.Refused++
	case unknown:
		r.Unknown++
	}
}

func (r *Report) countJob(j *jobResult) {
	switch {
	case j.accepted:
		r.Accepted++
		r.jobStates[string(j.latest.State)]++
		if j.latest.State == api.JobStateSucceeded || j.latest.State == api.JobStateCancelled {
			r.Completed++
		}
	case j.refused:
		r.Refused++
		r.jobStates["not accepted"]++
	default:
		r.Unknown++
		r.jobStates["no answer"]++
	}
}

// Err returns an error if a guarantee was violated or too little load was accepted,
// and nil otherwise.
func (r *Report) Err() error {
	switch {
	case r.Violations > 0 || r.DoubledExecutions > 0 || r.Overloaded > 0:
		return fmt.Errorf("guarantees violated: %d lost, %d doubled, %d overloaded", r.Violations, r.DoubledExecutions, r.Overloaded)
	case r.targetLog.afterLeaving > 0:
		return fmt.Errorf("%d requests reached targets 3 s or more after these reported that they were leaving", r.targetLog.afterLeaving)
	case r.MaxPolicyDelay > r.opts.MaxPolicyDelay:
		return fmt.Errorf("a policy change took %s to be in force everywhere, limit %s", r.MaxPolicyDelay, r.opts.MaxPolicyDelay)
	case len(r.opts.Operators) > 0 && len(r.recorder.policyDelays) == 0:
		return fmt.Errorf("no policy change was applied")
	case r.Accepted < r.opts.MinAccepted:
		return fmt.Errorf("%d requests and jobs were accepted, want at least %d", r.Accepted, r.opts.MinAccepted)
	default:
		return nil
	}
}

// Print writes the report. Its last line is a machine-readable summary.
func (r *Report) Print(w io.Writer) {
	p := &printer{w: w}
	p.line("requests: %d sent by %d callers, %d resent, %d delayed by the limit of requests in flight",
		len(r.recorder.requests), len(r.opts.Callers), r.recorder.resends, r.recorder.inFlightWaits)
	p.latency("idempotent", r.recorder.idempotent)
	p.latency("non-idempotent", r.recorder.nonIdempotent)
	for _, one := range r.recorder.slowest {
		p.line("  slow request: %s of caller %s took %s through entry VM %s, sent at %s", one.id, one.caller,
			one.took.Round(time.Millisecond), one.via, one.sentAt.Format("15:04:05.000"))
	}
	p.line("jobs: %d submitted", len(r.recorder.jobs))
	p.counts(r.jobStates)
	p.line("failed requests and calls, by reason:")
	p.counts(r.recorder.problems)
	p.line("policy changes: %d applied, longest time until in force everywhere %s",
		len(r.recorder.policyDelays), r.MaxPolicyDelay.Round(time.Millisecond))
	r.printBreaches(p)
	p.line("demo: accepted=%d completed=%d refused=%d unknown=%d lost=%d doubled=%d overloaded=%d policy-seconds=%.2f",
		r.Accepted, r.Completed, r.Refused, r.Unknown, r.Violations, r.DoubledExecutions, r.Overloaded, r.MaxPolicyDelay.Seconds())
}

func (r *Report) printBreaches(p *printer) {
	for i, b := range r.recorder.violations {
		if i == maxViolationsShown {
			p.line("  and %d more", len(r.recorder.violations)-i)
			break
		}
		p.line("violation: %s: %s", b.ID, b.Reason)
	}
	for _, id := range append(slices.Clone(r.targetLog.doubledIDs), r.workerLog.doubledIDs...) {
		p.line("violation: %s: ran more than once", id)
	}
}

// printer writes lines. It ignores write errors, since a report that cannot be written
// cannot be read either.
type printer struct{ w io.Writer }

func (p *printer) line(format string, args ...any) {
	_, _ = fmt.Fprintf(p.w, format+"\n", args...)
}

func (p *printer) counts(counts map[string]int64) {
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		p.line("  %6d %s", counts[name], name)
	}
}

func (p *printer) latency(kind string, h *hdrhistogram.Histogram) {
	p.line("latency of completed %s requests: p50 %s, p90 %s, p99 %s, longest %s", kind,
		microseconds(h.ValueAtQuantile(50)), microseconds(h.ValueAtQuantile(90)),
		microseconds(h.ValueAtQuantile(99)), microseconds(h.Max()))
}

func microseconds(n int64) time.Duration {
	return (time.Duration(n) * time.Microsecond).Round(10 * time.Microsecond)
}
