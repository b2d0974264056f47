package engine

import (
	"fmt"
	"testing"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/orgs"
)

// TestWeightsRiseWithTypicalLoad guards against work that is excess because all organizations send more than
// usual, and against a factor that one organization raises for itself. Loads are multiples of the weights.
func TestWeightsRiseWithTypicalLoad(t *testing.T) {
	const seconds = 20
	cases := map[string]struct {
		policy Policy
		loads  [4]float64
		// atMost and least bound the share of the jobs of each organization that are excess.
		atMost, least [4]float64
	}{
		"all at half of their weights":  {loads: [4]float64{0.5, 0.5, 0.5, 0.5}},
		"all at three times":            {loads: [4]float64{3, 3, 3, 3}, atMost: [4]float64{0.15, 0.15, 0.15, 0.15}},
		"the same, with fixed weights":  {policy: Policy{FixedWeights: true}, loads: [4]float64{3, 3, 3, 3}, atMost: [4]float64{0.7, 0.7, 0.7, 0.7}, least: [4]float64{0.6, 0.6, 0.6, 0.6}},
		"one at eight times":            {loads: [4]float64{8, 0.5, 0.5, 0.5}, atMost: [4]float64{0.9, 0, 0, 0}, least: [4]float64{0.8, 0, 0, 0}},
		"one at eight times, none else": {loads: [4]float64{8, 0, 0, 0}, atMost: [4]float64{0.9, 0, 0, 0}, least: [4]float64{0.8, 0, 0, 0}},
		"one far beyond the others":     {loads: [4]float64{16, 2, 2, 2}, atMost: [4]float64{0.9, 0.15, 0.15, 0.15}, least: [4]float64{0.8, 0, 0, 0}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{Policy: c.policy})
			list := make([]orgs.Organization, 0, len(c.loads))
			for o := range c.loads {
				list = append(list, orgs.Organization{Name: fmt.Sprintf("org%d", o), Weight: 4})
			}
			e.setOrganizations(t, list...)
			total, excess, due := [4]float64{}, [4]float64{}, [4]float64{}
			for range seconds * 50 {
				e.now = e.now.Add(20 * time.Millisecond)
				for o, load := range c.loads {
					for due[o] += load * 4 / 50; due[o] >= 1; due[o]-- {
						job := orgJob(jobs.ID(fmt.Sprintf("job%d-%.0f", o, total[o])), 1)
						job.Organization, job.ArrivedAt = fmt.Sprintf("org%d", o), e.now
						e.apply(JobAccepted{Job: job})
						e.markExcess(e.now)
						total[o]++
						if e.jobs[job.ID].excess {
							excess[o]++
						}
					}
				}
			}
			for o := range c.loads {
				if share := excess[o] / max(total[o], 1); share > c.atMost[o] || share < c.least[o] {
					t.Errorf("%.2f of the jobs of organization %d are excess, want %.2f to %.2f", share, o, c.least[o], c.atMost[o])
				}
			}
		})
	}
}

// TestSnapshotKeepsWeights guards against a snapshot that changes the weights by which later jobs are marked.
func TestSnapshotKeepsWeights(t *testing.T) {
	e := newLoadTest(t)
	at := e.weightFactorAt
	e.now = e.now.Add(time.Second)
	e.LoadSnapshot(e.now)
	if !e.weightFactorAt.Equal(at) {
		t.Error("the factor of the weights was computed anew for a snapshot")
	}
}
