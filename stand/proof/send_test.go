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

// callerBearer gives a caller's token to the generated client.
type callerBearer struct{ caller string }

func (b callerBearer) Token(context.Context, callerapi.OperationName) (callerapi.Token, error) {
	return callerapi.Token{Token: "dev-" + b.caller}, nil
}

// callersClient returns a client of the VM's callers' API.
func (vm *entryVM) callersClient(caller string) *callerapi.Client {
	client, err := callerapi.NewClient("http://"+vm.callers.String(), callerBearer{caller: caller})
	if err != nil {
		vm.fleet.t.Fatal(err)
	}
	return client
}

// request is one service request. Its ID starts with target.OncePrefix if it is non-idempotent.
type request struct {
	caller string
	id     string
	once   bool
	body   string
	window time.Duration
}

// answer is what the caller was told: completed, refused, unknown, or nothing.
type answer struct {
	outcome string
	reason  string
	detail  string
	body    []byte
	// whole tells that a completed answer is whole and the request's own.
	whole bool
}

// send sends a request to an entry VM and returns its answer; the outcome is
// empty if none came.
func (vm *entryVM) send(r request) answer {
	ctx, cancel := context.WithTimeout(context.Background(), r.window+2*time.Second)
	defer cancel()
	reply, err := vm.callersClient(r.caller).SendRequest(ctx, callerapi.SendRequestReq{Data: bytes.NewReader([]byte(r.body))},
		callerapi.SendRequestParams{
			Service: "booking", XRequestID: r.id, XIdempotent: callerapi.NewOptBool(!r.once),
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
		whole: reply.XRequestID == r.id && target.IsAnswer(r.id, []byte(r.body), body),
	}
}
