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
	// onceShare of the requests are non-idempotent, and doubledShare of these are
	// sent twice at once through different entry VMs.
	onceShare    = 0.4
	doubledShare = 0.25
	// maxSends bounds how often one request is sent when no answer comes.
	maxSends = 3
	// bodyBytes is the most padding of a request body.
	bodyBytes = 2048
	// answerBytes is the longest answer that a request asks for.
	answerBytes = 8192
)

// requestDriver sends service requests at a fixed rate.
type requestDriver struct {
	opts     *Options
	balancer *balancer
	tally    *tally
	random   *rand.Rand
	prefix   string
	slots    chan struct{}
	sending  sync.WaitGroup
}

// request is one request, sent once or more.
type request struct {
	driver   *requestDriver
	caller   string
	id       string
	once     bool
	body     []byte
	notAfter time.Time
}

// run sends new requests until ctx ends, and then waits for the answers.
func (d *requestDriver) run(ctx context.Context) {
	limiter := rate.NewLimiter(rate.Limit(d.opts.RequestsPerSecond), max(1, int(d.opts.RequestsPerSecond/100)))
	for number := 0; limiter.Wait(ctx) == nil; number++ {
		r := d.newRequest(number)
		copies := 1
		if r.once && d.random.Float64() < doubledShare {
			copies = 2
		}
		for range copies {
			d.start(r)
		}
	}
	d.sending.Wait()
}

// start sends one copy of a request, once fewer than InFlight others wait.
func (d *requestDriver) start(r *request) {
	select {
	case d.slots <- struct{}{}:
	default:
		d.tally.held()
		d.slots <- struct{}{}
	}
	d.sending.Add(1)
	go r.run()
}

func (d *requestDriver) newRequest(number int) *request {
	once := d.random.Float64() < onceShare
	id := fmt.Sprintf("%s-%d", d.prefix, number)
	if once {
		id = target.OncePrefix + id
	}
	body := fmt.Appendf(nil, "answer-bytes=%d\n%s", d.random.Intn(answerBytes), id)
	body = append(body, bytes.Repeat([]byte("b"), d.random.Intn(bodyBytes))...)
	return &request{
		driver: d, id: id, once: once, body: body,
		caller:   d.opts.Callers[number%len(d.opts.Callers)].Name,
		notAfter: time.Now().Add(d.opts.Window),
	}
}

// run sends the request until it is answered, each time with the same ID.
func (r *request) run() {
	defer r.driver.sending.Done()
	defer func() { <-r.driver.slots }()
	started := time.Now()
	result := outcome{id: r.id, once: r.once}
	ctx, cancel := context.WithDeadline(context.Background(), r.notAfter.Add(answerMargin))
	defer cancel()
	var last *entry
	for sends := 1; ; sends++ {
		last = r.driver.balancer.pick(last, time.Now())
		answered := r.send(ctx, last, &result)
		if answered || sends == maxSends || time.Now().After(r.notAfter) {
			break
		}
		result.resent = true
		r.driver.tally.resent()
	}
	r.driver.tally.request(result, slow{
		id: r.id, caller: r.caller, sentAt: started, took: time.Since(started), via: last.address,
	})
}

// send sends the request once, and reports whether it was answered.
func (r *request) send(ctx context.Context, to *entry, result *outcome) bool {
	answer, err := to.clients[r.caller].SendRequest(ctx, api.SendRequestReq{Data: bytes.NewReader(r.body)},
		api.SendRequestParams{
			Service: r.driver.opts.Service, XRequestID: r.id,
			XIdempotent: api.NewOptBool(!r.once), XNotAfter: api.NewOptDateTime(r.notAfter),
		})
	if err != nil {
		return r.problem(to, err, result)
	}
	body, err := io.ReadAll(answer.Response.Data)
	if err != nil {
		to.failed(time.Now())
		return false
	}
	result.verdict = completed
	result.answer = body
	if answer.XRequestID != r.id || !target.IsAnswer(r.id, r.body, body) {
		r.driver.tally.breach(r.id, fmt.Sprintf("completed with another or a partial answer of %d bytes", len(body)))
	}
	return true
}

// problem notes an answer other than success, and reports whether it was one.
func (r *request) problem(from *entry, err error, result *outcome) bool {
	answer, answered := isAnswer(err)
	if !answered {
		from.failed(time.Now())
		r.driver.tally.refusal("no answer", brief(err))
		return false
	}
	problem := answer.Response
	switch problem.Outcome.Or("") {
	case api.ProblemOutcomeRefused:
		result.verdict = refused
		r.driver.tally.refusal("refused", problem.Reason.Or(problem.Title))
	case api.ProblemOutcomeUnknown:
		result.verdict = unknown
		r.driver.tally.refusal("unknown", problem.Reason.Or(problem.Title))
	default:
		r.driver.tally.breach(r.id, fmt.Sprintf("answered %d %s without an outcome", answer.StatusCode, problem.Title))
	}
	return true
}
