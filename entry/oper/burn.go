package oper

import (
	"context"
	"slices"
	"time"

	api "tanagerstack.org/core/api/oper"
	"tanagerstack.org/core/burn"
	"tanagerstack.org/core/peer"
)

// burnQuestion asks a VM for what it counted.
type burnQuestion struct {
	// Load asks for the load of the last hour too.
	Load bool `cbor:"1,keyasint,omitempty"`
}

// Kind names the message.
func (burnQuestion) Kind() string { return "burn" }

func (o *Operators) handleBurn(_ context.Context, _ peer.Identity, q burnQuestion) (burn.Snapshot, error) {
	return o.opts.Burn.Snapshot(o.opts.Now(), q.Load), nil
}

// mergedBurn is the sum of the snapshots of all VMs that answered.
type mergedBurn struct {
	snapshot burn.Snapshot
	vms      []string
	missing  []string
}

func (o *Operators) mergeBurn(ctx context.Context, load bool) mergedBurn {
	said := askAll[burn.Snapshot](ctx, &o.opts, burnQuestion{Load: load})
	snapshots := make([]burn.Snapshot, 0, 1+len(said.by))
	snapshots = append(snapshots, o.opts.Burn.Snapshot(o.opts.Now(), load))
	vms := make([]string, 0, 1+len(said.by))
	vms = append(vms, o.opts.Name)
	for name, snapshot := range said.by {
		snapshots = append(snapshots, snapshot)
		vms = append(vms, name)
	}
	slices.Sort(vms)
	return mergedBurn{snapshot: burn.Merge(snapshots...), vms: vms, missing: said.missing}
}

// GetBurn returns the burn report of all VMs that answered.
func (h *handler) GetBurn(ctx context.Context) (*api.Burn, error) {
	v := h.operators.opts.Policy.Current()
	if v == nil {
		return nil, ErrNoPolicy
	}
	merged := h.operators.mergeBurn(ctx, false)
	out := &api.Burn{
		AsOf:    h.operators.opts.Now(),
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
