package play

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/jobs"
)

// ticketKey identifies a ticket by the step and the worker it allows.
type ticketKey struct {
	step   jobs.StepID
	worker string
}

// requestAdvice schedules the adviser's answer. Requests through the same VM are answered one
// after another, so the answer waits for the earlier requests of that VM.
func (c *simulation) requestAdvice(a engine.AdviceRequest) {
	c.result.AdviceRequests++
	c.result.AdviserTime += a.Cost
	begins := c.now
	if c.proxyFreeAt[a.Proxy].After(begins) {
		begins = c.proxyFreeAt[a.Proxy]
	}
	ends := begins.Add(a.Cost)
	c.proxyFreeAt[a.Proxy] = ends
	latency := time.Duration(c.scenario.Workers.Latencies[int(a.Proxy[len(a.Proxy)-1])%len(c.scenario.Workers.Latencies)])
	c.events.add(ends.Add(latency), func() { c.answerAdvice(a, ends.Sub(begins)+2*latency, latency) })
}

// answerAdvice issues tickets for the eligible workers and sends them to the engine. Elapsed is
// the time that the engine sees for the request, latency the one-way network delay.
func (c *simulation) answerAdvice(a engine.AdviceRequest, elapsed, latency time.Duration) {
	advice := c.jobs[a.Step.Job].queue.Advice
	event := engine.AdviceAnswered{Step: a.Step, Proxy: a.Proxy, Workers: a.Workers, Cost: a.Cost, Elapsed: elapsed, Valid: time.Duration(advice.TicketValidity)}
	for _, id := range a.Workers {
		if eligibilityScore(a.Step, id) < advice.EligibleShare {
			event.Tickets = append(event.Tickets, engine.Ticket{Worker: id, Value: "ticket"})
			c.tickets[ticketKey{a.Step, id}] = c.now.Add(time.Duration(advice.TicketValidity))
		}
	}
	c.after(latency, func() { c.apply(event) })
}

// eligibilityScore returns a pseudo-random value in [0, 1) that depends only on the step and the
// worker. The adviser allows a worker if its score is below AdviceSettings.EligibleShare.
func eligibilityScore(step jobs.StepID, worker string) float64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s/%s", step, worker)
	return rand.New(rand.NewPCG(hash.Sum64(), 0)).Float64()
}
