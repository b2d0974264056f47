package queue

import (
	"sort"
	"time"

	"tanagerstack.org/core/roster"
)

// PassParams are the inputs of a Pass as of one instant.
type PassParams struct {
	Now time.Time
	// AgeBatch is the waiting time after which batch and gang jobs are ordered by age,
	// ahead of the order by shares.
	AgeBatch time.Duration
	// Fleet is the total capacity, of which teams have shares.
	Fleet roster.Resources
	// Teams holds the teams by name. The pass reads it at each step, so that charges
	// made during the pass count at once. A team that is missing has no quota and uses
	// nothing.
	Teams map[string]*Team
}

// Pass is one iteration over a queue. The queue must not change during the pass.
type Pass struct {
	params  PassParams
	skipped map[string]bool
	urgent  jobList
	aging   jobList
	// teams has a list for each team with waiting jobs that are not urgent.
	teams []jobList
}

// jobList is a sorted list of jobs; cursor is the index of the first job that may not
// have been skipped.
type jobList struct {
	team   string
	items  []*Item
	cursor int
}

// Begin starts a pass over the queue.
func (q *Queue) Begin(params PassParams) *Pass {
	p := &Pass{params: params, skipped: make(map[string]bool)}
	p.urgent.items = q.urgent
	p.aging.items = q.aging
	for team, items := range q.teams {
		p.teams = append(p.teams, jobList{team: team, items: items})
	}
	sort.Slice(p.teams, func(i, j int) bool { return p.teams[i].team < p.teams[j].team })
	return p
}

// Next returns the next job, or false if all jobs have been skipped. It returns the
// same job again until the job is skipped or until charges to its team give another
// team a lower share.
func (p *Pass) Next() (Item, bool) {
	if it := p.head(&p.urgent); it != nil {
		return *it, true
	}
	if it := p.head(&p.aging); it != nil && p.params.Now.Sub(it.AcceptedAt) >= p.params.AgeBatch {
		return *it, true
	}
	if it := p.nextByShare(); it != nil {
		return *it, true
	}
	return Item{}, false
}

// Skip excludes a job from the rest of the pass.
func (p *Pass) Skip(it Item) { p.skipped[it.Job] = true }

// TasksWithinQuota returns how many of n tasks of the job its team's quota allows.
func (p *Pass) TasksWithinQuota(it Item, n int) int {
	return p.team(it.Team).TasksWithinQuota(it.PerTask, n)
}

// nextByShare returns the first job of the team with the lowest weighted dominant
// share, or nil if there are none.
func (p *Pass) nextByShare() *Item {
	var best *Item
	bestShare := 0.0
	for i := range p.teams {
		it := p.head(&p.teams[i])
		if it == nil {
			continue
		}
		share := p.team(it.Team).dominantShare(p.params.Fleet)
		if best == nil || share < bestShare {
			best, bestShare = it, share
		}
	}
	return best
}

// head moves the cursor of l past skipped jobs and returns the job at the cursor, or
// nil at the end of the list.
func (p *Pass) head(l *jobList) *Item {
	for l.cursor < len(l.items) {
		if it := l.items[l.cursor]; !p.skipped[it.Job] {
			return it
		}
		l.cursor++
	}
	return nil
}

// team returns the named team, or a team without quota and usage if it is unknown.
func (p *Pass) team(name string) Team {
	if team := p.params.Teams[name]; team != nil {
		return *team
	}
	return Team{}
}
