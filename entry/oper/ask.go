package oper

import (
	"context"
	"sync"
	"time"

	"tanagerstack.org/core/peer"
)

// askTimeout bounds how long questions about the fleet wait for slow VMs.
const askTimeout = 2 * time.Second

// answers has what the VMs said, by their names, and who did not answer.
type answers[A any] struct {
	by      map[string]A
	missing []string
}

// asker puts one question to one VM.
type asker[Q peer.Message, A any] struct {
	peers    *peer.Node
	to       peer.Address
	question Q
	answer   A
	err      error
	done     *sync.WaitGroup
}

func (a *asker[Q, A]) run(ctx context.Context) {
	defer a.done.Done()
	a.answer, a.err = peer.Call[A](ctx, a.peers, a.to, a.question)
}

// askAll puts a question to all other VMs at once and waits for their answers.
func askAll[A any, Q peer.Message](ctx context.Context, opts *Options, question Q) answers[A] {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var done sync.WaitGroup
	var askers []*asker[Q, A]
	out := answers[A]{by: make(map[string]A), missing: []string{}}
	for _, vm := range opts.peers() {
		if opts.Peers == nil {
			out.missing = append(out.missing, vm.Name)
			continue
		}
		a := &asker[Q, A]{peers: opts.Peers, to: peer.Address{Name: vm.Name, Addr: vm.PeerAddress}, question: question, done: &done}
		askers = append(askers, a)
		done.Add(1)
		go a.run(ctx)
	}
	done.Wait()
	for _, a := range askers {
		if a.err != nil {
			out.missing = append(out.missing, a.to.Name)
			continue
		}
		out.by[a.to.Name] = a.answer
	}
	return out
}
