package cell

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"tanagerstack.org/core/intake"
	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/orgs"
	"tanagerstack.org/core/roster"
	"tanagerstack.org/core/store"
)

// fullCell returns a snapshot of a cell whose capacity becomes free after half a minute.
func fullCell() *intake.Snapshot {
	q := intake.Queue{Name: testQueue.Name, Short: intake.ShortEstimate, Long: intake.LongEstimate}
	q.Free[len(q.Free)-1] = 100_000
	return &intake.Snapshot{Queues: []intake.Queue{q}}
}

// organizations returns a directory of one organization that may run two processors.
func organizations(t *testing.T) *orgs.Directory {
	t.Helper()
	directory, err := orgs.NewDirectory([]orgs.Organization{{Name: "org", Weight: 10, Cap: roster.Resources{Millicores: 2000}}})
	if err != nil {
		t.Fatal(err)
	}
	return directory
}

// admissionNode returns a node on a store that is not run.
func admissionNode(t *testing.T, transport store.Transport, admission Admission, directory *orgs.Directory) *Node {
	t.Helper()
	client, err := store.New(store.Options{Transport: transport})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	node := New(Options{Name: "vm", Store: client, Logger: testLogger{t}, Admission: admission})
	node.applyConfig(&jobs.Config{Version: 1, Queues: []jobs.Queue{testQueue}, Organizations: directory})
	return node
}

// TestAdmission checks who is refused, that a refused job was not stored, and that everything is as without
// admission where it is off, where the cell has no organizations, and where the VM knows no recent load.
func TestAdmission(t *testing.T) {
	cases := map[string]struct {
		admission Admission
		directory bool
		snapshot  *intake.Snapshot
		age       time.Duration
		gang      bool
		// refused is the number of seconds to come back that is wanted at least; below 0 if the job is to be accepted.
		refused     time.Duration
		callerLimit bool
	}{
		"auto without organizations":         {AdmissionAuto, false, fullCell(), 0, false, -1, false},
		"auto with organizations":            {AdmissionAuto, true, fullCell(), 0, false, -1, false},
		"on with organizations":              {AdmissionOn, true, fullCell(), 0, false, 16 * time.Second, false},
		"on without organizations":           {AdmissionOn, false, fullCell(), 0, false, 16 * time.Second, false},
		"off with organizations":             {AdmissionOff, true, fullCell(), 0, true, -1, false},
		"leader is loading":                  {AdmissionOn, true, nil, 0, false, -1, false},
		"snapshot too old":                   {AdmissionOn, true, fullCell(), intake.MaxAge + time.Second, false, -1, false},
		"gang wider than the cap, no leader": {AdmissionAuto, true, nil, 0, true, 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var directory *orgs.Directory
			if c.directory {
				directory = organizations(t)
			}
			memory := newMemoryStore()
			node := admissionNode(t, memory, c.admission, directory)
			node.admission.received(c.snapshot, time.Now().Add(-c.age))
			job := testJob("job")
			job.Organization = "org"
			if c.gang {
				job.Steps[0].Gang, job.Steps[0].Count = true, 5
			}
			err := node.Submit(t.Context(), job)
			var refused *RefusedError
			switch {
			case c.refused < 0 && err != nil:
				t.Errorf("Submit: %v, want acceptance", err)
			case c.refused >= 0 && !errors.As(err, &refused):
				t.Errorf("Submit: %v, want a refusal", err)
			case refused != nil && (refused.RetryAfter < c.refused || c.refused == 0 && refused.RetryAfter > 0 || refused.CallerLimit != c.callerLimit):
				t.Errorf("got refusal %+v, want at least %s and caller's limit %v", refused, c.refused, c.callerLimit)
			}
			row, _ := memory.Read(t.Context(), JobsTable, "job")
			if stored := row.Version != store.Absent; stored != (c.refused < 0) {
				t.Errorf("job stored: %v, submission: %v", stored, err)
			}
		})
	}
}

// unreadableStore is a store that answers no reads.
type unreadableStore struct{ *memoryStore }

func (unreadableStore) Read(context.Context, string, string) (store.Row, error) {
	return store.Row{}, store.ErrUnavailable
}

// TestRefusalIsTrue checks that a submission which would be refused for the load is answered as accepted, or goes
// on to the store, if an earlier attempt stored the job, may have stored it, or if that cannot be known. A refusal
// of a job that runs is false.
func TestRefusalIsTrue(t *testing.T) {
	cases := map[string]struct {
		before  *jobs.Job
		prepare func(n *Node)
		noReads bool
		want    error
	}{
		"first attempt":               {want: ErrRefused},
		"accepted before":             {before: &jobs.Job{ID: "job", Spec: jobs.NewSpec("earlier")}},
		"finished before":             {before: &jobs.Job{ID: "job", FinalState: jobs.Done}},
		"refused before":              {before: &jobs.Job{ID: "job", Refused: true}, want: ErrRefused},
		"earlier write has no answer": {prepare: func(n *Node) { n.admission.noteUncertain(time.Now(), "job") }},
		"earlier write is long past":  {prepare: func(n *Node) { n.admission.noteUncertain(time.Now().Add(-2*uncertainFor), "job") }, want: ErrRefused},
		"store answers no reads":      {noReads: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			memory := newMemoryStore()
			if c.before != nil {
				memory.putJob(t, *c.before)
			}
			var transport store.Transport = memory
			if c.noReads {
				transport = unreadableStore{memory}
			}
			node := admissionNode(t, transport, AdmissionOn, nil)
			node.admission.received(fullCell(), time.Now())
			if c.prepare != nil {
				c.prepare(node)
			}
			if err := node.Submit(t.Context(), testJob("job")); !errors.Is(err, c.want) || err != nil && c.want == nil {
				t.Errorf("Submit: %v, want %v", err, c.want)
			}
		})
	}
}

// TestLostAnswerIsNotRefusedLater checks that a VM whose write had no answer does not refuse the next attempt.
func TestLostAnswerIsNotRefusedLater(t *testing.T) {
	memory := newMemoryStore()
	node := admissionNode(t, memory, AdmissionOn, nil)
	memory.setFault(func([]store.Change) storeFault { return writeLost })
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	if err := node.Submit(ctx, testJob("job")); !errors.Is(err, ErrOutcomeUnknown) {
		t.Fatalf("Submit: %v, want %v", err, ErrOutcomeUnknown)
	}
	if !node.admission.mayBeStored(time.Now(), "job") {
		t.Error("the next attempt would be refused, although the write may still be executed")
	}
}

// TestSnapshotReachesVMs checks that followers and the leader itself get the load with the heartbeats, and that
// no load is sent where admission is off.
func TestSnapshotReachesVMs(t *testing.T) {
	memory := newMemoryStore()
	memory.put(t, "config", "config", "1")
	memory.put(t, "workers", "w1", "ready")
	workers := newFakeWorkers(time.Hour)
	on := func(o *Options) { o.Admission = AdmissionOn }
	first, _ := testNodeWithOptions(t, "vm1", memory, workers, workers, on)
	second, _ := testNodeWithOptions(t, "vm2", memory, workers, workers, on)
	for _, node := range []*Node{first, second} {
		eventually(t, "the VM has a snapshot", func() bool {
			node.admission.mu.Lock()
			defer node.admission.mu.Unlock()
			return node.admission.snapshot.Fresh(time.Now()) && len(node.admission.snapshot.Queues) == 1
		})
	}
}

// TestNoSnapshotWhereOff checks that the leader of a cell without admission takes no snapshots.
func TestNoSnapshotWhereOff(t *testing.T) {
	_, nodes, _ := startCell(t, newFakeWorkers(time.Hour), "vm1")
	eventually(t, "the jobs are loaded", func() bool { return nodes[0].leader().pending() != nil })
	if nodes[0].leader().loadSnapshot() != nil {
		t.Error("a snapshot is taken in a cell without organizations")
	}
}

// TestAbandonedSubmissionEnds checks that a submission whose client has disconnected ends at once, so that it
// holds no place in the queue for the store.
func TestAbandonedSubmissionEnds(t *testing.T) {
	memory := newMemoryStore()
	memory.setFault(func([]store.Change) storeFault { return writeLost })
	node := admissionNode(t, memory, AdmissionOff, nil)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	began := time.Now()
	if err := node.Submit(ctx, testJob("job")); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("Submit: %v, want %v", err, ErrOutcomeUnknown)
	}
	if took := time.Since(began); took >= writeRetryLimit {
		t.Errorf("the submission went on for %s after its client had left", took)
	}
}

// TestRefusalsAreCounted checks the metrics of refusals and of wasted work.
func TestRefusalsAreCounted(t *testing.T) {
	node := admissionNode(t, newMemoryStore(), AdmissionOn, nil)
	node.admission.received(fullCell(), time.Now())
	for range 3 {
		_ = node.Submit(t.Context(), testJob("job"))
	}
	recorder := httptest.NewRecorder()
	node.MetricsHandler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	if want := `tanager_refused_jobs_total{reason="too-late"} 3`; !strings.Contains(recorder.Body.String(), want) {
		t.Errorf("metrics lack %s", want)
	}
}
