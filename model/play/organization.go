package play

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"tanagerstack.org/core/orgs"
)

// Organizations describes who submits the jobs of a scenario.
type Organizations struct {
	Count int `json:"count"`
	// Skew makes their sizes uneven: the k-th largest submits a share of the jobs that is
	// proportional to k to the power of -Skew.
	Skew float64 `json:"skew"`
	// WeightFactor is the weight of an organization relative to the jobs per second that it usually
	// submits.
	WeightFactor float64 `json:"weight-factor"`
	// Surges are times in which one of them sends more.
	Surges []Surge `json:"surges"`
}

// Surge multiplies the rate of the organization with the given place in the order of size, from 0,
// by Factor, from At for the duration For.
type Surge struct {
	Organization int      `json:"organization"`
	At           Duration `json:"at"`
	For          Duration `json:"for"`
	Factor       float64  `json:"times"`
}

func (o *Organizations) validate() error {
	errs := make([]error, 0, len(o.Surges)+1)
	if o.Count <= 0 || o.WeightFactor < 0 {
		errs = append(errs, errors.New("organizations: count must be positive, weight-factor not negative"))
	}
	for _, s := range o.Surges {
		if s.Organization < 0 || s.Organization >= o.Count || s.Factor < 1 {
			errs = append(errs, fmt.Errorf("organizations: surge of organization %d by %g", s.Organization, s.Factor))
		}
	}
	return errors.Join(errs...)
}

// organizationName returns the name of the organization with a place in the order of size.
func organizationName(place int) string { return fmt.Sprintf("org-%02d", place) }

// share returns the usual share of the jobs of an organization.
func (o *Organizations) share(place int) float64 {
	sum := 0.0
	for k := range o.Count {
		sum += math.Pow(float64(k+1), -o.Skew)
	}
	return math.Pow(float64(place+1), -o.Skew) / sum
}

// surgeAt returns the surge of a time, with factor 1 if there is none.
func (o *Organizations) surgeAt(at time.Duration) Surge {
	if o != nil {
		for _, s := range o.Surges {
			if at >= time.Duration(s.At) && at < time.Duration(s.At+s.For) {
				return s
			}
		}
	}
	return Surge{Factor: 1}
}

// surgeFactor returns the factor by which a surge raises the rate of all jobs together.
func (o *Organizations) surgeFactor(at time.Duration) float64 {
	s := o.surgeAt(at)
	if s.Factor == 1 {
		return 1
	}
	return 1 + o.share(s.Organization)*(s.Factor-1)
}

// draw returns the organization of a job that arrives at the given offset.
func (o *Organizations) draw(r *rand.Rand, at time.Duration) string {
	surge := o.surgeAt(at)
	x := r.Float64() * o.surgeFactor(at)
	for place := range o.Count {
		share := o.share(place)
		if place == surge.Organization {
			share *= surge.Factor
		}
		if x -= share; x < 0 {
			return organizationName(place)
		}
	}
	return organizationName(0)
}

// directory returns the organizations as the engine is configured with them, or nil if there are none.
func (o *Organizations) directory(s *Scenario) *orgs.Directory {
	if o == nil {
		return nil
	}
	rate := 0.0
	for i := range s.Queues {
		rate += s.Queues[i].PerSecond
	}
	list := make([]orgs.Organization, 0, o.Count)
	for place := range o.Count {
		list = append(list, orgs.Organization{Name: organizationName(place), Weight: o.WeightFactor * rate * o.share(place)})
	}
	directory, err := orgs.NewDirectory(list)
	if err != nil {
		panic(err) // names are unique, and validate has checked the factor
	}
	return directory
}

// extrasStream is the stream of random numbers for what older scenarios lack, so that their jobs stay
// the same for the same seed.
const extrasStream = 1 << 40

// drawExtras draws the organizations, checkpoints and cancellations of the jobs.
func (s *Scenario) drawExtras(seed uint64, list []*simJob) {
	r := rand.New(rand.NewPCG(seed, extrasStream))
	for _, p := range list {
		if s.Organizations != nil {
			p.Organization = s.Organizations.draw(r, p.arrivalOffset)
		}
		saves := r.Float64() < p.queue.CheckpointShare
		for i := range p.Steps {
			p.Steps[i].SavesCheckpoints = saves
		}
		if r.Float64() < p.queue.CancelShare {
			p.canceledAfter = time.Duration(r.Float64() * float64(p.objective))
		}
	}
}
