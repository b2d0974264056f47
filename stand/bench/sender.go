package bench

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	callerapi "tanagerstack.org/core/api/caller"
)

// samples collects the latencies of completed requests, and counts the other requests.
// Its methods add, measure and percentile are safe for concurrent use.
type samples struct {
	mu        sync.Mutex
	latencies []time.Duration
	// failureCounts counts the requests that did not complete, by reason.
	failureCounts map[string]int
}

func (s *samples) add(err error, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.latencies = append(s.latencies, latency)
		return
	}
	if s.failureCounts == nil {
		s.failureCounts = make(map[string]int)
	}
	s.failureCounts[failureReason(err)]++
}

// failureSummary returns the reasons of failed requests with their counts, as text.
func (s *samples) failureSummary() string {
	if len(s.failureCounts) == 0 {
		return "none"
	}
	return strings.TrimPrefix(fmt.Sprint(s.failureCounts), "map")
}

// failureReason returns the outcome and reason of a problem response, or "no answer".
func failureReason(err error) string {
	if problem := new(callerapi.ProblemStatusCode); errors.As(err, &problem) {
		return string(problem.Response.Outcome.Or("")) + " " + problem.Response.Reason.Or(problem.Response.Title)
	}
	return "no answer"
}

// percentile returns the p-th percentile of the latencies, or 0 if nothing completed.
// It sorts the samples.
func (s *samples) percentile(p float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.latencies) == 0 {
		return 0
	}
	slices.Sort(s.latencies)
	return s.latencies[min(len(s.latencies)-1, int(p/100*float64(len(s.latencies))))]
}

// measure runs call and adds its latency or its error.
func (s *samples) measure(call func() error) {
	started := time.Now()
	s.add(call(), time.Since(started))
}

// stream sends requests at a fixed rate until a given time.
type stream struct {
	// send sends one request and returns nil if it completed.
	send      func(request) error
	perSecond int
	until     time.Time
	// request returns the request with the given number.
	request func(number int) request
	samples *samples
	wg      sync.WaitGroup
}

// run sends requests until s.until, and then waits for all answers.
func (s *stream) run() {
	started := time.Now()
	for number := 0; time.Now().Before(s.until); {
		due := int(time.Since(started).Seconds() * float64(s.perSecond))
		for ; number < due; number++ {
			s.wg.Add(1)
			go (&pendingRequest{stream: s, request: s.request(number)}).run()
		}
		time.Sleep(time.Millisecond)
	}
	s.wg.Wait()
}

// pendingRequest is one request that waits for its answer.
type pendingRequest struct {
	stream  *stream
	request request
}

func (s *pendingRequest) run() {
	defer s.stream.wg.Done()
	s.stream.samples.measure(func() error { return s.stream.send(s.request) })
}

// runConcurrently runs the streams concurrently and waits for all of them.
func runConcurrently(streams ...*stream) {
	var wg sync.WaitGroup
	for _, s := range streams {
		wg.Add(1)
		go (&streamRun{stream: s, wg: &wg}).run()
	}
	wg.Wait()
}

// streamRun runs one of several concurrent streams.
type streamRun struct {
	stream *stream
	wg     *sync.WaitGroup
}

func (r *streamRun) run() {
	defer r.wg.Done()
	r.stream.run()
}
