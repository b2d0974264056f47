package queue

import (
	"sort"
	"time"

	"tanagerstack.org/core/roster"
)

// Frame is what a Pass goes by, as of one instant.
type PassParams struct {
	Now time.Time
	// AgeBatch is the waiting time after which batch goes before shares.
	AgeBatch time.Duration
	// Fleet is the capacity that shares are measured against.
	Fleet roster.Resources
	// Teams has the teams by name. The pass reads it anew at each step, so that
	// what the caller charges to a team counts at once. A team that is not in it
	// has no quota and holds nothing.
	Teams map[string]*Team
}

// Pass walks a queue once. The queue must not change meanwhile.
type Pass struct {
	frame   PassParams
	skipped map[string]bool
	urgent  line
	aging   line
	// teams has a line for each team with waiting jobs.
	teams []line
}

// line is a sorted list of jobs with a cursor at the first that is not skipped.
type line struct {
	team  string
	items []*Item
	next  int
}

// Begin starts a pass.
func (q *Queue) Begin(frame PassParams) *Pass {
	p := &Pass{frame: frame, skipped: make(map[string]bool)}
	p.urgent.items = q.urgent
	p.aging.items = q.aging
	for team, items := range q.teams {
		p.teams = append(p.teams, line{team: team, items: items})
	}
	sort.Slice(p.teams, func(i, j int) bool { return p.teams[i].team < p.teams[j].team })
	return p
}

// Next returns the job whose turn it is, or false when all were skipped. It
// returns the same job again until the caller skips it, or charges tasks to its team so that another is poorer.
func (p *Pass) Next() (Item, bool) {
	if it := p.head(&p.urgent); it != nil {
		return *it, true
	}
	if it := p.head(&p.aging); it != nil && p.frame.Now.Sub(it.AcceptedAt) >= p.frame.AgeBatch {
		return *it, true
	}
	if it := p.poorest(); it != nil {
		return *it, true
	}
	return Item{}, false
}

// Skip takes a job out of the rest of the pass.
func (p *Pass) Skip(it Item) { p.skipped[it.Job] = true }

// Allowed is how many of n tasks the team's quota still allows.
func (p *Pass) TasksWithinQuota(it Item, n int) int {
	return p.team(it.Team).TasksWithinQuota(it.PerTask, n)
}

// poorest is the first job of the team with the least dominant share.
func (p *Pass) poorest() *Item {
	var best *Item
	bestShare := 0.0
	for i := range p.teams {
		it := p.head(&p.teams[i])
		if it == nil {
			continue
		}
		share := p.team(it.Team).dominant(p.frame.Fleet)
		if best == nil || share < bestShare {
			best, bestShare = it, share
		}
	}
	return best
}

// head moves the cursor past skipped jobs and returns the job there.
func (p *Pass) head(l *line) *Item {
	for l.next < len(l.items) {
		if it := l.items[l.next]; !p.skipped[it.Job] {
			return it
		}
		l.next++
	}
	return nil
}

func (p *Pass) team(name string) Team {
	if team := p.frame.Teams[name]; team != nil {
		return *team
	}
	return Team{}
}
