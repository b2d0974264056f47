package play

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/intake"
	"tanagerstack.org/core/roster"
)

const (
	// helloInterval is the time between two heartbeats of a VM, each of which brings it a snapshot.
	helloInterval = 400 * time.Millisecond
	// snapshotLatency is the time from the leader's reply to its arrival at a VM in another region.
	snapshotLatency = 12 * time.Millisecond
	// maxSubmissions bounds how often a caller submits a job: once, and four times more.
	maxSubmissions = 5
)

// door decides at each VM whether a job is accepted.
type door struct {
	rules intake.Rules
	rand  *rand.Rand
	// snapshots holds the last snapshot that each VM got.
	snapshots []*intake.Snapshot
	// last is the leader's last snapshot.
	last *intake.Snapshot
}

// snapshotInterval is how long the leader sends the same snapshot to several VMs.
const snapshotInterval = 100 * time.Millisecond

// SimulateAdmission is Simulate with refusals by rules. The zero rules accept all jobs. A refused caller
// submits the job again at the time that it was told, at most four times and within its patience.
func SimulateAdmission(s *Scenario, policy engine.Policy, rules intake.Rules, seed uint64, load float64) *Result {
	c := newSimulation(s, policy, seed)
	if rules != (intake.Rules{}) {
		c.door = &door{rules: rules, rand: rand.New(rand.NewPCG(seed, 1<<33)), snapshots: make([]*intake.Snapshot, s.VMs)}
		for vm := range s.VMs {
			c.after(helloInterval*time.Duration(vm)/time.Duration(s.VMs), func() { c.heartbeat(vm) })
		}
	}
	return c.simulate(seed, load)
}

// heartbeat brings a VM the leader's snapshot.
func (c *simulation) heartbeat(vm int) {
	d := c.door
	if d.last == nil || c.now.Sub(d.last.At) >= snapshotInterval {
		d.last = c.engine.LoadSnapshot(c.now)
		d.last.At = c.now
	}
	received := d.last.Clone()
	c.after(snapshotLatency, func() { d.snapshots[vm] = received })
	c.after(helloInterval, func() { c.heartbeat(vm) })
}

// admit decides about a submission at the VM that the caller reached, and has a refused caller come back.
func (c *simulation) admit(p *simJob) bool {
	p.submissions++
	p.refused = ""
	d := c.door
	if d == nil {
		return true
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte{byte(p.submissions)})
	_, _ = hash.Write([]byte(p.ID))
	snapshot := d.snapshots[hash.Sum64()%uint64(len(d.snapshots))]
	request := snapshot.NewRequest(&p.Job, roster.Resources{}, d.rand.Float64())
	decision := snapshot.Decide(c.now, request, d.rules)
	if decision.Accepted() {
		snapshot.NoteAccepted(c.now, request)
		return true
	}
	p.refused = string(decision.Reason)
	c.result.Refusals[p.refused]++
	waited := c.now.Sub(startTime.Add(p.arrivalOffset))
	canceled := p.canceledAfter > 0 && waited+decision.RetryAfter >= p.canceledAfter
	if decision.RetryAfter > 0 && p.submissions < maxSubmissions && !canceled && waited+decision.RetryAfter <= time.Duration(c.scenario.Patience) {
		c.after(decision.RetryAfter, func() { c.submit(p) })
	}
	return false
}
