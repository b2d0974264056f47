package cell

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/store"
)

// storeMode is how the store treats the calls of a VM.
type storeMode int32

const (
	storeAnswers storeMode = iota
	// storeRejects means that calls fail at once without effect.
	storeRejects
	// storeSilent means that calls get no answer and have no effect.
	storeSilent
)

// faultyTransport is one VM's transport to the store, which can reject its calls or not answer
// them.
type faultyTransport struct {
	*memoryStore
	mode atomic.Int32
}

func (f *faultyTransport) check(ctx context.Context) error {
	switch storeMode(f.mode.Load()) {
	case storeRejects:
		return store.ErrUnavailable
	case storeSilent:
		<-ctx.Done()
		return store.ErrOutcomeUnknown
	}
	return nil
}

func (f *faultyTransport) Commit(ctx context.Context, group []store.Transaction) ([]store.Result, error) {
	if err := f.check(ctx); err != nil {
		return nil, err
	}
	return f.memoryStore.Commit(ctx, group)
}

func (f *faultyTransport) Read(ctx context.Context, table, key string) (store.Row, error) {
	if err := f.check(ctx); err != nil {
		return store.Row{}, err
	}
	return f.memoryStore.Read(ctx, table, key)
}

func (f *faultyTransport) Scan(ctx context.Context, table, prefix, cursor string) (store.Page, error) {
	if err := f.check(ctx); err != nil {
		return store.Page{}, err
	}
	return f.memoryStore.Scan(ctx, table, prefix, cursor)
}

func (f *faultyTransport) Watch(ctx context.Context, table string, after int64, wait time.Duration) (store.Changes, error) {
	if err := f.check(ctx); err != nil {
		return store.Changes{}, err
	}
	return f.memoryStore.Watch(ctx, table, after, wait)
}

// TestTurnedAwayVMServesItsCallers checks that a VM whose store calls are rejected or not
// answered accepts jobs through another VM, whether it leads or not.
func TestTurnedAwayVMServesItsCallers(t *testing.T) {
	cases := map[string]struct {
		refusal storeMode
		// leader is true if the leader's calls are affected.
		leader bool
	}{
		"rejected":           {storeRejects, false},
		"unanswered":         {storeSilent, false},
		"leader, rejected":   {storeRejects, true},
		"leader, unanswered": {storeSilent, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			workers := newFakeWorkers(10 * time.Millisecond)
			memory := newMemoryStore()
			memory.put(t, "config", "config", "1")
			memory.put(t, "workers", "w1", "ready")
			transports := make(map[*Node]*faultyTransport)
			var nodes []*Node
			for _, vm := range []string{"a", "b", "c"} {
				f := &faultyTransport{memoryStore: memory}
				node, _ := testNodeOnTransport(t, vm, f, workers)
				transports[node] = f
				nodes = append(nodes, node)
			}
			eventually(t, "all VMs know each other", func() bool {
				for _, node := range nodes {
					if len(node.elector.current().VMs) < len(nodes) {
						return false
					}
				}
				return true
			})
			var rejected *Node
			for _, node := range nodes {
				if (node.leader() != nil) == c.leader {
					rejected = node
				}
			}
			transports[rejected].mode.Store(int32(c.refusal))
			eventually(t, "the VM without direct access to the store accepts a job", func() bool {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				err := rejected.Submit(ctx, testJob("job"))
				if err != nil && !errors.Is(err, ErrRefused) && !errors.Is(err, ErrOutcomeUnknown) {
					t.Errorf("Submit: %v", err)
				}
				return err == nil
			})
			eventually(t, "the job is done", func() bool {
				state, err := rejected.Status(t.Context(), "job")
				return err == nil && state == jobs.Done
			})
			if rejected.opts.Store.Stats().Proxied.Load() == 0 {
				t.Error("no call went through another VM")
			}
			eventually(t, "a VM with direct access to the store leads", func() bool {
				return countLeaders(nodes) == 1 && rejected.leader() == nil
			})
			transports[rejected].mode.Store(int32(storeAnswers))
			eventually(t, "the VM reaches the store directly again", func() bool { return rejected.opts.Store.DirectTransport() != nil })
		})
	}
}

// TestProxiedCallKeepsCallerTimeout checks that a call through another VM gets the whole time
// that its caller has, for timeouts that end at any fraction of a second.
func TestProxiedCallKeepsCallerTimeout(t *testing.T) {
	workers := newFakeWorkers(10 * time.Millisecond)
	_, nodes, _ := startCell(t, workers, "a", "b")
	eventually(t, "the VMs know each other", func() bool {
		return len(nodes[0].elector.current().VMs) == len(nodes)
	})
	proxy := &storeProxy{node: nodes[0]}
	for i := range 20 {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second+time.Duration(i)*50*time.Millisecond)
		request := proxy.withTimeout(ctx, storeRequest{})
		cancel()
		if request.Timeout < 19*time.Second {
			t.Fatalf("%s of at least 20 s are left", request.Timeout)
		}
		data, err := cbor.Marshal(request)
		if err != nil {
			t.Fatal(err)
		}
		var received storeRequest
		if err := cbor.Unmarshal(data, &received); err != nil || received.Timeout != request.Timeout {
			t.Fatalf("timeout %s decoded as %s, error %v", request.Timeout, received.Timeout, err)
		}
	}
}
