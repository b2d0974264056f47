package faults

import (
	"context"
	"fmt"
	"net/http"
	"time"

	api "tanagerstack.org/core/api/fault"
	"tanagerstack.org/stand/reply"
)

// Recorder reports what a fake did, so that tests can compare it with what callers were told.
type Recorder interface {
	// Record returns the totals of all counts.
	Record() api.Record
	// Executions returns how many times the request or task with this ID was run.
	Executions(id string) int64
}

// Control serves the fault API, which sets the fault of an Injector and reads a Recorder.
type Control struct {
	injector *Injector
	recorder Recorder
}

// NewControl returns the HTTP handler of the fault API, for the control address.
func NewControl(injector *Injector, recorder Recorder) (http.Handler, error) {
	server, err := api.NewServer(&Control{injector: injector, recorder: recorder})
	if err != nil {
		return nil, fmt.Errorf("control API: %w", err)
	}
	return server, nil
}

// GetFault returns the active fault, of kind none if there is none.
func (c *Control) GetFault(context.Context) (*api.Fault, error) {
	fault := c.injector.Fault()
	return &fault, nil
}

// SetFault replaces the active fault.
func (c *Control) SetFault(_ context.Context, req *api.Fault) error {
	c.injector.Set(*req, time.Now())
	return nil
}

// GetRecord returns the totals of the recorder.
func (c *Control) GetRecord(context.Context) (*api.Record, error) {
	record := c.recorder.Record()
	if record.DoubledIDs == nil {
		record.DoubledIDs = []string{}
	}
	return &record, nil
}

// GetRunCount returns how many times one request or task ran.
func (c *Control) GetRunCount(_ context.Context, params api.GetRunCountParams) (*api.RunCount, error) {
	return &api.RunCount{ID: params.ID, Executions: c.recorder.Executions(params.ID)}, nil
}

// ListRunCounts returns how many times each of the given requests or tasks ran.
func (c *Control) ListRunCounts(_ context.Context, req *api.RunCountRequest) (*api.RunCountList, error) {
	counts := make([]api.RunCount, 0, len(req.IDs))
	for _, id := range req.IDs {
		counts = append(counts, api.RunCount{ID: id, Executions: c.recorder.Executions(id)})
	}
	return &api.RunCountList{Counts: counts}, nil
}

// NewError converts an error to an RFC 9457 problem document.
func (c *Control) NewError(_ context.Context, err error) *api.ProblemStatusCode {
	e := reply.From(err)
	return &api.ProblemStatusCode{StatusCode: e.Status, Response: api.Problem{
		Title: e.Title(), Status: e.Status, Detail: e.Detail, Reason: api.NewOptString(e.Reason),
	}}
}
