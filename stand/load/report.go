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

// maxBreachesShown bounds the broken promises that are printed by name.
const maxBreachesShown = 20

// Report is what a run came to.
type Report struct {
	Accepted  int64
	Completed int64
	Refused   int64
	Unknown   int64
	// Lost counts broken promises about single requests and jobs.
	Lost int64
	// Doubled and Overloaded are the stand-ins' own counts.
	Doubled    int64
	Overloaded int64
	// PolicyTook is the longest that a policy change took to be in force everywhere.
	PolicyTook time.Duration

	opts   *Options
	tally  *tally
	ran    *ledger
	starts *ledger
	jobs   map[string]int64
}

func newReport(opts *Options, t *tally, ran, started *ledger) *Report {
	r := &Report{
		Doubled:    ran.doubled + started.doubled,
		Overloaded: ran.overloaded + started.overloaded,
		PolicyTook: t.slowestChange(),
		Lost:       int64(len(t.breaches)),
		opts:       opts, tally: t, ran: ran, starts: started, jobs: make(map[string]int64),
	}
	for _, sends := range t.outcomes {
		for _, send := range sends {
			r.countRequest(send.verdict)
		}
	}
	for _, j := range t.jobs {
		r.countJob(j)
	}
	return r
}

func (r *Report) countRequest(v verdict) {
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

func (r *Report) countJob(j *jobOutcome) {
	switch {
	case j.accepted:
		r.Accepted++
		r.jobs[string(j.last.State)]++
		if j.last.State == api.JobStateSucceeded || j.last.State == api.JobStateCancelled {
			r.Completed++
		}
	case j.refused:
		r.Refused++
		r.jobs["not accepted"]++
	default:
		r.Unknown++
		r.jobs["no answer"]++
	}
}

// Err reports the promises that were broken, or nil.
func (r *Report) Err() error {
	switch {
	case r.Lost > 0 || r.Doubled > 0 || r.Overloaded > 0:
		return fmt.Errorf("promises were broken: lost %d, doubled %d, overloaded %d", r.Lost, r.Doubled, r.Overloaded)
	case r.ran.afterLeaving > 0:
		return fmt.Errorf("%d requests reached targets that had been leaving for 3s", r.ran.afterLeaving)
	case r.PolicyTook > r.opts.PolicyLimit:
		return fmt.Errorf("a policy change took %s, more than %s", r.PolicyTook, r.opts.PolicyLimit)
	case len(r.opts.Operators) > 0 && len(r.tally.changes) == 0:
		return fmt.Errorf("no policy change was applied")
	case r.Accepted < r.opts.MinAccepted:
		return fmt.Errorf("%d requests and jobs were accepted, fewer than %d", r.Accepted, r.opts.MinAccepted)
	default:
		return nil
	}
}

// Print writes the report for people; its last line is for programs.
func (r *Report) Print(w io.Writer) {
	p := &printer{w: w}
	p.line("requests: %d sent by %d callers, %d sent again, %d held back by the load's own limit",
		len(r.tally.outcomes), len(r.opts.Callers), r.tally.resends, r.tally.heldBack)
	p.latency("idempotent", r.tally.idempotent)
	p.latency("non-idempotent", r.tally.once)
	for _, one := range r.tally.slowest {
		p.line("  slow: %s of %s took %s through %s, sent at %s", one.id, one.caller,
			one.took.Round(time.Millisecond), one.via, one.sentAt.Format("15:04:05.000"))
	}
	p.line("jobs: %d submitted", len(r.tally.jobs))
	p.counts(r.jobs)
	p.line("answers other than completed:")
	p.counts(r.tally.refusals)
	p.line("policy changes: %d applied, slowest in force everywhere after %s",
		len(r.tally.changes), r.PolicyTook.Round(time.Millisecond))
	r.printBreaches(p)
	p.line("demo: accepted=%d completed=%d refused=%d unknown=%d lost=%d doubled=%d overloaded=%d policy-seconds=%.2f",
		r.Accepted, r.Completed, r.Refused, r.Unknown, r.Lost, r.Doubled, r.Overloaded, r.PolicyTook.Seconds())
}

func (r *Report) printBreaches(p *printer) {
	for i, b := range r.tally.breaches {
		if i == maxBreachesShown {
			p.line("  and %d more", len(r.tally.breaches)-i)
			break
		}
		p.line("broken promise: %s: %s", b.ID, b.Reason)
	}
	for _, id := range append(slices.Clone(r.ran.doubledIDs), r.starts.doubledIDs...) {
		p.line("broken promise: %s: ran more than once", id)
	}
}

// printer writes lines; a report that can't be written has no reader.
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
