package cell

import (
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/learn"
	"tanagerstack.org/core/store"
)

// runningLeader starts a node that leads, and returns it with a learnedStore of its leadership that the
// test calls itself.
func runningLeader(t *testing.T, name string, memory *memoryStore, d engine.Durations) (node *Node, s *learnedStore, stop func()) {
	t.Helper()
	workers := newFakeWorkers(time.Millisecond)
	node, stop = testNodeWithOptions(t, name, memory, workers, workers, func(o *Options) { o.Durations = d })
	eventually(t, "the VM leads and has loaded the jobs", func() bool { return node.leader() != nil && node.leader().pending() != nil })
	return node, newLearnedStore(node.leader()), stop
}

// idleLearnedStore returns the learnedStore of a leader of epoch 1 that does nothing else.
func idleLearnedStore(t *testing.T, memory *memoryStore, maxRowBytes int) *learnedStore {
	t.Helper()
	client, err := store.New(store.Options{Transport: memory})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	memory.put(t, LeaderTable, epochKey, "1")
	node := New(Options{Name: "vm", Store: client, Logger: silentLogger{}, Durations: engine.DurationsLearned, MaxRowBytes: maxRowBytes})
	return newLearnedStore(newLeader(t.Context(), node, leaderRow{Epoch: 1}, memory.version, time.Now(), predecessor{}))
}

// observe lets the leader learn that tasks of a queue take ten times as long as estimated.
func (s *learnedStore) observe(queue string, organizations int) {
	s.leader.mu.Lock()
	defer s.leader.mu.Unlock()
	began := time.Now()
	for n := range 100 * organizations {
		k := learn.Key{Queue: queue, Organization: fmt.Sprintf("organization-%d", n%organizations), WorkerKind: "k"}
		s.leader.engine.Learned().Observe(began, k, time.Second, 10*time.Second, true)
	}
}

func (s *learnedStore) median(queue string) time.Duration {
	s.leader.mu.Lock()
	defer s.leader.mu.Unlock()
	p := s.leader.engine.Learned().Predict(learn.Key{Queue: queue, Organization: "organization-0"}, time.Second)
	return p.Median()
}

func (m *memoryStore) learned(queue string) store.Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.row([2]string{learnedTable, queue})
}

func metricsOf(n *Node) string {
	answer := httptest.NewRecorder()
	n.MetricsHandler().ServeHTTP(answer, httptest.NewRequest("GET", "/", nil))
	text, _ := io.ReadAll(answer.Body)
	return string(text)
}

// TestLearnedDurationsSurviveTakeover guards against losing what was learned with the leader. The next
// leader reads it by itself.
func TestLearnedDurationsSurviveTakeover(t *testing.T) {
	memory := newMemoryStore()
	memory.put(t, "config", "config", "1")
	_, s, stop := runningLeader(t, "first", memory, engine.DurationsLearned)
	s.observe("queue", 1)
	s.write(t.Context())
	stop()
	_, next, _ := runningLeader(t, "second", memory, engine.DurationsLearned)
	eventually(t, "the next leader knows the durations", func() bool { return next.median("queue") > 8*time.Second })
}

// TestUnchangedDurationsAreNotWritten guards against writes of what is stored already.
func TestUnchangedDurationsAreNotWritten(t *testing.T) {
	memory := newMemoryStore()
	s := idleLearnedStore(t, memory, 0)
	s.observe("queue", 1)
	s.write(t.Context())
	before := memory.learned("queue").Version
	s.write(t.Context())
	if after := memory.learned("queue").Version; after != before || before == 0 {
		t.Errorf("version %d after %d", after, before)
	}
	next := newLearnedStore(s.leader)
	if !next.read(t.Context()) {
		t.Fatal("not read")
	}
	next.write(t.Context())
	if after := memory.learned("queue").Version; after != before {
		t.Errorf("version %d after %d: what was read was written again", after, before)
	}
}

// TestEstimatesReadAndWriteNothing guards against calls to the store in a cell that does not use learned
// durations.
func TestEstimatesReadAndWriteNothing(t *testing.T) {
	memory := newMemoryStore()
	memory.put(t, "config", "config", "1")
	for _, d := range []engine.Durations{"", engine.DurationsAuto, engine.DurationsNoise} {
		node, s, stop := runningLeader(t, "vm"+string(d), memory, d)
		eventually(t, "the configuration is in force", func() bool { return node.Config() != nil })
		s.write(t.Context())
		if s.inUse() {
			t.Errorf("%q: learned durations are in use", d)
		}
		stop()
	}
	memory.mu.Lock()
	defer memory.mu.Unlock()
	if memory.scans[learnedTable] > 0 {
		t.Error("the table was read")
	}
}

// TestUnreadableDurationsAreLeftOut guards against a stored row that spoils the others or ends the
// leader.
func TestUnreadableDurationsAreLeftOut(t *testing.T) {
	memory := newMemoryStore()
	s := idleLearnedStore(t, memory, 0)
	s.observe("queue", 1)
	s.write(t.Context())
	row := memory.learned("queue")
	memory.put(t, learnedTable, "cut", string(row.Value[:len(row.Value)/2]))
	memory.put(t, learnedTable, "empty", "")
	memory.put(t, learnedTable, "large", string(make([]byte, learnedRowBytes+1)))
	memory.put(t, learnedTable, "whole", string(row.Value))
	if !newLearnedStore(s.leader).read(t.Context()) {
		t.Fatal("not read")
	}
	for queue, want := range map[string]time.Duration{"cut": time.Second, "empty": time.Second, "large": time.Second, "whole": 10 * time.Second} {
		if got := s.median(queue); got < want*8/10 || got > want*12/10 {
			t.Errorf("%s: median %s, want about %s", queue, got, want)
		}
	}
	if text := metricsOf(s.leader.node); !strings.Contains(text, `tanager_unreadable_entries_total{kind="durations"} 3`) {
		t.Error("unreadable rows were not counted")
	}
}

// TestReplacedLeaderWritesNoDurations guards against a leader that overwrites what a later one learned.
func TestReplacedLeaderWritesNoDurations(t *testing.T) {
	memory := newMemoryStore()
	s := idleLearnedStore(t, memory, 0)
	s.observe("queue", 1)
	memory.put(t, LeaderTable, epochKey, "1000")
	s.write(t.Context())
	if row := memory.learned("queue"); row.Version != 0 {
		t.Errorf("a replaced leader wrote version %d", row.Version)
	}
}

// TestDurationsWithoutStore guards against jobs that wait for learned durations, and against giving up
// after a failure: the table cannot be written at first.
func TestDurationsWithoutStore(t *testing.T) {
	faults := map[string]storeFault{"down": storeDown, "answer lost": answerLost, "write lost": writeLost, "rejected": writeRejected}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			memory := newMemoryStore()
			memory.put(t, "config", "config", "1")
			memory.put(t, "workers", "w1", "ready")
			memory.setFault(func(changes []store.Change) storeFault {
				if put, ok := changes[len(changes)-1].(store.Put); ok && put.Table == learnedTable && put.Key == "queue" {
					return fault
				}
				return noFault
			})
			node, s, _ := runningLeader(t, "vm", memory, engine.DurationsLearned)
			s.observe("queue", 1)
			s.write(t.Context())
			job := testJob("job")
			eventually(t, "the job is accepted", func() bool { return node.Submit(t.Context(), job) == nil })
			eventually(t, "the job ends", func() bool {
				state, err := node.Status(t.Context(), "job")
				return err == nil && state.Final()
			})
			memory.setFault(nil)
			s.observe("queue", 1)
			eventually(t, "the durations are written", func() bool {
				s.write(t.Context())
				return memory.learned("queue").Version > 0
			})
		})
	}
}

// TestDurationsFitTheRow guards against rows that the store rejects for their size.
func TestDurationsFitTheRow(t *testing.T) {
	memory := newMemoryStore()
	memory.maxValue = 4000
	s := idleLearnedStore(t, memory, 4000)
	s.observe("queue", 90)
	s.write(t.Context())
	if row := memory.learned("queue"); row.Version == 0 || len(row.Value) > 4000 {
		t.Errorf("version %d of %d bytes", row.Version, len(row.Value))
	}
}
