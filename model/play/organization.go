package play

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/orgs"
	"tanagerstack.org/core/roster"
)

// Organization is an organization that submits jobs to all queues.
type Organization struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
	// CapMillicores and CapMemoryBytes are the cap on what may be running; zero means no limit.
	CapMillicores  int64 `json:"cap-millicores"`
	CapMemoryBytes int64 `json:"cap-memory-bytes"`
	// LoadShare is the organization's part of the jobs, relative to the other organizations.
	LoadShare float64 `json:"load-share"`
}

// OrganizationBurst adds jobs of one organization in all queues, up to Factor times its usual load,
// from At for the duration For. The jobs of the others stay the same.
type OrganizationBurst struct {
	Organization string   `json:"organization"`
	At           Duration `json:"at"`
	For          Duration `json:"for"`
	Factor       float64  `json:"times"`
}

// Streams of random numbers that do not depend on each other. Those of the queues begin at 0.
const (
	organizationStream = 1 << 16
	burstStream        = 1 << 17
)

// directory returns the organizations as the engine is configured with them, or nil if there are none.
func (s *Scenario) directory() (*orgs.Directory, error) {
	if len(s.Organizations) == 0 {
		return nil, nil
	}
	list := make([]orgs.Organization, 0, len(s.Organizations))
	for _, o := range s.Organizations {
		list = append(list, orgs.Organization{Name: o.Name, Weight: o.Weight, Cap: roster.Resources{Millicores: o.CapMillicores, MemoryBytes: o.CapMemoryBytes}})
	}
	return orgs.NewDirectory(list)
}

// validateOrganizations returns the faults of the organizations and their bursts.
func (s *Scenario) validateOrganizations() error {
	_, err := s.directory()
	errs := []error{err}
	known := make(map[string]bool)
	for _, o := range s.Organizations {
		known[o.Name] = true
		if !(o.LoadShare >= 0) {
			errs = append(errs, fmt.Errorf("organization %q: load-share must not be negative", o.Name))
		}
	}
	for _, b := range s.OrganizationBursts {
		if !known[b.Organization] || b.Factor < 1 {
			errs = append(errs, fmt.Errorf("organization-bursts: organization %q must exist, and times be at least 1", b.Organization))
		}
	}
	return errors.Join(errs...)
}

// assignOrganizations gives each job an organization at random, by LoadShare.
func (s *Scenario) assignOrganizations(list []*simJob, seed uint64) {
	total := 0.0
	for _, o := range s.Organizations {
		total += o.LoadShare
	}
	r := rand.New(rand.NewPCG(seed, organizationStream))
	for _, p := range list {
		at := total * r.Float64()
		for _, o := range s.Organizations {
			p.Organization = o.Name
			if at -= o.LoadShare; at < 0 {
				break
			}
		}
	}
}

// drawOrganizationBursts returns the additional jobs of all bursts of organizations.
func (s *Scenario) drawOrganizationBursts(seed uint64, load float64) []*simJob {
	total, shares := 0.0, make(map[string]float64)
	for _, o := range s.Organizations {
		total += o.LoadShare
		shares[o.Name] = o.LoadShare
	}
	var list []*simJob
	for i, b := range s.OrganizationBursts {
		r := rand.New(rand.NewPCG(seed, burstStream+uint64(i)))
		for k := range s.Queues {
			q := &s.Queues[k]
			rate := load * q.PerSecond * shares[b.Organization] / total * (b.Factor - 1)
			if rate <= 0 {
				continue
			}
			for at := time.Duration(b.At); ; {
				at += seconds(r.ExpFloat64() / rate)
				if at >= time.Duration(b.At+b.For) {
					break
				}
				p := q.draw(r, jobs.ID(fmt.Sprintf("burst-%d-%s-%d", i, q.Name, len(list))), at)
				p.Organization = b.Organization
				list = append(list, p)
			}
		}
	}
	return list
}

// OrganizationResult holds the result for the jobs of one organization.
type OrganizationResult struct {
	Jobs, OnTime       int
	Earned, Attainable float64
}

// Share returns the earned part of the attainable value.
func (o *OrganizationResult) Share() float64 { return o.Earned / o.Attainable }

// addToOrganization adds a job to the result of its organization, with the value that it earned.
func (t *Result) addToOrganization(p *simJob, earned float64, onTime bool) {
	o := t.Organizations[p.Organization]
	if o == nil {
		return
	}
	o.Jobs++
	o.Attainable += p.value
	o.Earned += earned
	if onTime {
		o.OnTime++
	}
}
