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

// idlePerHost is how many idle connections to one address are kept.
const idlePerHost = 2048

// clients call the entry VMs and targets in turn.
type clients struct {
	service string
	entries map[string][]*callerapi.Client
	targets []*targetapi.Client
	next    atomic.Int64
}

// bearer gives one caller's token to the generated client.
type bearer struct{ token string }

// Token returns the token for each operation.
func (b bearer) Token(context.Context, callerapi.OperationName) (callerapi.Token, error) {
	return callerapi.Token{Token: b.token}, nil
}

func newClients(opts *Options) (*clients, error) {
	c := &clients{service: opts.Service, entries: make(map[string][]*callerapi.Client)}
	httpClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerHost}}
	for _, caller := range append([]Caller{opts.Flood}, opts.Steady...) {
		for _, address := range opts.Entries {
			client, err := callerapi.NewClient(url(address), bearer{token: caller.Token}, callerapi.WithClient(httpClient))
			if err != nil {
				return nil, fmt.Errorf("client of entry VM %s: %w", address, err)
			}
			c.entries[caller.Name] = append(c.entries[caller.Name], client)
		}
	}
	for _, address := range opts.Targets {
		client, err := targetapi.NewClient(url(address), targetapi.WithClient(httpClient))
		if err != nil {
			return nil, fmt.Errorf("client of target %s: %w", address, err)
		}
		c.targets = append(c.targets, client)
	}
	return c, nil
}

func url(address netip.AddrPort) string { return "http://" + address.String() }

// request is one request of a measurement.
type request struct {
	caller string
	once   bool
	body   []byte
	window time.Duration
}

// through sends the request through the next entry VM; nil means that it completed.
func (c *clients) through(r request) error {
	number := c.next.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), r.window+time.Second)
	defer cancel()
	clients := c.entries[r.caller]
	_, err := clients[number%int64(len(clients))].SendRequest(ctx,
		callerapi.SendRequestReq{Data: bytes.NewReader(r.body)},
		callerapi.SendRequestParams{
			Service: c.service, XRequestID: requestID(number, r.once), XIdempotent: callerapi.NewOptBool(!r.once),
			XNotAfter: callerapi.NewOptDateTime(time.Now().Add(r.window)),
		})
	return err
}

// direct sends the request to the next target; nil means that it completed.
func (c *clients) direct(r request) error {
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
		return errors.New("the target did not run the request")
	}
	return nil
}

func requestID(number int64, once bool) string {
	id := fmt.Sprintf("bench-%d-%d", time.Now().UnixNano(), number)
	if once {
		return target.OncePrefix + id
	}
	return id
}
