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

// countBatch is how many IDs one question about run counts names.
const countBatch = 2000

// ledger is what the stand-ins recorded.
type ledger struct {
	executions   map[string]int64
	doubled      int64
	overloaded   int64
	afterLeaving int64
	doubledIDs   []string
}

// readLedger asks all control APIs for their totals and for the counts of ids.
func readLedger(ctx context.Context, controls []netip.AddrPort, ids []string) (*ledger, error) {
	l := &ledger{executions: make(map[string]int64, len(ids))}
	for _, address := range controls {
		client, err := faultapi.NewClient("http://"+address.String(), faultapi.WithClient(&http.Client{}))
		if err != nil {
			return nil, fmt.Errorf("control API at %s: %w", address, err)
		}
		if err := l.read(ctx, client, ids); err != nil {
			return nil, fmt.Errorf("control API at %s: %w", address, err)
		}
	}
	return l, nil
}

func (l *ledger) read(ctx context.Context, client *faultapi.Client, ids []string) error {
	totals, err := client.GetRecord(ctx)
	if err != nil {
		return err
	}
	l.doubled += totals.Doubled
	l.overloaded += totals.Overloaded
	l.afterLeaving += totals.AfterLeaving.Or(0)
	l.doubledIDs = append(l.doubledIDs, totals.DoubledIDs...)
	for start := 0; start < len(ids); start += countBatch {
		batch := ids[start:min(start+countBatch, len(ids))]
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

// auditRequests compares what callers were told with what ran.
func (t *tally) auditRequests(l *ledger) {
	for id, sends := range t.outcomes {
		if reason := judge(sends, l.executions[id]); reason != "" {
			t.breaches = append(t.breaches, breach{ID: id, Reason: reason})
		}
	}
}

// judge says which promise about one request was broken, if one was.
func judge(sends []outcome, executions int64) string {
	var answer []byte
	verdicts := make(map[verdict]int)
	for _, send := range sends {
		told := send.verdict
		if told == refused && send.resent && !send.once {
			told = unknown
		}
		verdicts[told]++
		if told != completed {
			continue
		}
		if answer != nil && !bytes.Equal(answer, send.answer) {
			return "two copies got different answers"
		}
		answer = send.answer
	}
	if verdicts[completed] > 0 && executions == 0 {
		return "completed, but never ran"
	}
	if verdicts[refused] == len(sends) && executions > 0 {
		return fmt.Sprintf("refused, but ran %d times", executions)
	}
	return ""
}

// auditJobs compares what callers were told about jobs with what ran.
func (t *tally) auditJobs(l *ledger) {
	for _, j := range t.jobs {
		if reason := j.judge(l); reason != "" {
			t.breaches = append(t.breaches, breach{ID: "job " + j.spec.Name, Reason: reason})
		}
	}
}

func (j *jobOutcome) judge(l *ledger) string {
	if !j.accepted {
		return ""
	}
	if !ended(j.last) {
		return fmt.Sprintf("accepted as %s, but had no outcome after its window; last state %s", j.last.ID, j.last.State)
	}
	if j.last.State != api.JobStateSucceeded {
		return ""
	}
	for _, id := range j.taskIDs() {
		if l.executions[id] == 0 {
			return fmt.Sprintf("succeeded, but task %s never ran", id)
		}
	}
	return ""
}

// taskIDs returns the IDs that workers know the job's tasks by.
func (j *jobOutcome) taskIDs() []string {
	if j.last == nil {
		return nil
	}
	ids := make([]string, 0, j.spec.Tasks)
	for index := range j.spec.Tasks {
		ids = append(ids, j.last.ID+"/"+strconv.Itoa(index))
	}
	return ids
}
