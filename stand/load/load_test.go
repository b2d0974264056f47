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

// liar is an entry VM that breaks one promise and keeps the others.
type liar struct {
	api.UnimplementedHandler
	promise string
	target  *targetapi.Client

	mu      sync.Mutex
	answers map[string][]byte
}

func (l *liar) HandleToken(ctx context.Context, _ api.OperationName, _ api.Token) (context.Context, error) {
	return ctx, nil
}

// SendRequest runs the request at the target, or not, as the promise demands.
func (l *liar) SendRequest(ctx context.Context, req api.SendRequestReq, p api.SendRequestParams) (*api.SendRequestOKHeaders, error) {
	body, _ := io.ReadAll(req)
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.answers[p.XRequestID]; known != nil && l.promise != "doubled" {
		return reply(p.XRequestID, known), nil
	}
	if l.promise == "invented" {
		return reply(p.XRequestID, target.Answer(p.XRequestID, body, "nobody/1")), nil
	}
	answer := l.serve(ctx, p.XRequestID, body)
	l.answers[p.XRequestID] = answer
	switch l.promise {
	case "refused but run":
		return nil, problem("refused")
	case "short":
		return reply(p.XRequestID, answer[:len(answer)/2]), nil
	case "swapped":
		return reply(p.XRequestID, l.serve(ctx, "another", body)), nil
	case "no outcome":
		return nil, problem("")
	case "honestly unknown":
		return nil, problem("unknown")
	default:
		return reply(p.XRequestID, answer), nil
	}
}

func (l *liar) serve(ctx context.Context, id string, body []byte) []byte {
	answer, err := l.target.Serve(ctx, targetapi.ServeReq{Data: bytes.NewReader(body)},
		targetapi.ServeParams{Service: "booking", XRequestID: id, XStartBefore: time.Now().Add(time.Minute)})
	if err != nil {
		return nil
	}
	whole, _ := io.ReadAll(answer.(*targetapi.ServeOKHeaders).Response.Data)
	return whole
}

// SubmitJob accepts each job, and GetJob says what became of it.
func (l *liar) SubmitJob(_ context.Context, spec *api.JobSpec) (*api.Job, error) {
	return &api.Job{ID: "d-" + spec.Name, State: api.JobStateAccepted, Spec: *spec, Tasks: []api.Task{}}, nil
}

func (l *liar) GetJob(_ context.Context, p api.GetJobParams) (*api.Job, error) {
	job := &api.Job{ID: p.ID, State: api.JobStateCancelled, Tasks: []api.Task{}}
	switch l.promise {
	case "job forgotten":
		job.State = api.JobStateAccepted
	case "job invented":
		job.State = api.JobStateSucceeded
	}
	job.Spec.Kind, job.Spec.Command = api.JobSpecKindBatch, []string{"x"}
	job.Spec.Tasks, job.Spec.NotAfter = 1, time.Now()
	return job, nil
}

func (l *liar) NewError(_ context.Context, err error) *api.ProblemStatusCode {
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

// TestRunSeesBrokenPromises shows that each broken promise is found, by running
// the load against an entry VM that breaks it.
func TestRunSeesBrokenPromises(t *testing.T) {
	tests := map[string]struct{ reason string }{
		"none":             {""},
		"honestly unknown": {""},
		"invented":         {"completed, but never ran"},
		"refused but run":  {"refused, but ran"},
		"short":            {"another or a partial answer"},
		"swapped":          {"another or a partial answer"},
		"no outcome":       {"without an outcome"},
		"doubled":          {"ran more than once"},
		"job forgotten":    {"no outcome after its window"},
		"job invented":     {"never ran"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			report := runAgainst(t, &liar{promise: name, answers: make(map[string][]byte)})
			var text bytes.Buffer
			report.Print(&text)
			if broken := report.Err() != nil; broken != (test.reason != "") || !strings.Contains(text.String(), test.reason) {
				t.Errorf("error %v, want one with %q; report:\n%s", report.Err(), test.reason, text.String())
			}
		})
	}
}

func runAgainst(t *testing.T, l *liar) *Report {
	t.Helper()
	sw := faults.NewSwitch()
	fleet := target.NewFleet(target.Options{Slots: 64, Faults: sw})
	handler, err := fleet.Add("t1")
	if err != nil {
		t.Fatal(err)
	}
	control, err := faults.NewControl(sw, fleet)
	if err != nil {
		t.Fatal(err)
	}
	served, controlled := httptest.NewServer(handler), httptest.NewServer(control)
	t.Cleanup(served.Close)
	t.Cleanup(controlled.Close)
	if l.target, err = targetapi.NewClient(served.URL); err != nil {
		t.Fatal(err)
	}
	entryHandler, err := api.NewServer(l, l)
	if err != nil {
		t.Fatal(err)
	}
	entryServer := httptest.NewServer(entryHandler)
	t.Cleanup(entryServer.Close)
	report, err := Run(context.Background(), Options{
		Entries: []netip.AddrPort{addressOf(entryServer)}, Callers: []Caller{{Name: "hosts", Token: "x"}},
		Service: "booking", Work: "any", Seed: 1, Duration: 500 * time.Millisecond, RequestsPerSecond: 200,
		JobsPerSecond: 4, InFlight: 64, Window: time.Second, JobWindow: 50 * time.Millisecond, ChangeEvery: time.Second,
		TargetControls: []netip.AddrPort{addressOf(controlled)},
		// No job runs, so any control API serves as the workers'.
		WorkerControls: []netip.AddrPort{addressOf(controlled)},
	})
	if err != nil {
		t.Fatal(err)
	}
	return report
}
