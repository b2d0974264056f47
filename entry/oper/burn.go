package oper

import (
	"context"
	"slices"
	"time"

	api "tanagerstack.org/core/api/oper"
	"tanagerstack.org/core/burn"
	"tanagerstack.org/core/peer"
)

// burnRequest asks a VM for its burn snapshot.
type burnRequest struct {
	// Load requests the load of the last hour as well.
	Load bool `cbor:"1,keyasint,omitempty"`
}

// Kind returns the message kind.
func (burnRequest) Kind() string { return "burn" }

func (o *Service) handleBurn(_ context.Context, _ peer.Identity, q burnRequest) (burn.Snapshot, error) {
	return o.opts.Burn.Snapshot(o.opts.Now(), q.Load), nil
}

// mergedBurn is the sum of the snapshots of this VM and of all VMs that answered. It names both
// these VMs and those that did not answer.
type mergedBurn struct {
	snapshot burn.Snapshot
	vms      []string
	missing  []string
}

// collectBurn queries all other VMs and merges their snapshots with this VM's own. With load, the
// snapshots include the load of the last hour.
func (o *Service) collectBurn(ctx context.Context, load bool) mergedBurn {
	responses := queryAll[burn.Snapshot](ctx, &o.opts, burnRequest{Load: load})
	snapshots := make([]burn.Snapshot, 0, 1+len(responses.byVM))
	snapshots = append(snapshots, o.opts.Burn.Snapshot(o.opts.Now(), load))
	vms := make([]string, 0, 1+len(responses.byVM))
	vms = append(vms, o.opts.Name)
	for name, snapshot := range responses.byVM {
		snapshots = append(snapshots, snapshot)
		vms = append(vms, name)
	}
	slices.Sort(vms)
	return mergedBurn{snapshot: burn.Merge(snapshots...), vms: vms, missing: responses.missing}
}

// GetBurn returns the burn report over this VM and all VMs that answered, or ErrNoPolicy.
func (h *handler) GetBurn(ctx context.Context) (*api.Burn, error) {
	v := h.service.opts.Policy.Current()
	if v == nil {
		return nil, ErrNoPolicy
	}
	merged := h.service.collectBurn(ctx, false)
	out := &api.Burn{
		AsOf:    h.service.opts.Now(),
		Rows:    []api.BurnRow{},
		Limits:  []api.LimitHits{},
		Series:  []api.BurnSeries{},
		Vms:     merged.vms,
		Missing: merged.missing,
	}
	rows := burn.Report(merged.snapshot, v.Document)
	for i := range rows {
		out.Rows = append(out.Rows, burnRow(&rows[i]))
	}
	for _, hit := range merged.snapshot.LimitHits {
		out.Limits = append(out.Limits, api.LimitHits{Caller: hit.Caller, Limit: hit.Limit, Hits: hit.Count})
	}
	for i := range merged.snapshot.Series {
		out.Series = append(out.Series, burnSeries(&merged.snapshot.Series[i]))
	}
	return out, nil
}

func burnRow(r *burn.ReportRow) api.BurnRow {
	row := api.BurnRow{
		Caller:     r.Caller,
		Class:      r.Class,
		Objective:  api.BurnRowObjective(r.Objective),
		Target:     r.Target,
		Total:      r.Total,
		Bad:        r.Bad,
		BudgetLeft: r.BudgetLeft,
	}
	if r.Objective == burn.Waiting {
		row.P50, row.P99 = api.NewOptDuration(r.P50), api.NewOptDuration(r.P99)
	}
	for i, window := range burn.Windows() {
		row.Rates = append(row.Rates, api.BurnRate{Window: window, Rate: r.Rates[i]})
	}
	return row
}

func burnSeries(s *burn.Series) api.BurnSeries {
	out := api.BurnSeries{Caller: s.Caller, Class: s.Class, Minutes: []api.BurnMinute{}, Waits: []api.WaitQuantile{}}
	for _, minute := range s.Minutes {
		out.Minutes = append(out.Minutes, api.BurnMinute{
			At:      time.Unix(minute.Number*60, 0).UTC(),
			Total:   minute.Counts.Total,
			Refused: minute.Counts.Refused,
			Unknown: minute.Counts.Ambiguous,
			Late:    minute.Counts.Accepted - minute.Counts.InWindow,
			WaitP99: api.NewOptDuration(minute.WaitP99),
		})
	}
	for _, q := range s.WaitQuantiles() {
		out.Waits = append(out.Waits, api.WaitQuantile{Percent: q.Percent, Wait: q.Wait})
	}
	return out
}
