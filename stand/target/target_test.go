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

// bench is one target behind its faults, with a client.
type bench struct {
	fleet  *target.Fleet
	faults *faults.Switch
	client *api.Client
}

func newBench(t *testing.T, slots int) *bench {
	t.Helper()
	sw := faults.NewSwitch()
	fleet := target.NewFleet(target.Options{Service: "booking", Slots: slots, Work: time.Millisecond, Faults: sw})
	handler, err := fleet.Add("t1")
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(sw.Wrap("t1", handler))
	t.Cleanup(func() {
		sw.Set(faultapi.Fault{Kind: faultapi.FaultKindNone}, time.Now())
		server.Close()
	})
	client, err := api.NewClient(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	return &bench{fleet: fleet, faults: sw, client: client}
}

// send returns the answer, whether it is whole and the request's own, and the error.
func (b *bench) send(id, body string) (api.ServeRes, bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	answer, err := b.client.Serve(ctx, api.ServeReq{Data: bytes.NewReader([]byte(body))},
		api.ServeParams{Service: "booking", XRequestID: id, XStartBefore: time.Now().Add(time.Minute)})
	if err != nil {
		return nil, false, err
	}
	ok, served := answer.(*api.ServeOKHeaders)
	if !served {
		return answer, false, nil
	}
	whole, err := io.ReadAll(ok.Response.Data)
	return answer, err == nil && ok.XRequestID == id && target.IsAnswer(id, []byte(body), whole), err
}

func TestRecordSeesDoubledRequests(t *testing.T) {
	b := newBench(t, 8)
	for _, id := range []string{"once-a", "once-b", "once-a", "again", "again"} {
		if _, whole, err := b.send(id, "body"); err != nil || !whole {
			t.Fatalf("send %s: whole %v, %v", id, whole, err)
		}
	}
	record := b.fleet.Record()
	if record.Doubled != 1 || len(record.DoubledIDs) != 1 || record.DoubledIDs[0] != "once-a" {
		t.Errorf("record = %+v, want only once-a doubled", record)
	}
	if b.fleet.Executions("again") != 2 || b.fleet.Executions("never") != 0 {
		t.Error("executions by ID are wrong")
	}
}

func TestRecordSeesOverload(t *testing.T) {
	b := newBench(t, 2)
	var all sync.WaitGroup
	for range 3 {
		all.Go(func() { _, _, _ = b.send("busy", "work=200ms") })
	}
	all.Wait()
	if record := b.fleet.Record(); record.Overloaded != 1 || record.Executions != 2 {
		t.Errorf("record = %+v, want 2 executions and 1 overload", record)
	}
}

func TestFaults(t *testing.T) {
	tests := map[string]struct {
		kind faultapi.FaultKind
		// executions is how often the request runs; whole is whether its answer may count.
		executions int64
		whole      bool
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
			b := newBench(t, 8)
			b.faults.Set(faultapi.Fault{Kind: test.kind, Delay: faultapi.NewOptDuration(time.Minute)}, time.Now())
			// The first answer under swapped-answer has no earlier one to be swapped with.
			_, _, _ = b.send("earlier", "body")
			_, whole, err := b.send("once-x", "answer-bytes=2000")
			if whole != test.whole || (err != nil) != test.failed {
				t.Errorf("whole %v, error %v", whole, err)
			}
			if got := b.fleet.Executions("once-x"); got != test.executions {
				t.Errorf("executions = %d, want %d", got, test.executions)
			}
		})
	}
}

func TestRecordSeesRequestsAfterLeaving(t *testing.T) {
	b := newBench(t, 8)
	b.faults.Set(faultapi.Fault{Kind: faultapi.FaultKindLeaving}, time.Now().Add(-2*time.Second))
	_, _, _ = b.send("early", "")
	if got := b.fleet.Record().AfterLeaving.Or(-1); got != 0 {
		t.Errorf("after 2s: %d late requests, want 0", got)
	}
	b.faults.Set(faultapi.Fault{Kind: faultapi.FaultKindLeaving}, time.Now().Add(-4*time.Second))
	_, _, _ = b.send("late", "")
	if got := b.fleet.Record().AfterLeaving.Or(-1); got != 1 {
		t.Errorf("after 4s: %d late requests, want 1", got)
	}
}
