package oper

import (
	"context"
	"sync"
	"time"

	"tanagerstack.org/core/peer"
)

// queryTimeout limits how long a query of the fleet waits for slow VMs.
const queryTimeout = 2 * time.Second

// queryResult has the responses by VM name, and the names of the VMs that did not answer.
type queryResult[A any] struct {
	byVM    map[string]A
	missing []string
}

// query sends one request to one VM and keeps its response.
type query[Q peer.Message, A any] struct {
	peers    *peer.Node
	to       peer.Address
	request  Q
	response A
	err      error
	wg       *sync.WaitGroup
}

func (q *query[Q, A]) run(ctx context.Context) {
	defer q.wg.Done()
	q.response, q.err = peer.Call[A](ctx, q.peers, q.to, q.request)
}

// queryAll sends request to all other VMs in parallel and waits at most queryTimeout for their
// responses. Without a peer node (opts.Peers is nil) all other VMs are missing.
func queryAll[A any, Q peer.Message](ctx context.Context, opts *Options, request Q) queryResult[A] {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var queries []*query[Q, A]
	out := queryResult[A]{byVM: make(map[string]A), missing: []string{}}
	for _, vm := range opts.peers() {
		if opts.Peers == nil {
			out.missing = append(out.missing, vm.Name)
			continue
		}
		q := &query[Q, A]{peers: opts.Peers, to: peer.Address{Name: vm.Name, Addr: vm.PeerAddress}, request: request, wg: &wg}
		queries = append(queries, q)
		wg.Add(1)
		go q.run(ctx)
	}
	wg.Wait()
	for _, q := range queries {
		if q.err != nil {
			out.missing = append(out.missing, q.to.Name)
			continue
		}
		out.byVM[q.to.Name] = q.response
	}
	return out
}
