package play

import (
	"fmt"
	"strconv"
	"time"
)

// progress returns the share of the work that is done.
func (r *run) progress(now time.Time) float64 {
	if !r.active || r.duration <= 0 {
		return r.begunAt
	}
	return r.begunAt + (1-r.begunAt)*float64(now.Sub(r.startedAt))/float64(r.duration)
}

// resume shortens a run by the work that a checkpoint holds. A checkpoint is the share of the work
// that is done, of fixed width, since the engine compares them as text.
func (r *run) resume(checkpoint string) {
	share, err := strconv.ParseFloat(checkpoint, 64)
	if err != nil {
		return
	}
	r.begunAt = share
	r.duration = time.Duration((1-share)*float64(r.duration)) + time.Duration(r.worker.sim.scenario.Workers.ResumeTime)
}

// checkpoint returns the last checkpoint of a run, or nothing if there is none.
func (r *run) checkpoint(now time.Time) string {
	interval := time.Duration(r.worker.sim.scenario.Workers.CheckpointInterval)
	if !r.active || !r.job.Steps[r.task.Step].SavesCheckpoints || interval <= 0 {
		return ""
	}
	saved := now.Sub(r.startedAt) / interval * interval
	if saved == 0 {
		return ""
	}
	return fmt.Sprintf("%.6f", min(r.progress(r.startedAt.Add(saved)), 1))
}
