package bench

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	callerapi "tanagerstack.org/core/api/caller"
	targetapi "tanagerstack.org/core/api/target"
	"tanagerstack.org/stand/target"
)

// maxIdleConnsPerHost is the maximum number of idle connections kept to one address.
const maxIdleConnsPerHost = 2048

// clients holds the clients of all entry VMs, by caller name, and of all targets. It
// uses each in turn.
type clients struct {
	service string
	entries map[string][]*callerapi.Client
	targets []*targetapi.Client
	next    atomic.Int64
}

// callerTokenSource supplies the token of one caller to the generated client.
type callerTokenSource struct{ token string }

// Token returns the same token for all operations.
func (s callerTokenSource) Token(context.Context, callerapi.OperationName) (callerapi.Token, error) {
	return callerapi.Token{Token: s.token}, nil
}

func newClients(opts *Options) (*clients, error) {
	c := &clients{service: opts.Service, entries: make(map[string][]*callerapi.Client)}
	httpClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}}
	for _, caller := range append([]Caller{opts.Flood}, opts.Steady...) {
		for _, address := range opts.Entries {
			client, err := callerapi.NewClient(url(address), callerTokenSource{token: caller.Token}, callerapi.WithClient(httpClient))
			if err != nil {
				return nil, fmt.Errorf("creating client of entry VM %s: %w", address, err)
			}
			c.entries[caller.Name] = append(c.entries[caller.Name], client)
		}
	}
	for _, address := range opts.Targets {
		client, err := targetapi.NewClient(url(address), targetapi.WithClient(httpClient))
		if err != nil {
			return nil, fmt.Errorf("creating client of target %s: %w", address, err)
		}
		c.targets = append(c.targets, client)
	}
	return c, nil
}

func url(address netip.AddrPort) string { return "http://" + address.String() }

// request is one request of a measurement. window is the time in which it may start.
type request struct {
	caller        string
	nonIdempotent bool
	body          []byte
	window        time.Duration
}

// sendViaEntry sends the request through the next entry VM. It returns nil if the
// request completed.
func (c *clients) sendViaEntry(r request) error {
	number := c.next.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), r.window+time.Second)
	defer cancel()
	clients := c.entries[r.caller]
	_, err := clients[number%int64(len(clients))].SendRequest(ctx,
		callerapi.SendRequestReq{Data: bytes.NewReader(r.body)},
		callerapi.SendRequestParams{
			Service: c.service, XRequestID: requestID(number, r.nonIdempotent), XIdempotent: callerapi.NewOptBool(!r.nonIdempotent),
			XNotAfter: callerapi.NewOptDateTime(time.Now().Add(r.window)),
		})
	return err
}

// sendDirect sends the request to the next target. It returns nil if the request
// completed.
func (c *clients) sendDirect(r request) error {
	number := c.next.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), r.window+time.Second)
	defer cancel()
	answer, err := c.targets[number%int64(len(c.targets))].Serve(ctx,
		targetapi.ServeReq{Data: bytes.NewReader(r.body)},
		targetapi.ServeParams{
			Service: c.service, XRequestID: requestID(number, false), XStartBefore: time.Now().Add(r.window),
		})
	if err != nil {
		return err
	}
	if _, completed := answer.(*targetapi.ServeOKHeaders); !completed {
		return errors.New("target refused the request")
	}
	return nil
}

// requestID returns a unique request ID. The prefix of non-idempotent requests tells
// the fake target to record a second execution.
func requestID(number int64, nonIdempotent bool) string {
	id := fmt.Sprintf("bench-%d-%d", time.Now().UnixNano(), number)
	if nonIdempotent {
		return target.OncePrefix + id
	}
	return id
}
