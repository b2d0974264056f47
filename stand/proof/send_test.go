package proof

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	callerapi "tanagerstack.org/core/api/caller"
	"tanagerstack.org/stand/target"
)

// callerTokenSource supplies the token of one caller to the generated client.
type callerTokenSource struct{ caller string }

func (s callerTokenSource) Token(context.Context, callerapi.OperationName) (callerapi.Token, error) {
	return callerapi.Token{Token: "dev-" + s.caller}, nil
}

// callersClient returns a client of the VM's callers' API.
func (vm *entryVM) callersClient(caller string) *callerapi.Client {
	client, err := callerapi.NewClient("http://"+vm.callers.String(), callerTokenSource{caller: caller})
	if err != nil {
		vm.fleet.t.Fatal(err)
	}
	return client
}

// request is one service request. Its ID starts with target.OncePrefix if it is non-idempotent.
type request struct {
	caller        string
	id            string
	nonIdempotent bool
	body          string
	window        time.Duration
}

// answer is the answer that a caller received. Its outcome is "completed", "refused" or
// "unknown", or "" if no answer came.
type answer struct {
	outcome string
	reason  string
	detail  string
	body    []byte
	// complete is true if a completed answer is not truncated and belongs to the request.
	complete bool
}

// send sends a request to the VM and returns its answer. The outcome is "" if no answer
// came within the window and 2 s.
func (vm *entryVM) send(r request) answer {
	ctx, cancel := context.WithTimeout(context.Background(), r.window+2*time.Second)
	defer cancel()
	reply, err := vm.callersClient(r.caller).SendRequest(ctx, callerapi.SendRequestReq{Data: bytes.NewReader([]byte(r.body))},
		callerapi.SendRequestParams{
			Service: "booking", XRequestID: r.id, XIdempotent: callerapi.NewOptBool(!r.nonIdempotent),
			XNotAfter: callerapi.NewOptDateTime(time.Now().Add(r.window)),
		})
	if problem := new(callerapi.ProblemStatusCode); errors.As(err, &problem) {
		p := problem.Response
		return answer{outcome: string(p.Outcome.Or("")), reason: p.Reason.Or(""), detail: p.Detail}
	}
	if err != nil {
		return answer{detail: err.Error()}
	}
	body, err := io.ReadAll(reply.Response.Data)
	if err != nil {
		return answer{detail: err.Error()}
	}
	return answer{
		outcome: "completed", body: body,
		complete: reply.XRequestID == r.id && target.IsAnswer(r.id, []byte(r.body), body),
	}
}
