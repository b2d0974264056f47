package cell

import (
	"errors"
	"testing"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/orgs"
	"tanagerstack.org/core/store"
)

// keyedTestConfig is a configuration with the organizations a and b, whose keys are ka and kb.
func keyedTestConfig(version int64) *jobs.Config {
	directory, err := orgs.NewDirectory([]orgs.Organization{
		{Name: "a", Keys: []orgs.Digest{orgs.DigestOf("ka")}}, {Name: "b", Keys: []orgs.Digest{orgs.DigestOf("kb")}},
	})
	if err != nil {
		panic(err)
	}
	return &jobs.Config{Version: version, Queues: []jobs.Queue{testQueue, {Name: "open", Service: "service", Public: true}}, Organizations: directory}
}

// callerOf returns the caller with a key, or without one at a public queue.
func callerOf(t *testing.T, key string) Caller {
	t.Helper()
	view := ConfigView{Config: keyedTestConfig(1)}
	queue := view.Config.Queues[0]
	if key == "" {
		queue = view.Config.Queues[1]
	}
	caller, err := view.Authenticate(queue, key)
	if err != nil {
		t.Fatal(err)
	}
	return caller
}

// TestAuthenticate checks who a caller is. The load is each request of a cell.
func TestAuthenticate(t *testing.T) {
	config := keyedTestConfig(1)
	plain := &jobs.Config{Version: 1, Queues: config.Queues}
	const limit = 4 * time.Second
	cases := map[string]struct {
		view   ConfigView
		public bool
		key    string
		want   string
		err    error
	}{
		"known key":                     {ConfigView{Config: config}, false, "ka", "a", nil},
		"other known key":               {ConfigView{Config: config}, false, "kb", "b", nil},
		"unknown key":                   {ConfigView{Config: config}, false, "kc", "", ErrUnknownKey},
		"no key":                        {ConfigView{Config: config}, false, "", "", ErrUnknownKey},
		"public queue":                  {ConfigView{Config: config}, true, "ka", "", nil},
		"no organizations":              {ConfigView{Config: plain}, false, "kc", "", nil},
		"not strict, old":               {ConfigView{Config: config, ProofAge: time.Hour}, false, "ka", "a", nil},
		"not strict, old, unknown":      {ConfigView{Config: config, ProofAge: time.Hour}, false, "kc", "", ErrUnknownKey},
		"strict, recent":                {ConfigView{config, limit - 1, limit}, false, "ka", "a", nil},
		"strict, recent, unknown":       {ConfigView{config, limit - 1, limit}, false, "kc", "", ErrUnknownKey},
		"strict, old":                   {ConfigView{config, limit, limit}, false, "ka", "", ErrConfigUnproved},
		"strict, old, unknown":          {ConfigView{config, limit, limit}, false, "kc", "", ErrConfigUnproved},
		"strict, old, public":           {ConfigView{config, limit, limit}, true, "ka", "", nil},
		"strict, old, no organizations": {ConfigView{plain, limit, limit}, false, "kc", "", nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			caller, err := c.view.Authenticate(jobs.Queue{Name: "queue", Public: c.public}, c.key)
			if caller.Organization != c.want || !errors.Is(err, c.err) || err != nil && c.err == nil {
				t.Errorf("caller of %q, error %v; want %q, %v", caller.Organization, err, c.want, c.err)
			}
		})
	}
}

// TestUnprovedNeedsOrganizations guards against a cell without organizations that reports not ready.
func TestUnprovedNeedsOrganizations(t *testing.T) {
	for name, c := range map[string]struct {
		config *jobs.Config
		want   bool
	}{
		"none yet": {nil, false}, "without organizations": {&jobs.Config{}, false}, "with organizations": {keyedTestConfig(1), true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := (ConfigView{c.config, time.Hour, time.Second}).Unproved(); got != c.want {
				t.Errorf("unproved: %v, want %v", got, c.want)
			}
		})
	}
}

// TestWhoMayUseJob checks who may see and cancel a job.
func TestWhoMayUseJob(t *testing.T) {
	a, b, anonymous := callerOf(t, "ka"), callerOf(t, "kb"), callerOf(t, "")
	cases := map[string]struct {
		caller Caller
		owner  owner
		want   bool
	}{
		"own job":                               {a, owner{"a", "queue"}, true},
		"job of another organization":           {b, owner{"a", "queue"}, false},
		"job of an organization, without key":   {anonymous, owner{"a", "queue"}, false},
		"same, in a queue that became public":   {anonymous, owner{"a", "open"}, false},
		"job without organization":              {a, owner{"", "open"}, true},
		"same, without key":                     {anonymous, owner{"", "open"}, true},
		"from before keys":                      {b, owner{"", "queue"}, true},
		"from before keys, without key":         {anonymous, owner{"", "queue"}, false},
		"queue is gone, without key":            {anonymous, owner{"", "gone"}, false},
		"cell without organizations":            {Caller{config: &jobs.Config{}}, owner{"a", "queue"}, true},
		"organization that is no longer listed": {a, owner{"gone", "queue"}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := c.caller.mayUse(c.owner); got != c.want {
				t.Errorf("may use: %v, want %v", got, c.want)
			}
		})
	}
}

// TestJobsBelongToTheirOrganization guards against callers that see, cancel, or are told that they
// submitted the job of another organization, wherever its state is read from: the leader, another VM,
// or the stored row, also once it is the short row of a final job.
func TestJobsBelongToTheirOrganization(t *testing.T) {
	workers := newFakeWorkers(time.Hour)
	memory, nodes, stops := startCell(t, workers, "vm1", "vm2")
	a, b := callerOf(t, "ka"), callerOf(t, "kb")
	job := testJob("job")
	job.Organization = "a"
	other := job
	other.Organization = "b"
	if err := nodes[0].Submit(t.Context(), job); err != nil {
		t.Fatal(err)
	}
	for _, node := range nodes {
		eventually(t, "the leader knows the job", func() bool {
			reply, ok := node.queryLeader(t.Context(), "job")
			return ok && reply.Known
		})
		check := func(source string) {
			if _, err := node.StatusFor(t.Context(), a, "job"); err != nil {
				t.Errorf("%s: status for the owner: %v", source, err)
			}
			if _, err := node.StatusFor(t.Context(), b, "job"); !errors.Is(err, ErrForbidden) {
				t.Errorf("%s: status for another organization: %v, want %v", source, err, ErrForbidden)
			}
			if err := node.CancelFor(t.Context(), b, "job"); !errors.Is(err, ErrForbidden) {
				t.Errorf("%s: cancel by another organization: %v, want %v", source, err, ErrForbidden)
			}
			if err := node.Submit(t.Context(), other); !errors.Is(err, ErrForbidden) {
				t.Errorf("%s: submission of the ID by another organization: %v, want %v", source, err, ErrForbidden)
			}
			if err := node.Submit(t.Context(), job); err != nil {
				t.Errorf("%s: submission repeated by the owner: %v", source, err)
			}
		}
		check("from the leader")
	}
	row, _ := memory.Read(t.Context(), JobsTable, "job/cancel")
	if row.Version != store.Absent {
		t.Error("a refused cancellation is stored")
	}
	if err := nodes[1].CancelFor(t.Context(), a, "job"); err != nil {
		t.Fatalf("cancel by the owner: %v", err)
	}
	eventually(t, "the row is compacted", func() bool {
		row, _ := memory.Read(t.Context(), JobsTable, "job")
		stored, err := jobs.Decode[jobs.Job](row.Value)
		return err == nil && stored.FinalState == jobs.Canceled
	})
	for _, stop := range stops {
		stop()
	}
	// Nobody leads, so that the row decides.
	node := idleElector(t).node
	node.opts.Store = testClient(t, memory)
	if _, err := node.StatusFor(t.Context(), a, "job"); err != nil {
		t.Errorf("from the short row: status for the owner: %v", err)
	}
	if _, err := node.StatusFor(t.Context(), b, "job"); !errors.Is(err, ErrForbidden) {
		t.Errorf("from the short row: status for another organization: %v, want %v", err, ErrForbidden)
	}
	if err := node.Submit(t.Context(), other); !errors.Is(err, ErrForbidden) {
		t.Errorf("over the short row: submission by another organization: %v, want %v", err, ErrForbidden)
	}
}

func testClient(t *testing.T, transport store.Transport) *store.Client {
	t.Helper()
	client, err := store.New(store.Options{Transport: transport, CommitTimeout: 200 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

// TestOwnerThatCannotBeReadIsNotAssumed guards against telling an organization that its job is accepted
// while the stored job may be another organization's.
func TestOwnerThatCannotBeReadIsNotAssumed(t *testing.T) {
	memory := newMemoryStore()
	memory.put(t, JobsTable, "job", "not a job")
	node := idleElector(t).node
	node.opts.Store = testClient(t, memory)
	job := testJob("job")
	if err := node.Submit(t.Context(), job); err != nil {
		t.Errorf("without organizations: %v, want it accepted as before", err)
	}
	job.Organization = "a"
	if err := node.Submit(t.Context(), job); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("with an organization: %v, want %v", err, ErrOutcomeUnknown)
	}
}

// TestOwnerOfUnknownJob checks that the engine names no owner of a job that it has not loaded.
func TestOwnerOfUnknownJob(t *testing.T) {
	if organization, queue := new(engine.Engine).Owner("job"); organization != "" || queue != "" {
		t.Errorf("owner %q in queue %q", organization, queue)
	}
}
