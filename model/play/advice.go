package play

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/jobs"
)

// ticketKey names a ticket.
type ticketKey struct {
	step   jobs.StepID
	worker string
}

// ask lets the adviser answer after the questions that came through the VM before.
func (c *cell) ask(a engine.AdviceRequest) {
	c.tally.Questions++
	c.tally.AdviserBusy += a.Cost
	begins := c.now
	if c.freeAt[a.Proxy].After(begins) {
		begins = c.freeAt[a.Proxy]
	}
	ends := begins.Add(a.Cost)
	c.freeAt[a.Proxy] = ends
	way := time.Duration(c.scene.Workers.Distances[int(a.Proxy[len(a.Proxy)-1])%len(c.scene.Workers.Distances)])
	c.events.add(ends.Add(way), func() { c.advise(a, ends.Sub(begins)+2*way, way) })
}

func (c *cell) advise(a engine.AdviceRequest, took, way time.Duration) {
	advice := c.plans[a.Step.Job].queue.Advice
	event := engine.AdviceAnswered{Step: a.Step, Proxy: a.Proxy, Workers: a.Workers, Cost: a.Cost, Elapsed: took, Valid: time.Duration(advice.Valid)}
	for _, id := range a.Workers {
		if goodness(a.Step, id) < advice.GoodShare {
			event.Tickets = append(event.Tickets, engine.Ticket{Worker: id, Value: "ticket"})
			c.tickets[ticketKey{a.Step, id}] = c.now.Add(time.Duration(advice.Valid))
		}
	}
	c.after(way, func() { c.apply(event) })
}

// goodness spreads the workers of a step evenly from 0 to 1.
func goodness(step jobs.StepID, worker string) float64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s/%s", step, worker)
	return rand.New(rand.NewPCG(hash.Sum64(), 0)).Float64()
}
