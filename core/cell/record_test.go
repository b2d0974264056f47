package cell

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/store"
)

// TestLargeProgressIsStored guards against progress that the store rejects because it exceeds the
// limit of a row, so that no result in the cell is acknowledged anymore. Each task has failed as
// often as it may without failing the job.
func TestLargeProgressIsStored(t *testing.T) {
	const limit, attempts = 65_536, 4
	memory := newMemoryStore()
	memory.maxValue = limit
	node := idleElector(t).node
	node.opts.MaxRowBytes = limit
	l := newLeader(t.Context(), node, leaderRow{Epoch: 1}, 1, time.Now(), predecessor{})
	want := jobs.Progress{State: jobs.Running, Started: true, Steps: []jobs.StepProgress{{}}}
	for task := range jobs.MaxTasks {
		for run := range attempts - 1 {
			want.Steps[0].Failures = append(want.Steps[0].Failures, jobs.Failure{Task: task, Run: 1000 + run})
		}
	}
	record, err := l.records.encode(engine.Record{ID: engine.ProgressID{Job: "job", Revision: 3}, Progress: want})
	if err != nil {
		t.Fatal(err)
	}
	changes := l.records.changes([]encodedRecord{record})[1:]
	if _, err := memory.Apply(t.Context(), changes); err != nil {
		t.Fatalf("store %d rows: %v", len(changes), err)
	}
	want.Epoch, want.Revision = 1, 3
	var rows []store.Row
	for _, row := range memory.rows {
		if row.Table == progressTable {
			rows = append(rows, row)
		}
	}
	if got := l.decodeProgress(rows); !reflect.DeepEqual(got, map[jobs.ID]jobs.Progress{"job": want}) {
		t.Errorf("progress of %d jobs read from %d rows differs from what was stored", len(got), len(rows))
	}
}

// TestRejectedProgressHoldsUpNobody guards against a job whose progress the store never accepts and
// that keeps all other jobs from being recorded.
func TestRejectedProgressHoldsUpNobody(t *testing.T) {
	memory := newMemoryStore()
	memory.put(t, "config", "config", "1")
	memory.put(t, "workers", "w1", "ready")
	memory.setFault(func(changes []store.Change) storeFault {
		for _, change := range changes {
			if put, ok := change.(store.Put); ok && put.Table == progressTable && put.Key == "bad" {
				if p, err := jobs.Decode[jobs.Progress](put.Value); err == nil && !p.State.Final() {
					return writeRejected
				}
			}
		}
		return noFault
	})
	node, _ := testNode(t, "vm", memory, newFakeWorkers(time.Millisecond))
	eventually(t, "the VM leads", leads(node))
	for _, id := range []jobs.ID{"bad", "good", "better"} {
		job := testJob(id)
		second := job.Steps[0]
		second.After = []int{0}
		job.Steps = append(job.Steps, second)
		eventually(t, "the job is accepted", func() bool { return node.Submit(t.Context(), job) == nil })
	}
	for _, id := range []jobs.ID{"bad", "good", "better"} {
		eventually(t, string(id)+" ends", func() bool {
			state, err := node.Status(t.Context(), id)
			if id != "bad" && state == jobs.Failed {
				t.Fatalf("%s failed", id)
			}
			return err == nil && state.Final()
		})
	}
}

// TestOddStoredRows guards against a leader that ends because of one stored row, and against running
// a job again whose progress cannot be read. The other jobs run.
func TestOddStoredRows(t *testing.T) {
	cyclic := testJob("odd")
	cyclic.Steps[0].After = []int{7}
	huge := testJob("odd")
	huge.Steps[0].Count = 1 << 40
	encoded := func(job jobs.Job) string {
		data, err := jobs.Encode(job)
		if err != nil {
			t.Fatal(err)
		}
		return string(data)
	}
	nested := strings.Repeat("\x81", 20_000)
	cases := map[string]struct{ job, progress string }{
		"job not CBOR":        {"\xff\xff", ""},
		"job deeply nested":   {nested, ""},
		"job of another name": {encoded(testJob("other")), ""},
		"cyclic steps":        {encoded(cyclic), ""},
		"too many tasks":      {encoded(huge), ""},
		"progress not CBOR":   {encoded(testJob("odd")), "\xff\xff"},
		"progress nested":     {encoded(testJob("odd")), nested},
		"progress lacks rows": {encoded(testJob("odd")), "\xa2\x01\x01\x05\x03"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			memory := newMemoryStore()
			memory.put(t, "config", "config", "1")
			memory.put(t, "workers", "w1", "ready")
			memory.put(t, JobsTable, "odd", c.job)
			if c.progress != "" {
				memory.put(t, progressTable, "odd", c.progress)
			}
			workers := newFakeWorkers(time.Millisecond)
			node, _ := testNode(t, "vm", memory, workers)
			eventually(t, "the VM leads", leads(node))
			eventually(t, "a sound job is accepted", func() bool { return node.Submit(t.Context(), testJob("sound")) == nil })
			eventually(t, "it is done", func() bool {
				state, err := node.Status(t.Context(), "sound")
				return err == nil && state == jobs.Done
			})
			if state, err := node.Status(t.Context(), "odd"); err == nil && state.Final() {
				t.Errorf("the odd job is %s", state)
			}
			workers.mu.Lock()
			defer workers.mu.Unlock()
			for task := range workers.starts {
				if task.Job == "odd" {
					t.Errorf("task %s of the odd job started", task)
				}
			}
		})
	}
}

// TestOlderRecordDoesNotReplaceNewer guards against stored progress that falls back to an earlier
// revision after a later one was committed and its results were acknowledged. Records of two events
// that are applied at the same time reach the recorder in either order.
func TestOlderRecordDoesNotReplaceNewer(t *testing.T) {
	add := func(l *leader, revision int) {
		l.records.add(engine.Record{ID: engine.ProgressID{Job: "job", Revision: revision}, Progress: jobs.Progress{Started: true}})
	}
	cases := map[string]struct {
		// revisions are those that are added, 0 takes a batch from the queue.
		revisions []int
		want      []int
	}{
		"in order":                  {[]int{1, 0, 2, 0}, []int{1, 2}},
		"newer one queued":          {[]int{2, 1, 0, 0}, []int{2}},
		"newer one taken":           {[]int{2, 0, 1, 0}, []int{2}},
		"newer one taken, newest":   {[]int{2, 0, 1, 3, 0}, []int{2, 3}},
		"newer one taken, repeated": {[]int{2, 0, 2, 0}, []int{2}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := newLeader(t.Context(), idleElector(t).node, leaderRow{Epoch: 1}, 1, time.Now(), predecessor{})
			var got []int
			for _, revision := range c.revisions {
				if revision > 0 {
					add(l, revision)
					continue
				}
				for _, record := range l.records.nextBatch() {
					got = append(got, record.ID.Revision)
				}
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("revisions %v taken, want %v", got, c.want)
			}
		})
	}
}

// TestAnswersWithNewerVersions guards against results that are acknowledged without being stored, and
// against leaders that give up, where the store answers a write with its newest version instead of
// that of the rows.
func TestAnswersWithNewerVersions(t *testing.T) {
	memory := newMemoryStore()
	memory.newerAnswers = true
	memory.put(t, "config", "config", "1")
	memory.put(t, "workers", "w1", "ready")
	workers := newFakeWorkers(20 * time.Millisecond)
	node, _ := testNode(t, "vm", memory, workers)
	eventually(t, "the VM leads", leads(node))
	for i := range 10 {
		job := testJob(jobs.ID(fmt.Sprintf("job%d", i)))
		for range 3 {
			step := job.Steps[0]
			step.After = []int{len(job.Steps) - 1}
			job.Steps = append(job.Steps, step)
		}
		eventually(t, "the job is accepted", func() bool { return node.Submit(t.Context(), job) == nil })
		eventually(t, "the job is done", func() bool {
			state, err := node.Status(t.Context(), job.ID)
			return err == nil && state == jobs.Done
		})
		row, err := memory.Read(t.Context(), progressTable, string(job.ID))
		if err != nil {
			t.Fatal(err)
		}
		if p, err := jobs.Decode[jobs.Progress](row.Value); err != nil || p.State != jobs.Done {
			t.Errorf("%s is reported as done, stored progress %+v, error %v", job.ID, p, err)
		}
	}
	if epoch := node.elector.current().Epoch; epoch != 1 {
		t.Errorf("epoch %d, want 1: the leader gave up", epoch)
	}
	workers.mu.Lock()
	defer workers.mu.Unlock()
	for task, count := range workers.starts {
		if count != 1 {
			t.Errorf("task %s started %d times", task, count)
		}
	}
}

// TestConflictProvesOneRecordOnly guards against taking a batch for committed because one of its rows
// has the content that it writes: an earlier record of the job may have had the same content.
func TestConflictProvesOneRecordOnly(t *testing.T) {
	l := newLeader(t.Context(), idleElector(t).node, leaderRow{Epoch: 3}, 7, time.Now(), predecessor{})
	encode := func(job jobs.ID, epoch int64, revision int) encodedRecord {
		l.epoch = epoch
		defer func() { l.epoch = 3 }()
		record, err := l.records.encode(engine.Record{ID: engine.ProgressID{Job: job, Revision: revision}, Progress: jobs.Progress{Started: true}})
		if err != nil {
			t.Fatal(err)
		}
		return record
	}
	batch := []encodedRecord{encode("a", 3, 5), encode("b", 3, 2)}
	row := func(r encodedRecord, version int64) store.Row {
		return store.Row{Table: progressTable, Key: string(r.ID.Job), Version: version, Value: r.value}
	}
	epochRow := func(epoch string) store.Row {
		return store.Row{Table: LeaderTable, Key: epochKey, Version: 6, Value: []byte(epoch)}
	}
	cases := map[string]struct {
		rows                 []store.Row
		committed, abandoned bool
		// version is that of job a's row afterwards.
		version int64
	}{
		"this record":             {[]store.Row{row(batch[0], 9)}, true, false, 0},
		"earlier record":          {[]store.Row{row(encode("a", 3, 4), 8)}, false, false, 8},
		"record of another epoch": {[]store.Row{row(encode("a", 4, 5), 9)}, false, true, 0},
		"earlier epoch":           {[]store.Row{row(encode("a", 2, 5), 9)}, false, true, 0},
		"own epoch row":           {[]store.Row{epochRow("3")}, false, false, 0},
		"later epoch row":         {[]store.Row{epochRow("4")}, false, true, 0},
		"no row":                  {nil, false, true, 0},
		"unreadable":              {[]store.Row{{Table: progressTable, Key: "a", Version: 9, Value: []byte{0xff}}}, false, true, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clear(l.records.versions)
			_, committed, err := l.records.resolveConflict(batch, &store.ConflictError{Rows: c.rows})
			if committed != c.committed || (err != nil) != c.abandoned || l.records.versions["a"] != c.version {
				t.Errorf("committed: %v, error %v, version %d; want %v, error: %v, %d", committed, err, l.records.versions["a"], c.committed, c.abandoned, c.version)
			}
		})
	}
}

// TestSplitBatchKeepsLimits checks that each part of a batch is within the limits of a commit unless it
// is a single record, and that the parts have all records in order.
func TestSplitBatchKeepsLimits(t *testing.T) {
	record := func(revision, bytes, parts int) encodedRecord {
		r := encodedRecord{Record: engine.Record{ID: engine.ProgressID{Revision: revision}}, value: make([]byte, bytes)}
		for range parts {
			r.parts = append(r.parts, store.Put{Value: make([]byte, bytes)})
		}
		return r
	}
	cases := map[string]struct {
		count, bytes, parts int
		// want holds the number of records in each part.
		want []int
	}{
		"none":               {0, 0, 0, nil},
		"small":              {48, 100, 0, []int{48}},
		"too many entries":   {60, 100, 0, []int{48, 12}},
		"too many bytes":     {10, 200_000, 0, []int{2, 2, 2, 2, 2}},
		"records with parts": {4, 60_000, 3, []int{2, 2}},
		"each beyond limits": {3, 60_000, 10, []int{1, 1, 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var batch []encodedRecord
			for i := range c.count {
				batch = append(batch, record(i, c.bytes, c.parts))
			}
			var got []int
			next := 0
			for _, part := range splitBatch(batch) {
				got = append(got, len(part))
				for _, r := range part {
					if r.ID.Revision != next {
						t.Errorf("record %d follows %d", r.ID.Revision, next-1)
					}
					next++
				}
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("parts of %v records, want %v", got, c.want)
			}
		})
	}
}
