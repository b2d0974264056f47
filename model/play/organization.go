package play

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"tanagerstack.org/core/orgs"
	"tanagerstack.org/core/roster"
)

// Organizations describes who submits the jobs of a scenario: either Count organizations whose sizes
// follow from Skew, or those of List.
type Organizations struct {
	Count int `json:"count"`
	// Skew makes their sizes uneven: the k-th largest submits a share of the jobs that is
	// proportional to k to the power of -Skew.
	Skew float64 `json:"skew"`
	// WeightFactor is the weight of an organization relative to the jobs per second that it usually
	// submits.
	WeightFactor float64 `json:"weight-factor"`
	// List states the organizations one by one.
	List []Organization `json:"list"`
	// Surges are times in which one of them sends more.
	Surges []Surge `json:"surges"`
}

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

// Surge multiplies the rate of the organization with the given place, in List or in the order of size,
// from 0, by Factor, from At for the duration For.
type Surge struct {
	Organization int      `json:"organization"`
	At           Duration `json:"at"`
	For          Duration `json:"for"`
	Factor       float64  `json:"times"`
}

func (o *Organizations) validate(s *Scenario) error {
	_, err := o.directory(s)
	errs := []error{err}
	if (o.Count > 0) == (len(o.List) > 0) || o.Count < 0 || o.WeightFactor < 0 {
		errs = append(errs, errors.New("organizations: either count must be positive or list not empty, weight-factor not negative"))
	}
	for _, entry := range o.List {
		if !(entry.LoadShare >= 0) {
			errs = append(errs, fmt.Errorf("organization %q: load-share must not be negative", entry.Name))
		}
	}
	for _, surge := range o.Surges {
		if surge.Organization < 0 || surge.Organization >= o.size() || surge.Factor < 1 {
			errs = append(errs, fmt.Errorf("organizations: surge of organization %d by %g", surge.Organization, surge.Factor))
		}
	}
	return errors.Join(errs...)
}

// organizationName returns the name of the organization with a place in the order of size.
func organizationName(place int) string { return fmt.Sprintf("org-%02d", place) }

// size returns the number of organizations.
func (o *Organizations) size() int {
	if len(o.List) > 0 {
		return len(o.List)
	}
	return o.Count
}

// name returns the name of the organization with a place.
func (o *Organizations) name(place int) string {
	if len(o.List) > 0 {
		return o.List[place].Name
	}
	return organizationName(place)
}

// loadShare returns the part of the jobs of an organization, relative to the others.
func (o *Organizations) loadShare(place int) float64 {
	if len(o.List) > 0 {
		return o.List[place].LoadShare
	}
	return math.Pow(float64(place+1), -o.Skew)
}

// share returns the usual share of the jobs of an organization.
func (o *Organizations) share(place int) float64 {
	sum := 0.0
	for k := range o.size() {
		sum += o.loadShare(k)
	}
	return o.loadShare(place) / sum
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
	for place := range o.size() {
		share := o.share(place)
		if place == surge.Organization {
			share *= surge.Factor
		}
		if x -= share; x < 0 {
			return o.name(place)
		}
	}
	return o.name(0)
}

// directory returns the organizations as the engine is configured with them, or nil if there are none.
func (o *Organizations) directory(s *Scenario) (*orgs.Directory, error) {
	if o == nil {
		return nil, nil
	}
	rate := 0.0
	for i := range s.Queues {
		rate += s.Queues[i].PerSecond
	}
	list := make([]orgs.Organization, 0, o.size())
	for place := range o.Count {
		list = append(list, orgs.Organization{Name: o.name(place), Weight: o.WeightFactor * rate * o.share(place)})
	}
	for _, entry := range o.List {
		list = append(list, orgs.Organization{
			Name: entry.Name, Weight: entry.Weight, Cap: roster.Resources{Millicores: entry.CapMillicores, MemoryBytes: entry.CapMemoryBytes},
		})
	}
	return orgs.NewDirectory(list)
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
