package load

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	api "tanagerstack.org/core/api/caller"
)

const (
	// avoidPeriod is how long the balancer avoids an entry VM after a call without an answer.
	avoidPeriod = 500 * time.Millisecond
	// maxIdleConnsPerEntry is the maximum number of idle connections kept to one entry VM.
	maxIdleConnsPerEntry = 512
	// answerGrace is how long after its window the answer to a request is still awaited.
	answerGrace = 2 * time.Second
)

// entryVM is an entry VM with one client for each caller.
type entryVM struct {
	address netip.AddrPort
	clients map[string]*api.Client

	mu           sync.Mutex
	avoidedUntil time.Time
}

// balancer distributes calls over the entry VMs round-robin.
type balancer struct {
	entries []*entryVM
	next    counter
}

// callerTokenSource supplies the token of one caller to the generated client.
type callerTokenSource struct{ token string }

// Token returns the same token for all operations.
func (s callerTokenSource) Token(context.Context, api.OperationName) (api.Token, error) {
	return api.Token{Token: s.token}, nil
}

func newBalancer(addresses []netip.AddrPort, callers []Caller) (*balancer, error) {
	b := &balancer{}
	for _, address := range addresses {
		e := &entryVM{address: address, clients: make(map[string]*api.Client, len(callers))}
		transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerEntry}
		for _, c := range callers {
			client, err := api.NewClient("http://"+address.String(), callerTokenSource{token: c.Token},
				api.WithClient(&http.Client{Transport: transport}))
			if err != nil {
				return nil, fmt.Errorf("creating client of entry VM %s: %w", address, err)
			}
			e.clients[c.Name] = client
		}
		b.entries = append(b.entries, e)
	}
	return b, nil
}

// pick returns the next entry VM that is neither avoid nor in its avoid period. If
// there is none, it returns the next entry VM regardless.
func (b *balancer) pick(avoid *entryVM, now time.Time) *entryVM {
	first := b.next.add(1)
	for i := range b.entries {
		candidate := b.entries[(first+int64(i))%int64(len(b.entries))]
		if candidate != avoid && candidate.usable(now) {
			return candidate
		}
	}
	return b.entries[first%int64(len(b.entries))]
}

// usable reports whether the VM is outside its avoid period.
func (e *entryVM) usable(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !now.Before(e.avoidedUntil)
}

// markFailed starts the avoid period.
func (e *entryVM) markFailed(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.avoidedUntil = now.Add(avoidPeriod)
}

// asProblem returns the problem response in err, and false if err is a failure to get
// any answer, such as a failed connection.
func asProblem(err error) (*api.ProblemStatusCode, bool) {
	problem := new(api.ProblemStatusCode)
	if errors.As(err, &problem) {
		return problem, true
	}
	return nil, false
}
