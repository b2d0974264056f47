package queue

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/roster"
)

// referenceNext is the reference model of Pass.Next. It compares all items at each
// call.
func referenceNext(items []Item, skipped map[string]bool, params PassParams) (Item, bool) {
	var best *Item
	for i := range items {
		it := &items[i]
		if !skipped[it.Job] && (best == nil || referenceBefore(it, best, params)) {
			best = it
		}
	}
	if best == nil {
		return Item{}, false
	}
	return *best, true
}

func referenceBefore(a, b *Item, params PassParams) bool {
	rank := func(it *Item) int {
		switch {
		case it.Urgent:
			return 0
		case !it.Service && !params.Now.Before(it.AcceptedAt.Add(params.AgeBatch)):
			return 1
		default:
			return 2
		}
	}
	if rank(a) != rank(b) {
		return rank(a) < rank(b)
	}
	switch rank(a) {
	case 1:
		return byAge(a, b) < 0
	case 2:
		x, y := params.Teams[a.Team].dominantShare(params.Fleet), params.Teams[b.Team].dominantShare(params.Fleet)
		if a.Team != b.Team && x != y {
			return x < y
		}
		if a.Team != b.Team {
			return a.Team < b.Team
		}
	}
	return byWindow(a, b) < 0
}

func TestPassAgainstNaiveOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		var items []Item
		params := PassParams{Now: start.Add(10 * time.Second), AgeBatch: 5 * time.Second, Fleet: roster.Resources{Millicores: 100, MemoryBytes: 100}, Teams: map[string]*Team{}}
		for i := range 3 {
			params.Teams[fmt.Sprintf("team-%d", i)] = &Team{
				Weight: rapid.SampledFrom([]float64{0, 1, 2}).Draw(t, "weight"),
				Usage:  roster.Resources{Millicores: rapid.Int64Range(0, 20).Draw(t, "used")},
			}
		}
		for i := range rapid.IntRange(1, 12).Draw(t, "jobs") {
			it := Item{
				Job: fmt.Sprintf("job-%02d", i), Team: fmt.Sprintf("team-%d", rapid.IntRange(0, 2).Draw(t, "team")),
				Urgent: rapid.Bool().Draw(t, "urgent"), Service: rapid.Bool().Draw(t, "service"),
				AcceptedAt: start.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "accepted")) * time.Second),
				NotAfter:   start.Add(time.Duration(rapid.IntRange(20, 25).Draw(t, "window")) * time.Second),
				PerTask:    roster.Resources{Millicores: rapid.Int64Range(1, 9).Draw(t, "size"), MemoryBytes: 1},
			}
			q.Add(it)
			if rapid.IntRange(0, 4).Draw(t, "removed") == 0 {
				q.Remove(it.Job)
				continue
			}
			items = append(items, it)
		}
		comparePasses(t, q.Begin(params), items, params)
	})
}

// comparePasses compares a pass with the reference model step by step and charges
// some of the jobs to their teams.
func comparePasses(t *rapid.T, pass *Pass, items []Item, params PassParams) {
	skipped := map[string]bool{}
	for {
		got, ok := pass.Next()
		want, more := referenceNext(items, skipped, params)
		if ok != more || got.Job != want.Job {
			t.Fatalf("next job is %q (%v), the reference model returns %q (%v)", got.Job, ok, want.Job, more)
		}
		if !ok {
			return
		}
		if rapid.Bool().Draw(t, "placed") {
			team := params.Teams[got.Team]
			team.Usage = ledger.Sum(team.Usage, got.PerTask)
		}
		if rapid.Bool().Draw(t, "skip") {
			pass.Skip(got)
			skipped[got.Job] = true
		}
	}
}

func TestQuotaAgainstOneByOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amount := func(label string, least, most int64) roster.Resources {
			return roster.Resources{
				Millicores:   rapid.Int64Range(least, most).Draw(t, label),
				MemoryBytes:  rapid.Int64Range(least, most).Draw(t, label),
				Accelerators: int(rapid.Int64Range(0, most).Draw(t, label)),
			}
		}
		team := Team{Quota: amount("quota", 0, 30), Usage: amount("used", 0, 30)}
		perTask := amount("per-task", 1, 5)
		limit := rapid.IntRange(0, 12).Draw(t, "limit")
		want := 0
		used := team.Usage
		over := func(quota, used, more int64) bool { return quota > 0 && more > 0 && used > quota }
		for want < limit {
			used = ledger.Sum(used, perTask)
			if over(team.Quota.Millicores, used.Millicores, perTask.Millicores) || over(team.Quota.MemoryBytes, used.MemoryBytes, perTask.MemoryBytes) ||
				over(int64(team.Quota.Accelerators), int64(used.Accelerators), int64(perTask.Accelerators)) {
				break
			}
			want++
		}
		if got := team.TasksWithinQuota(perTask, limit); got != want {
			t.Fatalf("quota allows %d tasks; charging them one by one allows %d", got, want)
		}
	})
}
