package proof

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"testing"
	"time"

	callerapi "tanagerstack.org/core/api/caller"
	faultapi "tanagerstack.org/core/api/fault"
	"tanagerstack.org/core/lease"
	"tanagerstack.org/core/policy"
	"tanagerstack.org/core/store"
)

const (
	jobWorkers = 6
	// episodes is the number of fault episodes of one run; every second one has
	// two faults at once.
	episodes = 4
	// submitters submit jobs beside each other, so that one that waits for a paused
	// entry VM does not hold up the run.
	submitters  = 4
	submitEvery = 700 * time.Millisecond
	// jobsPatience is how long the jobs may take to end once all faults are over.
	jobsPatience = 45 * time.Second
)

// jobFault strikes a fleet and returns how to mend it.
type jobFault struct {
	name string
	// where names what the fault takes hold of, so that two at once differ.
	where  string
	strike func(f *fleet) (mend func())
}

// jobFaults are the faults of the brief that a scheduler meets.
func jobFaults() []jobFault {
	tables := func(kind faultapi.FaultKind, share float64) func(*fleet) func() {
		return func(f *fleet) func() {
			f.tables.setFault(faultapi.Fault{Kind: kind, Probability: faultapi.NewOptFloat64(share), Seed: faultapi.NewOptInt64(f.random.Int63())})
			return func() { f.tables.fault(faultapi.FaultKindNone) }
		}
	}
	worker := func(kind faultapi.FaultKind) func(*fleet) func() {
		return func(f *fleet) func() {
			name := fmt.Sprintf("%s-w%03d", domainNames[0], 1+f.random.Intn(jobWorkers))
			f.workers.setFault(faultapi.Fault{Kind: kind, Member: faultapi.NewOptString(name)})
			return func() { f.workers.fault(faultapi.FaultKindNone) }
		}
	}
	return []jobFault{
		{"killed holder", "entry", func(f *fleet) func() {
			vm := f.holder()
			vm.kill()
			return vm.restart
		}},
		{"paused holder", "entry", func(f *fleet) func() {
			vm := f.holder()
			vm.pause()
			return vm.resume
		}},
		{"holder cut off from the platform", "entry", func(f *fleet) func() {
			vm := f.holder()
			f.cutPlatform(vm)
			return func() { f.mendPlatform(vm) }
		}},
		{"store down", "tables", tables(faultapi.FaultKindDown, 1)},
		{"lost answers of the store", "tables", tables(faultapi.FaultKindLostAnswer, 0.4)},
		{"worker unreachable, its tasks running", "workers", worker(faultapi.FaultKindDown)},
		{"worker frozen, late commands run", "workers", worker(faultapi.FaultKindFrozen)},
		{"lost answers of a worker", "workers", worker(faultapi.FaultKindLostAnswer)},
		{"all workers unreachable", "workers", func(f *fleet) func() {
			f.workers.fault(faultapi.FaultKindDown)
			return func() { f.workers.fault(faultapi.FaultKindNone) }
		}},
	}
}

// holder returns the entry VM that the lease row names, or else the first.
func (f *fleet) holder() *entryVM {
	tables, err := store.New(store.Options{Address: f.address(0, 1, 7001)})
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	row, _ := tables.Read(ctx, lease.Table, domainNames[0])
	var holder struct {
		Holder string `json:"holder"`
	}
	_ = json.Unmarshal(row.Value, &holder)
	for _, vm := range f.entries {
		if vm.name == holder.Holder {
			return vm
		}
	}
	return f.entries[0]
}

// submissions are the jobs that were accepted.
type submissions struct {
	f    *fleet
	stop chan struct{}
	done sync.WaitGroup

	mu       sync.Mutex
	accepted []string
}

// submitter submits jobs through random entry VMs until it is told to stop.
type submitter struct {
	*submissions
	random *rand.Rand
}

func (s *submitter) run() {
	defer s.done.Done()
	ticker := time.NewTicker(submitEvery)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
			s.submit()
		}
	}
}

// submit submits one job; an entry VM that is struck by a fault may not answer.
func (s *submitter) submit() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	job, err := s.f.entries[s.random.Intn(len(s.f.entries))].callersClient("hosts").SubmitJob(ctx, s.spec())
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted = append(s.accepted, job.ID)
}

func (s *submitter) spec() *callerapi.JobSpec {
	kinds := []callerapi.JobSpecKind{callerapi.JobSpecKindBatch, callerapi.JobSpecKindBatch, callerapi.JobSpecKindGang, callerapi.JobSpecKindService}
	run := time.Duration(200+s.random.Intn(5000)) * time.Millisecond
	return &callerapi.JobSpec{
		Name: "proof", Kind: kinds[s.random.Intn(len(kinds))], Work: "transcoding", Tasks: 1 + s.random.Intn(5),
		Urgent:      callerapi.NewOptBool(s.random.Intn(8) == 0),
		Resources:   callerapi.Resources{Millicores: 500 + int64(s.random.Intn(6000)), MemoryBytes: int64(1+s.random.Intn(12)) << 30},
		ExpectedRun: run, NotAfter: time.Now().Add(10 * time.Minute),
		Command: []string{"--run-for=" + run.String()},
	}
}

// runJobsUnderFaults runs jobs while faults strike, waits until all jobs ended, and
// returns the workers' own record.
func runJobsUnderFaults(t *testing.T) *faultapi.Record {
	t.Helper()
	f := startFleet(t, options{domains: 1, entries: 3, workers: jobWorkers, policy: func(d *policy.Document) {
		d.Jobs.TaskLease = policy.Duration(3 * time.Second)
		d.Jobs.Attempts = 20
		d.Defaults.PendingJobs = 1000
		for name, team := range d.Teams {
			team.Quota = policy.Quota{}
			d.Teams[name] = team
		}
	}})
	s := &submissions{f: f, stop: make(chan struct{})}
	for range submitters {
		s.done.Add(1)
		go (&submitter{submissions: s, random: rand.New(rand.NewSource(f.random.Int63()))}).run()
	}
	time.Sleep(2 * time.Second)
	for episode := range episodes {
		f.strike(t, 1+episode%2)
	}
	close(s.stop)
	s.done.Wait()
	f.awaitJobs(s.accepted)
	record := f.workers.record()
	t.Logf("%d jobs accepted, %d task starts, %d commands rejected, %d starts beyond capacity, %d tasks doubled",
		len(s.accepted), record.Executions, record.Rejected, record.Overloaded, record.Doubled)
	return record
}

// strike lets faults of different kinds strike at once, for one to four seconds.
func (f *fleet) strike(t *testing.T, count int) {
	t.Helper()
	faults := jobFaults()
	var names []string
	var mends []func()
	taken := make(map[string]bool)
	for _, i := range f.random.Perm(len(faults)) {
		if len(mends) == count {
			break
		}
		if taken[faults[i].where] {
			continue
		}
		taken[faults[i].where] = true
		names = append(names, faults[i].name)
		mends = append(mends, faults[i].strike(f))
		time.Sleep(time.Duration(f.random.Intn(400)) * time.Millisecond)
	}
	lasting := time.Second + time.Duration(f.random.Int63n(int64(3500*time.Millisecond)))
	time.Sleep(lasting)
	for _, mend := range mends {
		mend()
	}
	t.Logf("struck for %v: %s", lasting.Round(time.Millisecond), strings.Join(names, " and "))
	time.Sleep(time.Duration(f.random.Intn(2500)) * time.Millisecond)
}

// awaitJobs waits until all accepted jobs have ended; one that is not known any
// more was lost.
func (f *fleet) awaitJobs(ids []string) {
	f.t.Helper()
	deadline := time.Now().Add(jobsPatience)
	for _, id := range ids {
		for {
			job, err := f.entries[f.random.Intn(len(f.entries))].callersClient("hosts").GetJob(context.Background(), callerapi.GetJobParams{ID: id})
			if err == nil && job.EndedAt.Set {
				break
			}
			if problem := new(callerapi.ProblemStatusCode); errors.As(err, &problem) && problem.StatusCode == 404 {
				f.t.Errorf("accepted job %s was lost", id)
				break
			}
			if time.Now().After(deadline) {
				f.t.Errorf("job %s did not end: %+v (%v)", id, job, err)
				return
			}
			time.Sleep(pollEvery)
		}
	}
}

// TestInvariantWorkerCapacity shows that no worker is given more than it has.
func TestInvariantWorkerCapacity(t *testing.T) {
	record := runJobsUnderFaults(t)
	if record.Overloaded != 0 {
		t.Errorf("workers were given %d tasks beyond their capacity", record.Overloaded)
	}
	if record.Executions < 100 {
		t.Errorf("only %d tasks were started: the run shows nothing", record.Executions)
	}
}

// TestInvariantSingleExecution shows that no task runs in two places at once.
func TestInvariantSingleExecution(t *testing.T) {
	record := runJobsUnderFaults(t)
	if record.Doubled != 0 {
		t.Errorf("tasks ran in two places at once: %v", record.DoubledIDs)
	}
	if record.Executions < 100 {
		t.Errorf("only %d tasks were started: the run shows nothing", record.Executions)
	}
}
