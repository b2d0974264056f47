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

// refusal is how the store treats a VM that it turns away.
type refusal int32

const (
	served refusal = iota
	// turnedAway calls are answered at once, and nothing is done.
	turnedAway
	// unanswered calls get no answer, and nothing is done.
	unanswered
)

// door is one VM's way to the platform, which can turn it away.
type door struct {
	*memoryPlatform
	refusal atomic.Int32
}

func (d *door) pass(ctx context.Context) error {
	switch refusal(d.refusal.Load()) {
	case turnedAway:
		return store.ErrUnavailable
	case unanswered:
		<-ctx.Done()
		return store.ErrOutcomeUnknown
	}
	return nil
}

func (d *door) Commit(ctx context.Context, group []store.Transaction) ([]store.Result, error) {
	if err := d.pass(ctx); err != nil {
		return nil, err
	}
	return d.memoryPlatform.Commit(ctx, group)
}

func (d *door) Read(ctx context.Context, table, key string) (store.Row, error) {
	if err := d.pass(ctx); err != nil {
		return store.Row{}, err
	}
	return d.memoryPlatform.Read(ctx, table, key)
}

func (d *door) Scan(ctx context.Context, table, prefix, cursor string) (store.Page, error) {
	if err := d.pass(ctx); err != nil {
		return store.Page{}, err
	}
	return d.memoryPlatform.Scan(ctx, table, prefix, cursor)
}

func (d *door) Watch(ctx context.Context, table string, after int64, wait time.Duration) (store.Changes, error) {
	if err := d.pass(ctx); err != nil {
		return store.Changes{}, err
	}
	return d.memoryPlatform.Watch(ctx, table, after, wait)
}

// TestTurnedAwayVMServesItsCallers checks that a VM which the store does not answer
// takes jobs through another VM, whether it leads or not.
func TestTurnedAwayVMServesItsCallers(t *testing.T) {
	cases := map[string]struct {
		refusal refusal
		// leader says that the leader is the one turned away.
		leader bool
	}{
		"turned away":         {turnedAway, false},
		"unanswered":          {unanswered, false},
		"leader, turned away": {turnedAway, true},
		"leader, unanswered":  {unanswered, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			workers := newFakeWorkers(10 * time.Millisecond)
			platform := newMemoryPlatform()
			platform.put(t, "config", "config", "1")
			platform.put(t, "workers", "w1", "ready")
			doors := make(map[*Node]*door)
			var nodes []*Node
			for _, vm := range []string{"a", "b", "c"} {
				d := &door{memoryPlatform: platform}
				node, _ := testNodeOn(t, vm, d, workers)
				doors[node] = d
				nodes = append(nodes, node)
			}
			eventually(t, "all VMs are known to each other", func() bool {
				for _, node := range nodes {
					if len(node.elector.current().VMs) < len(nodes) {
						return false
					}
				}
				return true
			})
			var away *Node
			for _, node := range nodes {
				if (node.leader() != nil) == c.leader {
					away = node
				}
			}
			doors[away].refusal.Store(int32(c.refusal))
			eventually(t, "a job is accepted by the VM that was turned away", func() bool {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				err := away.Submit(ctx, testJob("job"))
				if err != nil && !errors.Is(err, ErrRefused) && !errors.Is(err, ErrUncertain) {
					t.Errorf("Submit: %v", err)
				}
				return err == nil
			})
			eventually(t, "the job is done", func() bool {
				state, err := away.Status(t.Context(), "job")
				return err == nil && state == jobs.Done
			})
			if away.opts.Store.Stats().Proxied.Load() == 0 {
				t.Error("no call went through another VM")
			}
			eventually(t, "a VM that the store answers leads", func() bool {
				return countLeaders(nodes) == 1 && away.leader() == nil
			})
			doors[away].refusal.Store(int32(served))
			eventually(t, "the direct way is taken again", func() bool { return away.opts.Store.DirectTransport() != nil })
		})
	}
}

// TestDetourKeepsTheCallersTime checks that a call through another VM has all the time
// that its caller has, at any instant within a second.
func TestDetourKeepsTheCallersTime(t *testing.T) {
	workers := newFakeWorkers(10 * time.Millisecond)
	_, nodes, _ := startCell(t, workers, "a", "b")
	eventually(t, "the VMs know each other", func() bool {
		return len(nodes[0].elector.current().VMs) == len(nodes)
	})
	way := &detour{node: nodes[0]}
	for i := range 20 {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second+time.Duration(i)*50*time.Millisecond)
		question := way.question(ctx, storeQuestion{})
		cancel()
		if question.Timeout < 19*time.Second {
			t.Fatalf("%s of 20 s are left", question.Timeout)
		}
		data, err := cbor.Marshal(question)
		if err != nil {
			t.Fatal(err)
		}
		var received storeQuestion
		if err := cbor.Unmarshal(data, &received); err != nil || received.Timeout != question.Timeout {
			t.Fatalf("%s became %s: %v", question.Timeout, received.Timeout, err)
		}
	}
}
