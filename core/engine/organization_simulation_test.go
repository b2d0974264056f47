package engine

import (
	"math/rand/v2"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/orgs"
	"tanagerstack.org/core/roster"
)

// simOrganizations are the organizations of a simulation. Jobs without organization have the empty name.
var simOrganizations = []string{"", "north", "south", "west"}

// simWidestGang is the number of members of the widest gang of randomJob.
const simWidestGang = 7

// simConfigGrace is the time after which starts must follow from a changed configuration.
const simConfigGrace = 4 * time.Second

// tightCaps returns a directory with one organization, whose cap has room for the widest gang.
func tightCaps() *orgs.Directory {
	limit := roster.Resources{Millicores: simWidestGang * 1000}
	directory, err := orgs.NewDirectory([]orgs.Organization{{Name: simOrganizations[1], Weight: 1, Cap: limit}})
	if err != nil {
		panic(err) // the list is sound
	}
	return directory
}

// newCaps returns a directory in which each organization has a random cap, no cap, or no entry. With
// settle, all caps leave room for the widest gang.
func newCaps(r *rand.Rand, settle bool) *orgs.Directory {
	var list []orgs.Organization
	for _, name := range simOrganizations[1:] {
		o := orgs.Organization{Name: name, Weight: float64(r.IntN(4))}
		amount := 1 + r.IntN(simWidestGang+3)
		if settle {
			amount = simWidestGang
		}
		switch r.IntN(6) {
		case 0:
			o.Cap.MemoryBytes = int64(amount) << 30
		case 1:
			if !settle {
				continue
			}
		case 2:
		default:
			o.Cap = roster.Resources{Millicores: int64(amount) * 1000, MemoryBytes: 16 << 30}
		}
		list = append(list, o)
	}
	directory, err := orgs.NewDirectory(list)
	if err != nil {
		panic(err) // the list is sound
	}
	return directory
}

// planCaps schedules changes of the caps up to the end of the load.
func (sim *simulation) planCaps(r *rand.Rand) {
	newDirectory := func(settle bool) *orgs.Directory {
		if sim.faults.tightCaps {
			return tightCaps()
		}
		return newCaps(r, settle)
	}
	sim.setCaps(newDirectory(false))
	for range sim.faults.capChanges {
		sim.after(randomBelow(r, simLoadTime), func() { sim.setCaps(newDirectory(false)) })
	}
	sim.after(simLoadTime, func() { sim.setCaps(newDirectory(true)) })
}

// setCaps stores a configuration with the given organizations. It reaches the leaders soon after.
func (sim *simulation) setCaps(directory *orgs.Directory) {
	config := &jobs.Config{Version: int64(len(sim.configs)) + 1, Organizations: directory}
	sim.configs = append(sim.configs, config)
	sim.configSince = append(sim.configSince, sim.now)
	for _, l := range sim.leaders {
		if !l.isolated {
			sim.after(sim.delay(), func() { sim.apply(l, ConfigChanged{Config: config}) })
		}
	}
}

// checkCap checks that a start, decided at the given time, brings its organization to no more than a
// cap that was in force since, or before by no more than simConfigGrace.
func (sim *simulation) checkCap(c Start, decided time.Time) {
	name := sim.jobs[c.Task.Job].Organization
	if name == "" {
		return
	}
	used := sim.jobs[c.Task.Job].Steps[c.Task.Step].PerTask
	for _, s := range sim.workers {
		if s.down {
			continue
		}
		for key := range s.running {
			if job := sim.jobs[key.task.Job]; job.Organization == name {
				used = ledger.Sum(used, job.Steps[key.task.Step].PerTask)
			}
		}
	}
	for i, config := range sim.configs {
		last := i == len(sim.configs)-1
		if !last && !sim.configSince[i+1].Add(simConfigGrace).After(decided) {
			continue
		}
		if config.Organizations == nil {
			return
		}
		entry, listed := config.Organizations.ByName(name)
		if !listed || ledger.Fits(used, unboundedWhereZero(entry.Cap)) {
			return
		}
	}
	sim.addViolation("%s brings organization %s to %+v, above its cap", c.Task, name, used)
}
