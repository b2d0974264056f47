package sched

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"tanagerstack.org/core/api/caller"
)

const loadRetry = 200 * time.Millisecond

// loader reads what earlier holders left, then starts the other controllers.
type loader struct{ h *holder }

func (l *loader) run(ctx context.Context) {
	defer l.h.loops.Done()
	for {
		err := l.h.load(ctx)
		if err == nil {
			break
		}
		klog.InfoS("The rows of the domain's jobs could not be read; trying again", "err", err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(loadRetry):
		}
	}
	l.h.loops.Add(4)
	go (&watcher{h: l.h}).run(ctx)
	go (&placer{h: l.h}).run(ctx)
	go (&recorder{h: l.h}).run(ctx)
	go (&inbox{h: l.h}).run(ctx)
}

// load reads the fleet's row and all jobs that have not ended.
func (h *holder) load(ctx context.Context) error {
	fleetRow, err := h.s.opts.Tables.Read(ctx, tableFleet, h.s.opts.Domain)
	if err != nil {
		return err
	}
	rows, err := h.s.opts.Tables.Scan(ctx, tableJobs, h.s.opts.Domain+"/")
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.fleet.decode(fleetRow); err != nil {
		return err
	}
	for _, row := range rows {
		r, err := decodeJob(row.Value)
		if err != nil {
			return err
		}
		h.add(newJob(r, row.Version, true))
	}
	h.loaded = true
	klog.InfoS("Took over the domain's scheduler", "domain", h.s.opts.Domain, "epoch", h.grant.Epoch, "jobs", len(h.jobs))
	return nil
}

// add takes a job into the holder's state. The lock must be held.
func (h *holder) add(j *job) {
	h.jobs[j.row.ID] = j
	if j.row.CancelRequested && j.ends == "" {
		j.ends, j.why = caller.JobStateCancelled, "canceled by its caller"
	}
	h.enqueue(j)
	h.settleJob(j)
}

// accept takes in a job's row from the entry VM that committed it, or from the inbox.
func (h *holder) accept(data []byte, version int64) error {
	row, err := decodeJob(data)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.loaded {
		return nil
	}
	if known := h.jobs[row.ID]; known != nil {
		h.merge(known, row, version)
		return nil
	}
	if ended(row.State) || row.Domain != h.s.opts.Domain {
		return nil
	}
	h.add(newJob(row, version, false))
	return nil
}

// merge takes over what another VM wrote into a job's row. The lock must be held.
func (h *holder) merge(j *job, row jobRow, version int64) {
	if version <= j.version {
		return
	}
	j.version = version
	for i := range j.tasks {
		if row.succeeded(i) {
			j.row.setSucceeded(i)
		}
	}
	if row.CancelRequested && !j.row.CancelRequested {
		h.requestCancel(j)
	}
}

// inbox reads the rows that tell of new and changed jobs.
type inbox struct{ h *holder }

func (b *inbox) run(ctx context.Context) {
	defer b.h.loops.Done()
	ticker := time.NewTicker(inboxEvery)
	defer ticker.Stop()
	for {
		if err := b.read(ctx); err != nil && ctx.Err() == nil {
			klog.V(2).InfoS("The inbox could not be read; trying again", "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
