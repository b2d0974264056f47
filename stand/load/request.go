package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand"
	"sync"
	"time"

	"golang.org/x/time/rate"

	api "tanagerstack.org/core/api/caller"
	"tanagerstack.org/stand/target"
)

const (
	// nonIdempotentShare is the share of non-idempotent requests, and duplicateShare
	// the share of these that are sent twice at once through different entry VMs.
	nonIdempotentShare = 0.4
	duplicateShare     = 0.25
	// maxSends is how often a request or job is sent at most if no answer comes.
	maxSends = 3
	// maxPaddingBytes is the upper bound of the padding of a request body.
	maxPaddingBytes = 2048
	// maxAnswerBytes is the upper bound of the answer length that a request asks for.
	maxAnswerBytes = 8192
)

// requestDriver sends service requests at a fixed rate.
type requestDriver struct {
	opts     *Options
	balancer *balancer
	recorder *recorder
	random   *rand.Rand
	prefix   string
	inFlight chan struct{}
	wg       sync.WaitGroup
}

// request is a service request, which may be sent several times with the same ID.
type request struct {
	driver        *requestDriver
	caller        string
	id            string
	nonIdempotent bool
	body          []byte
	notAfter      time.Time
}

// run sends new requests until ctx is done, and then waits for the answers.
func (d *requestDriver) run(ctx context.Context) {
	limiter := rate.NewLimiter(rate.Limit(d.opts.RequestsPerSecond), max(1, int(d.opts.RequestsPerSecond/100)))
	for number := 0; limiter.Wait(ctx) == nil; number++ {
		r := d.newRequest(number)
		copies := 1
		if r.nonIdempotent && d.random.Float64() < duplicateShare {
			copies = 2
		}
		for range copies {
			d.start(r)
		}
	}
	d.wg.Wait()
}

// start sends one copy of a request. It blocks while Options.MaxInFlight requests wait
// for their answer.
func (d *requestDriver) start(r *request) {
	select {
	case d.inFlight <- struct{}{}:
	default:
		d.recorder.countInFlightWait()
		d.inFlight <- struct{}{}
	}
	d.wg.Add(1)
	go r.run()
}

func (d *requestDriver) newRequest(number int) *request {
	nonIdempotent := d.random.Float64() < nonIdempotentShare
	id := fmt.Sprintf("%s-%d", d.prefix, number)
	if nonIdempotent {
		id = target.OncePrefix + id
	}
	body := fmt.Appendf(nil, "answer-bytes=%d\n%s", d.random.Intn(maxAnswerBytes), id)
	body = append(body, bytes.Repeat([]byte("b"), d.random.Intn(maxPaddingBytes))...)
	return &request{
		driver: d, id: id, nonIdempotent: nonIdempotent, body: body,
		caller:   d.opts.Callers[number%len(d.opts.Callers)].Name,
		notAfter: time.Now().Add(d.opts.Window),
	}
}

// run sends the request until it is answered, its window has passed, or it was sent
// maxSends times. All sends have the same ID.
func (r *request) run() {
	defer r.driver.wg.Done()
	defer func() { <-r.driver.inFlight }()
	started := time.Now()
	result := requestResult{id: r.id, nonIdempotent: r.nonIdempotent}
	ctx, cancel := context.WithDeadline(context.Background(), r.notAfter.Add(answerGrace))
	defer cancel()
	var last *entryVM
	for sends := 1; ; sends++ {
		last = r.driver.balancer.pick(last, time.Now())
		answered := r.send(ctx, last, &result)
		if answered || sends == maxSends || time.Now().After(r.notAfter) {
			break
		}
		result.resent = true
		r.driver.recorder.countResend()
	}
	r.driver.recorder.addRequest(result, slowRequest{
		id: r.id, caller: r.caller, sentAt: started, took: time.Since(started), via: last.address,
	})
}

// send sends the request once, and reports whether it was answered.
func (r *request) send(ctx context.Context, to *entryVM, result *requestResult) bool {
	answer, err := to.clients[r.caller].SendRequest(ctx, api.SendRequestReq{Data: bytes.NewReader(r.body)},
		api.SendRequestParams{
			Service: r.driver.opts.Service, XRequestID: r.id,
			XIdempotent: api.NewOptBool(!r.nonIdempotent), XNotAfter: api.NewOptDateTime(r.notAfter),
		})
	if err != nil {
		return r.recordProblem(to, err, result)
	}
	body, err := io.ReadAll(answer.Response.Data)
	if err != nil {
		to.markFailed(time.Now())
		return false
	}
	result.outcome = completed
	result.answer = body
	if answer.XRequestID != r.id || !target.IsAnswer(r.id, r.body, body) {
		r.driver.recorder.addViolation(r.id, fmt.Sprintf("completed with a wrong or truncated answer of %d bytes", len(body)))
	}
	return true
}

// recordProblem records why a send failed, and reports whether it was answered.
func (r *request) recordProblem(from *entryVM, err error, result *requestResult) bool {
	answer, answered := asProblem(err)
	if !answered {
		from.markFailed(time.Now())
		r.driver.recorder.countProblem("no answer:", errorKind(err))
		return false
	}
	problem := answer.Response
	switch problem.Outcome.Or("") {
	case api.ProblemOutcomeRefused:
		result.outcome = refused
		r.driver.recorder.countProblem("refused:", problem.Reason.Or(problem.Title))
	case api.ProblemOutcomeUnknown:
		result.outcome = unknown
		r.driver.recorder.countProblem("unknown:", problem.Reason.Or(problem.Title))
	default:
		r.driver.recorder.addViolation(r.id, fmt.Sprintf("answered %d %s without an outcome field", answer.StatusCode, problem.Title))
	}
	return true
}
