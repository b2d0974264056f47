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
	// avoidance is how long the balancer avoids an entry VM that gave no answer.
	avoidance = 500 * time.Millisecond
	// idlePerEntry is how many idle connections to one entry VM are kept.
	idlePerEntry = 512
	// answerMargin is how long after its window a request is still waited for.
	answerMargin = 2 * time.Second
)

// entry is an entry VM as the balancer sees it.
type entry struct {
	address netip.AddrPort
	clients map[string]*api.Client

	mu           sync.Mutex
	avoidedUntil time.Time
}

// balancer spreads calls over the entry VMs in turn.
type balancer struct {
	entries []*entry
	next    counter
}

// bearer gives one caller's token to the generated client.
type bearer struct{ token string }

// Token returns the token for each operation.
func (b bearer) Token(context.Context, api.OperationName) (api.Token, error) {
	return api.Token{Token: b.token}, nil
}

func newBalancer(addresses []netip.AddrPort, callers []Caller) (*balancer, error) {
	b := &balancer{}
	for _, address := range addresses {
		e := &entry{address: address, clients: make(map[string]*api.Client, len(callers))}
		transport := &http.Transport{MaxIdleConnsPerHost: idlePerEntry}
		for _, c := range callers {
			client, err := api.NewClient("http://"+address.String(), bearer{token: c.Token},
				api.WithClient(&http.Client{Transport: transport}))
			if err != nil {
				return nil, fmt.Errorf("client of %s: %w", address, err)
			}
			e.clients[c.Name] = client
		}
		b.entries = append(b.entries, e)
	}
	return b, nil
}

// pick returns the next entry VM that is not avoided and not the one in avoid;
// if all are avoided, the next one.
func (b *balancer) pick(avoid *entry, now time.Time) *entry {
	first := b.next.add(1)
	for i := range b.entries {
		candidate := b.entries[(first+int64(i))%int64(len(b.entries))]
		if candidate != avoid && candidate.usable(now) {
			return candidate
		}
	}
	return b.entries[first%int64(len(b.entries))]
}

func (e *entry) usable(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !now.Before(e.avoidedUntil)
}

func (e *entry) failed(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.avoidedUntil = now.Add(avoidance)
}

// isAnswer reports whether err is an answer of the system, not a failed connection.
func isAnswer(err error) (*api.ProblemStatusCode, bool) {
	problem := new(api.ProblemStatusCode)
	if errors.As(err, &problem) {
		return problem, true
	}
	return nil, false
}
