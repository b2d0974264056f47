package load

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	api "tanagerstack.org/core/api/caller"
	targetapi "tanagerstack.org/core/api/target"
	"tanagerstack.org/stand/faults"
	"tanagerstack.org/stand/target"
)

// faultyEntry is a fake entry VM that violates the one guarantee named by fault and
// meets the others.
type faultyEntry struct {
	api.UnimplementedHandler
	fault  string
	target *targetapi.Client

	mu      sync.Mutex
	answers map[string][]byte
}

func (e *faultyEntry) HandleToken(ctx context.Context, _ api.OperationName, _ api.Token) (context.Context, error) {
	return ctx, nil
}

// SendRequest runs the request at the target, and answers as the fault requires.
func (e *faultyEntry) SendRequest(ctx context.Context, req api.SendRequestReq, p api.SendRequestParams) (*api.SendRequestOKHeaders, error) {
	body, _ := io.ReadAll(req)
	e.mu.Lock()
	defer e.mu.Unlock()
	if known := e.answers[p.XRequestID]; known != nil && e.fault != "repeated run" {
		return reply(p.XRequestID, known), nil
	}
	if e.fault == "completed without run" {
		return reply(p.XRequestID, target.Answer(p.XRequestID, body, "nobody/1")), nil
	}
	answer := e.serve(ctx, p.XRequestID, body)
	e.answers[p.XRequestID] = answer
	switch e.fault {
	case "refused after run":
		return nil, problem("refused")
	case "truncated answer":
		return reply(p.XRequestID, answer[:len(answer)/2]), nil
	case "swapped answer":
		return reply(p.XRequestID, e.serve(ctx, "another", body)), nil
	case "missing outcome":
		return nil, problem("")
	case "unknown outcome":
		return nil, problem("unknown")
	default:
		return reply(p.XRequestID, answer), nil
	}
}

func (e *faultyEntry) serve(ctx context.Context, id string, body []byte) []byte {
	answer, err := e.target.Serve(ctx, targetapi.ServeReq{Data: bytes.NewReader(body)},
		targetapi.ServeParams{Service: "booking", XRequestID: id, XStartBefore: time.Now().Add(time.Minute)})
	if err != nil {
		return nil
	}
	data, _ := io.ReadAll(answer.(*targetapi.ServeOKHeaders).Response.Data)
	return data
}

// SubmitJob accepts every job; GetJob returns the state that the fault requires.
func (e *faultyEntry) SubmitJob(_ context.Context, spec *api.JobSpec) (*api.Job, error) {
	return &api.Job{ID: "d-" + spec.Name, State: api.JobStateAccepted, Spec: *spec, Tasks: []api.Task{}}, nil
}

func (e *faultyEntry) GetJob(_ context.Context, p api.GetJobParams) (*api.Job, error) {
	job := &api.Job{ID: p.ID, State: api.JobStateCancelled, Tasks: []api.Task{}}
	switch e.fault {
	case "job never final":
		job.State = api.JobStateAccepted
	case "job succeeded without run":
		job.State = api.JobStateSucceeded
	}
	job.Spec.Kind, job.Spec.Command = api.JobSpecKindBatch, []string{"x"}
	job.Spec.Tasks, job.Spec.NotAfter = 1, time.Now()
	return job, nil
}

func (e *faultyEntry) NewError(_ context.Context, err error) *api.ProblemStatusCode {
	answer := new(api.ProblemStatusCode)
	if !errors.As(err, &answer) {
		answer.StatusCode = 500
	}
	return answer
}

func reply(id string, body []byte) *api.SendRequestOKHeaders {
	return &api.SendRequestOKHeaders{XRequestID: id, Response: api.SendRequestOK{Data: bytes.NewReader(body)}}
}

func problem(outcome string) error {
	p := &api.ProblemStatusCode{StatusCode: 503, Response: api.Problem{Title: "No", Status: 503}}
	if outcome != "" {
		p.Response.Outcome = api.NewOptProblemOutcome(api.ProblemOutcome(outcome))
	}
	return p
}

func addressOf(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

// TestRunReportsViolations runs the load against an entry VM that violates one
// guarantee, and checks that the report names the violation.
func TestRunReportsViolations(t *testing.T) {
	tests := map[string]struct{ reason string }{
		"none":                      {""},
		"unknown outcome":           {""},
		"completed without run":     {"reported completed, but never ran"},
		"refused after run":         {"reported refused, but ran"},
		"truncated answer":          {"wrong or truncated answer"},
		"swapped answer":            {"wrong or truncated answer"},
		"missing outcome":           {"without an outcome field"},
		"repeated run":              {"ran more than once"},
		"job never final":           {"not in a final state after its window"},
		"job succeeded without run": {"never ran"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			report := runAgainst(t, &faultyEntry{fault: name, answers: make(map[string][]byte)})
			var text bytes.Buffer
			report.Print(&text)
			if violated := report.Err() != nil; violated != (test.reason != "") || !strings.Contains(text.String(), test.reason) {
				t.Errorf("Err() = %v, want a violation with %q; report:\n%s", report.Err(), test.reason, text.String())
			}
		})
	}
}

func runAgainst(t *testing.T, e *faultyEntry) *Report {
	t.Helper()
	injector := faults.NewInjector()
	fleet := target.NewFleet(target.Options{Slots: 64, Faults: injector})
	handler, err := fleet.Add("t1")
	if err != nil {
		t.Fatal(err)
	}
	control, err := faults.NewControl(injector, fleet)
	if err != nil {
		t.Fatal(err)
	}
	served, controlled := httptest.NewServer(handler), httptest.NewServer(control)
	t.Cleanup(served.Close)
	t.Cleanup(controlled.Close)
	if e.target, err = targetapi.NewClient(served.URL); err != nil {
		t.Fatal(err)
	}
	entryHandler, err := api.NewServer(e, e)
	if err != nil {
		t.Fatal(err)
	}
	entryServer := httptest.NewServer(entryHandler)
	t.Cleanup(entryServer.Close)
	report, err := Run(context.Background(), Options{
		Entries: []netip.AddrPort{addressOf(entryServer)}, Callers: []Caller{{Name: "hosts", Token: "x"}},
		Service: "booking", Work: "any", Seed: 1, Duration: 500 * time.Millisecond, RequestsPerSecond: 200,
		JobsPerSecond: 4, MaxInFlight: 64, Window: time.Second, JobWindow: 50 * time.Millisecond, PolicyChangeInterval: time.Second,
		TargetControls: []netip.AddrPort{addressOf(controlled)},
		// No task runs, so the control API of the targets can stand for the workers' one.
		WorkerControls: []netip.AddrPort{addressOf(controlled)},
	})
	if err != nil {
		t.Fatal(err)
	}
	return report
}
