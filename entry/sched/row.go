package sched

import (
	"encoding/json"
	"fmt"
	"time"

	"tanagerstack.org/core/api/caller"
)

// Tables of the platform that the scheduler uses.
const (
	// tableJobs has the jobs that have not ended, by DOMAIN/JOB.
	tableJobs = "jobs"
	// tableEnded has the jobs that ended, by DOMAIN/JOB.
	tableEnded = "jobs-ended"
	// tableInbox has a row for each job that the holder should look at.
	tableInbox = "jobs-inbox"
	// tableKeys maps a caller's key to its job, by CALLER/KEY.
	tableKeys = "jobs-keys"
	// tableFleet has the workers that a domain's tasks may be on, by DOMAIN.
	tableFleet = "jobs-fleet"
)

// jobRow is a job as the platform's tables keep it.
type jobRow struct {
	ID     string         `json:"id"`
	Caller string         `json:"caller"`
	Team   string         `json:"team"`
	Domain string         `json:"domain"`
	Spec   caller.JobSpec `json:"spec"`
	// State is one of the caller's API.
	State           caller.JobState `json:"state"`
	Reason          string          `json:"reason,omitempty"`
	AcceptedAt      time.Time       `json:"accepted-at"`
	EndedAt         time.Time       `json:"ended-at,omitzero"`
	CancelRequested bool            `json:"cancel-requested,omitempty"`
	// Succeeded has a bit for each task that succeeded.
	Succeeded []byte `json:"succeeded,omitempty"`
	// Notes are on tasks of which more is to be told, by index.
	Notes map[int]taskNote `json:"notes,omitempty"`
}

// taskNote is what must outlast the holder about a task.
type taskNote struct {
	Failures   int    `json:"failures,omitempty"`
	Attempt    int    `json:"attempt,omitempty"`
	Reason     string `json:"reason,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
	// Worker is the task's last worker.
	Worker string `json:"worker,omitempty"`
}

func (r *jobRow) key() string { return r.Domain + "/" + r.ID }

func (r *jobRow) encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode the row of job %s: %w", r.ID, err)
	}
	return data, nil
}

func decodeJob(data []byte) (jobRow, error) {
	var r jobRow
	if err := json.Unmarshal(data, &r); err != nil {
		return jobRow{}, fmt.Errorf("decode a job's row: %w", err)
	}
	return r, nil
}

func (r *jobRow) succeeded(index int) bool {
	return index/8 < len(r.Succeeded) && r.Succeeded[index/8]&(1<<(index%8)) != 0
}

func (r *jobRow) setSucceeded(index int) {
	for len(r.Succeeded) <= index/8 {
		r.Succeeded = append(r.Succeeded, 0)
	}
	r.Succeeded[index/8] |= 1 << (index % 8)
}

// ended reports whether the state is final.
func ended(state caller.JobState) bool {
	switch state {
	case caller.JobStateSucceeded, caller.JobStateFailed, caller.JobStateCancelled, caller.JobStateRefused:
		return true
	default:
		return false
	}
}
