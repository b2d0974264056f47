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
	// faultEpisodes is the number of fault episodes of one run; every second one has
	// two faults at once.
	faultEpisodes = 4
	// submitters is the number of goroutines that submit jobs, so that one that waits
	// for a paused entry VM does not block the others.
	submitters     = 4
	submitInterval = 700 * time.Millisecond
	// jobsTimeout is how long the jobs may take to end after all faults have ended.
	jobsTimeout = 45 * time.Second
)

// jobFault is a fault that affects the scheduling of jobs.
type jobFault struct {
	name string
	// component is what the fault affects. Two faults at once affect different ones.
	component string
	// inject starts the fault and returns a function that ends it.
	inject func(f *fleet) (restore func())
}

// jobFaults returns all faults that a run chooses from.
func jobFaults() []jobFault {
	tables := func(kind faultapi.FaultKind, share float64) func(*fleet) func() {
		return func(f *fleet) func() {
			f.tables.setFault(faultapi.Fault{Kind: kind, Probability: faultapi.NewOptFloat64(share), Seed: faultapi.NewOptInt64(f.random.Int63())})
			return func() { f.tables.setFaultKind(faultapi.FaultKindNone) }
		}
	}
	worker := func(kind faultapi.FaultKind) func(*fleet) func() {
		return func(f *fleet) func() {
			name := fmt.Sprintf("%s-w%03d", domainNames[0], 1+f.random.Intn(jobWorkers))
			f.workers.setFault(faultapi.Fault{Kind: kind, Member: faultapi.NewOptString(name)})
			return func() { f.workers.setFaultKind(faultapi.FaultKindNone) }
		}
	}
	return []jobFault{
		{"killed lease holder", "entry", func(f *fleet) func() {
			vm := f.leaseHolder()
			vm.kill()
			return vm.restart
		}},
		{"paused lease holder", "entry", func(f *fleet) func() {
			vm := f.leaseHolder()
			vm.pause()
			return vm.resume
		}},
		{"lease holder cut off from the platform", "entry", func(f *fleet) func() {
			vm := f.leaseHolder()
			f.cutPlatform(vm)
			return func() { f.restorePlatform(vm) }
		}},
		{"store down", "tables", tables(faultapi.FaultKindDown, 1)},
		{"lost answers of the store", "tables", tables(faultapi.FaultKindLostAnswer, 0.4)},
		{"worker unreachable, its tasks running", "workers", worker(faultapi.FaultKindDown)},
		{"worker frozen, runs commands late", "workers", worker(faultapi.FaultKindFrozen)},
		{"lost answers of a worker", "workers", worker(faultapi.FaultKindLostAnswer)},
		{"all workers unreachable", "workers", func(f *fleet) func() {
			f.workers.setFaultKind(faultapi.FaultKindDown)
			return func() { f.workers.setFaultKind(faultapi.FaultKindNone) }
		}},
	}
}

// leaseHolder returns the entry VM that holds the lease of the first failure domain
// according to the lease row, or the first entry VM if the row names none.
func (f *fleet) leaseHolder() *entryVM {
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

// submissions collects the IDs of accepted jobs from all submitters.
type submissions struct {
	f    *fleet
	stop chan struct{}
	wg   sync.WaitGroup

	mu       sync.Mutex
	accepted []string
}

// submitter submits jobs through random entry VMs until stop is closed.
type submitter struct {
	*submissions
	random *rand.Rand
}

func (s *submitter) run() {
	defer s.wg.Done()
	ticker := time.NewTicker(submitInterval)
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

// submit submits one job and records its ID if it is accepted. It ignores errors, since
// an entry VM with a fault may not answer.
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

// runJobsUnderFaults submits jobs while faults are injected, waits until all accepted
// jobs have ended, and returns the record of the fake workers.
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
		s.wg.Add(1)
		go (&submitter{submissions: s, random: rand.New(rand.NewSource(f.random.Int63()))}).run()
	}
	time.Sleep(2 * time.Second)
	for episode := range faultEpisodes {
		f.injectFaults(t, 1+episode%2)
	}
	close(s.stop)
	s.wg.Wait()
	f.awaitJobs(s.accepted)
	record := f.workers.record()
	t.Logf("%d jobs accepted, %d task starts, %d commands rejected, %d starts beyond capacity, %d tasks run twice at once",
		len(s.accepted), record.Executions, record.Rejected, record.Overloaded, record.Doubled)
	return record
}

// injectFaults injects count faults of different components at once, for 1 s to 4.5 s.
func (f *fleet) injectFaults(t *testing.T, count int) {
	t.Helper()
	faults := jobFaults()
	var names []string
	var restores []func()
	usedComponents := make(map[string]bool)
	for _, i := range f.random.Perm(len(faults)) {
		if len(restores) == count {
			break
		}
		if usedComponents[faults[i].component] {
			continue
		}
		usedComponents[faults[i].component] = true
		names = append(names, faults[i].name)
		restores = append(restores, faults[i].inject(f))
		time.Sleep(time.Duration(f.random.Intn(400)) * time.Millisecond)
	}
	duration := time.Second + time.Duration(f.random.Int63n(int64(3500*time.Millisecond)))
	time.Sleep(duration)
	for _, restore := range restores {
		restore()
	}
	t.Logf("faults for %v: %s", duration.Round(time.Millisecond), strings.Join(names, " and "))
	time.Sleep(time.Duration(f.random.Intn(2500)) * time.Millisecond)
}

// awaitJobs waits until all accepted jobs have ended. It fails the test for a job that
// is not found or has not ended after jobsTimeout.
func (f *fleet) awaitJobs(ids []string) {
	f.t.Helper()
	deadline := time.Now().Add(jobsTimeout)
	for _, id := range ids {
		for {
			job, err := f.entries[f.random.Intn(len(f.entries))].callersClient("hosts").GetJob(context.Background(), callerapi.GetJobParams{ID: id})
			if err == nil && job.EndedAt.Set {
				break
			}
			if problem := new(callerapi.ProblemStatusCode); errors.As(err, &problem) && problem.StatusCode == 404 {
				f.t.Errorf("accepted job %s is not found", id)
				break
			}
			if time.Now().After(deadline) {
				f.t.Errorf("job %s did not end in time: %+v (%v)", id, job, err)
				return
			}
			time.Sleep(pollInterval)
		}
	}
}

// TestInvariantWorkerCapacity checks that no worker receives tasks beyond its capacity.
func TestInvariantWorkerCapacity(t *testing.T) {
	record := runJobsUnderFaults(t)
	if record.Overloaded != 0 {
		t.Errorf("workers received %d tasks beyond their capacity", record.Overloaded)
	}
	if record.Executions < 100 {
		t.Errorf("only %d tasks were started, want at least 100", record.Executions)
	}
}

// TestInvariantSingleExecution checks that no task runs on two workers at once.
func TestInvariantSingleExecution(t *testing.T) {
	record := runJobsUnderFaults(t)
	if record.Doubled != 0 {
		t.Errorf("tasks that ran twice at once: %v", record.DoubledIDs)
	}
	if record.Executions < 100 {
		t.Errorf("only %d tasks were started, want at least 100", record.Executions)
	}
}
