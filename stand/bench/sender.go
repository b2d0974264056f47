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

// samples are the latencies of completed requests. It is safe for concurrent use.
type samples struct {
	mu   sync.Mutex
	took []time.Duration
	// failed counts the others by the reason that they were answered with.
	failed map[string]int
}

func (s *samples) add(err error, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.took = append(s.took, took)
		return
	}
	if s.failed == nil {
		s.failed = make(map[string]int)
	}
	s.failed[reason(err)]++
}

// failures returns the reasons with their counts, for people.
func (s *samples) failures() string {
	if len(s.failed) == 0 {
		return "none"
	}
	return strings.TrimPrefix(fmt.Sprint(s.failed), "map")
}

// reason returns why a request did not complete.
func reason(err error) string {
	if problem := new(callerapi.ProblemStatusCode); errors.As(err, &problem) {
		return string(problem.Response.Outcome.Or("")) + " " + problem.Response.Reason.Or(problem.Response.Title)
	}
	return "no answer"
}

// percentile returns the p-th percentile, or zero if nothing completed.
func (s *samples) percentile(p float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.took) == 0 {
		return 0
	}
	slices.Sort(s.took)
	return s.took[min(len(s.took)-1, int(p/100*float64(len(s.took))))]
}

// timed runs call and notes how long it took.
func (s *samples) timed(call func() error) {
	started := time.Now()
	s.add(call(), time.Since(started))
}

// stream sends requests at a fixed rate until it is due to end.
type stream struct {
	// send sends one request; its error says why it did not complete.
	send      func(request) error
	perSecond int
	until     time.Time
	// request returns the request with the given number.
	request func(number int) request
	into    *samples
	sending sync.WaitGroup
}

// run sends and waits for all answers.
func (s *stream) run() {
	started := time.Now()
	for number := 0; time.Now().Before(s.until); {
		due := int(time.Since(started).Seconds() * float64(s.perSecond))
		for ; number < due; number++ {
			s.sending.Add(1)
			go (&sending{stream: s, request: s.request(number)}).run()
		}
		time.Sleep(time.Millisecond)
	}
	s.sending.Wait()
}

// sending is one request on its way.
type sending struct {
	stream  *stream
	request request
}

func (s *sending) run() {
	defer s.stream.sending.Done()
	s.stream.into.timed(func() error { return s.stream.send(s.request) })
}

// beside runs streams side by side.
func beside(streams ...*stream) {
	var all sync.WaitGroup
	for _, s := range streams {
		all.Add(1)
		go (&joined{stream: s, all: &all}).run()
	}
	all.Wait()
}

// joined is one of several streams.
type joined struct {
	stream *stream
	all    *sync.WaitGroup
}

func (j *joined) run() {
	defer j.all.Done()
	j.stream.run()
}
