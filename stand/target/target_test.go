package target_test

import (
	"bytes"
	"context"
	"io"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	faultapi "tanagerstack.org/core/api/fault"
	api "tanagerstack.org/core/api/target"
	"tanagerstack.org/stand/faults"
	"tanagerstack.org/stand/target"
)

// testTarget is one target with fault injection and a client.
type testTarget struct {
	fleet    *target.Fleet
	injector *faults.Injector
	client   *api.Client
}

func newTestTarget(t *testing.T, slots int) *testTarget {
	t.Helper()
	injector := faults.NewInjector()
	fleet := target.NewFleet(target.Options{Service: "booking", Slots: slots, Work: time.Millisecond, Faults: injector})
	handler, err := fleet.Add("t1")
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(injector.Wrap("t1", handler))
	t.Cleanup(func() {
		injector.Set(faultapi.Fault{Kind: faultapi.FaultKindNone}, time.Now())
		server.Close()
	})
	client, err := api.NewClient(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	return &testTarget{fleet: fleet, injector: injector, client: client}
}

// send sends a request and returns the answer, whether it is the complete answer to this request,
// and the error.
func (tt *testTarget) send(id, body string) (api.ServeRes, bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	answer, err := tt.client.Serve(ctx, api.ServeReq{Data: bytes.NewReader([]byte(body))},
		api.ServeParams{Service: "booking", XRequestID: id, XStartBefore: time.Now().Add(time.Minute)})
	if err != nil {
		return nil, false, err
	}
	ok, served := answer.(*api.ServeOKHeaders)
	if !served {
		return answer, false, nil
	}
	received, err := io.ReadAll(ok.Response.Data)
	return answer, err == nil && ok.XRequestID == id && target.IsAnswer(id, []byte(body), received), err
}

func TestRecordCountsRepeatedExecutions(t *testing.T) {
	tt := newTestTarget(t, 8)
	for _, id := range []string{"once-a", "once-b", "once-a", "again", "again"} {
		if _, complete, err := tt.send(id, "body"); err != nil || !complete {
			t.Fatalf("send %s: complete = %v, error = %v", id, complete, err)
		}
	}
	record := tt.fleet.Record()
	if record.Doubled != 1 || len(record.DoubledIDs) != 1 || record.DoubledIDs[0] != "once-a" {
		t.Errorf("record = %+v, want only once-a doubled", record)
	}
	if tt.fleet.Executions("again") != 2 || tt.fleet.Executions("never") != 0 {
		t.Error("Executions returned a wrong count, want 2 for \"again\" and 0 for \"never\"")
	}
}

func TestRecordCountsOverload(t *testing.T) {
	tt := newTestTarget(t, 2)
	var all sync.WaitGroup
	for range 3 {
		all.Go(func() { _, _, _ = tt.send("busy", "work=200ms") })
	}
	all.Wait()
	if record := tt.fleet.Record(); record.Overloaded != 1 || record.Executions != 2 {
		t.Errorf("record = %+v, want 2 executions and 1 overload", record)
	}
}

func TestFaults(t *testing.T) {
	tests := map[string]struct {
		kind faultapi.FaultKind
		// executions is how often the request runs; complete is whether its own complete answer
		// arrives.
		executions int64
		complete   bool
		failed     bool
	}{
		"none":        {faultapi.FaultKindNone, 1, true, false},
		"down":        {faultapi.FaultKindDown, 0, false, true},
		"lost answer": {faultapi.FaultKindLostAnswer, 1, false, true},
		"silent":      {faultapi.FaultKindSilent, 0, false, true},
		"short body":  {faultapi.FaultKindShortBody, 1, false, true},
		"swapped":     {faultapi.FaultKindSwappedAnswer, 1, false, false},
		"late":        {faultapi.FaultKindLateAnswer, 1, false, true},
		"fail all":    {faultapi.FaultKindFailAll, 1, false, true},
		"frozen":      {faultapi.FaultKindFrozen, 0, false, true},
		"leaving":     {faultapi.FaultKindLeaving, 0, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tt := newTestTarget(t, 8)
			tt.injector.Set(faultapi.Fault{Kind: test.kind, Delay: faultapi.NewOptDuration(time.Minute)}, time.Now())
			// Under swapped-answer, the first request gets its own answer because no earlier one exists.
			_, _, _ = tt.send("earlier", "body")
			_, complete, err := tt.send("once-x", "answer-bytes=2000")
			if complete != test.complete || (err != nil) != test.failed {
				t.Errorf("complete = %v, error = %v", complete, err)
			}
			if got := tt.fleet.Executions("once-x"); got != test.executions {
				t.Errorf("executions = %d, want %d", got, test.executions)
			}
		})
	}
}

func TestRecordCountsRequestsAfterLeaving(t *testing.T) {
	tt := newTestTarget(t, 8)
	tt.injector.Set(faultapi.Fault{Kind: faultapi.FaultKindLeaving}, time.Now().Add(-2*time.Second))
	_, _, _ = tt.send("early", "")
	if got := tt.fleet.Record().AfterLeaving.Or(-1); got != 0 {
		t.Errorf("requests counted as after leaving, 2s into leaving: %d, want 0", got)
	}
	tt.injector.Set(faultapi.Fault{Kind: faultapi.FaultKindLeaving}, time.Now().Add(-4*time.Second))
	_, _, _ = tt.send("late", "")
	if got := tt.fleet.Record().AfterLeaving.Or(-1); got != 1 {
		t.Errorf("requests counted as after leaving, 4s into leaving: %d, want 1", got)
	}
}
