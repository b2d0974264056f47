package load

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"

	api "tanagerstack.org/core/api/caller"
	faultapi "tanagerstack.org/core/api/fault"
)

// runCountBatchSize is the maximum number of IDs in one request for run counts.
const runCountBatchSize = 2000

// executionLog holds the totals and the executions per ID that fake targets or
// fake workers recorded.
type executionLog struct {
	executions map[string]int64
	// doubled counts non-idempotent requests and tasks that ran more than once.
	doubled int64
	// overloaded counts requests and tasks beyond the capacity of a VM.
	overloaded int64
	// afterLeaving counts requests that reached a target 3 s or more after it
	// reported that it was leaving.
	afterLeaving int64
	doubledIDs   []string
}

// readExecutionLog reads the totals and the run counts of ids from all control APIs and adds them up.
func readExecutionLog(ctx context.Context, controls []netip.AddrPort, ids []string) (*executionLog, error) {
	l := &executionLog{executions: make(map[string]int64, len(ids))}
	for _, address := range controls {
		client, err := faultapi.NewClient("http://"+address.String(), faultapi.WithClient(&http.Client{}))
		if err != nil {
			return nil, fmt.Errorf("control API at %s: %w", address, err)
		}
		if err := l.add(ctx, client, ids); err != nil {
			return nil, fmt.Errorf("control API at %s: %w", address, err)
		}
	}
	return l, nil
}

// add adds the totals and run counts of one control API.
func (l *executionLog) add(ctx context.Context, client *faultapi.Client, ids []string) error {
	totals, err := client.GetRecord(ctx)
	if err != nil {
		return err
	}
	l.doubled += totals.Doubled
	l.overloaded += totals.Overloaded
	l.afterLeaving += totals.AfterLeaving.Or(0)
	l.doubledIDs = append(l.doubledIDs, totals.DoubledIDs...)
	for start := 0; start < len(ids); start += runCountBatchSize {
		batch := ids[start:min(start+runCountBatchSize, len(ids))]
		counts, err := client.ListRunCounts(ctx, &faultapi.RunCountRequest{IDs: batch})
		if err != nil {
			return err
		}
		for _, count := range counts.Counts {
			l.executions[count.ID] += count.Executions
		}
	}
	return nil
}

// auditRequests compares the outcomes that callers received with the recorded executions.
func (r *recorder) auditRequests(l *executionLog) {
	for id, sends := range r.requests {
		if reason := findViolation(sends, l.executions[id]); reason != "" {
			r.violations = append(r.violations, violation{ID: id, Reason: reason})
		}
	}
}

// findViolation describes the guarantee that was violated for one request, or
// returns "" if there is none. A refusal of an idempotent request that was sent
// again counts as unknown, since an earlier send may have run.
func findViolation(sends []requestResult, executions int64) string {
	var answer []byte
	counts := make(map[outcome]int)
	for _, send := range sends {
		effective := send.outcome
		if effective == refused && send.resent && !send.nonIdempotent {
			effective = unknown
		}
		counts[effective]++
		if effective != completed {
			continue
		}
		if answer != nil && !bytes.Equal(answer, send.answer) {
			return "two copies received different answers"
		}
		answer = send.answer
	}
	if counts[completed] > 0 && executions == 0 {
		return "reported completed, but never ran"
	}
	if counts[refused] == len(sends) && executions > 0 {
		return fmt.Sprintf("reported refused, but ran %d times", executions)
	}
	return ""
}

// auditJobs compares the job states that callers received with the recorded executions.
func (r *recorder) auditJobs(l *executionLog) {
	for _, j := range r.jobs {
		if reason := j.findViolation(l); reason != "" {
			r.violations = append(r.violations, violation{ID: "job " + j.spec.Name, Reason: reason})
		}
	}
}

// findViolation describes the guarantee that was violated for the job, or returns ""
// if there is none.
func (j *jobResult) findViolation(l *executionLog) string {
	if !j.accepted {
		return ""
	}
	if !isFinal(j.latest) {
		return fmt.Sprintf("accepted as %s, but not in a final state after its window; last state %s", j.latest.ID, j.latest.State)
	}
	if j.latest.State != api.JobStateSucceeded {
		return ""
	}
	for _, id := range j.taskIDs() {
		if l.executions[id] == 0 {
			return fmt.Sprintf("reported succeeded, but task %s never ran", id)
		}
	}
	return ""
}

// taskIDs returns the IDs under which workers record the job's tasks, JOB/INDEX. It
// returns nil if the caller never received the job.
func (j *jobResult) taskIDs() []string {
	if j.latest == nil {
		return nil
	}
	ids := make([]string, 0, j.spec.Tasks)
	for index := range j.spec.Tasks {
		ids = append(ids, j.latest.ID+"/"+strconv.Itoa(index))
	}
	return ids
}
