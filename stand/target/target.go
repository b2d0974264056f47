package target

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	faultapi "tanagerstack.org/core/api/fault"
	api "tanagerstack.org/core/api/target"
	"tanagerstack.org/stand/faults"
	"tanagerstack.org/stand/reply"
)

// maxBodyBytes is the maximum size of a request body. The rest of a longer body is ignored.
const maxBodyBytes = 16 << 20

// Target is one fake service target.
type Target struct {
	name        string
	service     string
	slots       int
	defaultWork time.Duration
	record      *record
	injector    *faults.Injector

	mu   sync.Mutex
	busy int
}

// Serve runs a request in a slot. It answers 503 without running the request if the target is
// leaving, runs another service or has no free slot, or if the start deadline has passed.
func (t *Target) Serve(_ context.Context, req api.ServeReq, params api.ServeParams) (api.ServeRes, error) {
	body, err := io.ReadAll(io.LimitReader(req, maxBodyBytes))
	if err != nil {
		return nil, reply.New(http.StatusBadRequest, "short-body", "reading the body of request %s: %v", params.XRequestID, err)
	}
	if refusal := t.admit(&params, time.Now()); refusal != nil {
		return refusedProblem(refusal), nil
	}
	answer := t.execute(params.XRequestID, body)
	if _, failing := t.injector.Active(faultapi.FaultKindFailAll, t.name); failing {
		return nil, reply.New(http.StatusInternalServerError, "failed", "target %s fails everything", t.name)
	}
	return &api.ServeOKHeaders{XRequestID: params.XRequestID, Response: api.ServeOK{Data: bytes.NewReader(answer)}}, nil
}

// GetState returns the number of slots, how many are busy, and whether the target is leaving.
func (t *Target) GetState(context.Context) (*api.TargetState, error) {
	_, leaving := t.injector.Active(faultapi.FaultKindLeaving, t.name)
	t.mu.Lock()
	defer t.mu.Unlock()
	return &api.TargetState{Slots: t.slots, Busy: t.busy, Leaving: leaving}, nil
}

// NewError converts an error to an RFC 9457 problem document.
func (t *Target) NewError(_ context.Context, err error) *api.ProblemStatusCode {
	e := reply.From(err)
	return &api.ProblemStatusCode{StatusCode: e.Status, Response: problem(e)}
}

// admit takes a slot for a request, or returns the reason why the request is not run.
func (t *Target) admit(params *api.ServeParams, now time.Time) *reply.Error {
	if since, leaving := t.injector.Active(faultapi.FaultKindLeaving, t.name); leaving {
		t.record.countArrivalWhileLeaving(since, now)
		return reply.New(http.StatusServiceUnavailable, "leaving", "target %s is leaving", t.name)
	}
	if t.service != "" && params.Service != t.service {
		t.record.countRejection()
		return reply.New(http.StatusServiceUnavailable, "unknown-service", "target %s runs %s, not %s", t.name, t.service, params.Service)
	}
	if now.After(params.XStartBefore) {
		t.record.countRejection()
		return reply.New(http.StatusServiceUnavailable, "start-before-passed",
			"the request was void after %s", params.XStartBefore.Format(time.RFC3339Nano))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busy >= t.slots {
		t.record.countOverload()
		return reply.New(http.StatusServiceUnavailable, "no-slot", "all %d slots of %s are busy", t.slots, t.name)
	}
	t.busy++
	return nil
}

// execute does the work of a request, frees its slot and returns the answer. The slot is free
// before the answer is sent.
func (t *Target) execute(id string, body []byte) []byte {
	number := t.record.countExecution(id)
	work := ParseWorkSpec(body).Duration
	if work == 0 {
		work = t.defaultWork
	}
	time.Sleep(work)
	t.mu.Lock()
	t.busy--
	t.mu.Unlock()
	return Answer(id, body, fmt.Sprintf("%s/%d", t.name, number))
}

func refusedProblem(e *reply.Error) *api.Problem {
	p := problem(e)
	p.Outcome = api.NewOptProblemOutcome(api.ProblemOutcomeRefused)
	return &p
}

func problem(e *reply.Error) api.Problem {
	return api.Problem{Title: e.Title(), Status: e.Status, Detail: e.Detail, Reason: api.NewOptString(e.Reason)}
}
