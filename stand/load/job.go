package load

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	api "tanagerstack.org/core/api/caller"
)

const (
	// jobPollInterval is the time between reads of the state of one job.
	jobPollInterval = 250 * time.Millisecond
	// jobResultGrace is how long after its window a job may still reach a final state.
	jobResultGrace = 3 * time.Second
	// serviceRunTime is how long a service job runs before it is canceled.
	serviceRunTime = 2 * time.Second
	// jobCallTimeout is the timeout of one call about a job.
	jobCallTimeout = 2 * time.Second
	// maxBatchTasks, gangTasks and serviceTasks are the numbers of tasks of a job.
	maxBatchTasks = 6
	gangTasks     = 4
	serviceTasks  = 2
	// taskMillicores and taskMemoryBytes are the resources of one task.
	taskMillicores  = 1000
	taskMemoryBytes = 1 << 30
	// maxRunMilliseconds is the upper bound of the run time of a task.
	maxRunMilliseconds = 1000
)

// jobDriver submits jobs at a fixed rate and tracks each to its final state.
type jobDriver struct {
	opts     *Options
	balancer *balancer
	recorder *recorder
	random   *rand.Rand
	prefix   string
	wg       sync.WaitGroup
}

// jobResult is what a caller received about one job.
type jobResult struct {
	spec     api.JobSpec
	caller   string
	accepted bool
	refused  bool
	// latest is the state of the job as last read; nil before the job is accepted.
	latest *api.Job
	// runningSince is when the job was first read as running; zero before.
	runningSince time.Time
}

// jobTracker submits one job and polls it until it is in a final state.
type jobTracker struct {
	driver *jobDriver
	result *jobResult
	// acceptanceUnknown is true if an earlier answer did not say whether the job was
	// accepted.
	acceptanceUnknown bool
}

// run submits jobs until ctx is done, and then waits for their final states.
func (d *jobDriver) run(ctx context.Context) {
	limiter := rate.NewLimiter(rate.Limit(d.opts.JobsPerSecond), 1)
	for number := 0; limiter.Wait(ctx) == nil; number++ {
		result := &jobResult{spec: d.newSpec(number), caller: d.opts.Callers[number%len(d.opts.Callers)].Name}
		d.recorder.addJob(result)
		d.wg.Add(1)
		go (&jobTracker{driver: d, result: result}).run()
	}
	d.wg.Wait()
}

// newSpec returns the spec of a batch, gang or service job, in turn by number.
func (d *jobDriver) newSpec(number int) api.JobSpec {
	runFor := time.Duration(100+d.random.Intn(maxRunMilliseconds-100)) * time.Millisecond
	spec := api.JobSpec{
		Name: fmt.Sprintf("%s-%d", d.prefix, number), Key: api.NewOptString(fmt.Sprintf("%s-%d", d.prefix, number)),
		Work: d.opts.Work, Urgent: api.NewOptBool(number%5 == 0),
		Resources:   api.Resources{Millicores: taskMillicores, MemoryBytes: taskMemoryBytes},
		ExpectedRun: runFor, NotAfter: time.Now().Add(d.opts.JobWindow),
		Command: []string{"--run-for=" + runFor.String()},
	}
	switch number % 3 {
	case 0:
		spec.Kind, spec.Tasks = api.JobSpecKindBatch, 1+d.random.Intn(maxBatchTasks)
	case 1:
		spec.Kind, spec.Tasks = api.JobSpecKindGang, gangTasks
	default:
		spec.Kind, spec.Tasks = api.JobSpecKindService, serviceTasks
		spec.ExpectedRun, spec.Command = 0, []string{"--use-millicores=500"}
	}
	return spec
}

func (t *jobTracker) run() {
	defer t.driver.wg.Done()
	if !t.submit() {
		return
	}
	deadline := t.result.spec.NotAfter.Add(jobResultGrace)
	for time.Now().Before(deadline) {
		time.Sleep(jobPollInterval)
		t.poll()
		if isFinal(t.result.latest) {
			return
		}
		if t.result.spec.Kind == api.JobSpecKindService && t.ranLongEnough() {
			t.cancel()
		}
	}
}

// submit submits the job, at most maxSends times with the same key, until it is
// accepted or refused. It reports whether the job was accepted.
func (t *jobTracker) submit() bool {
	for range maxSends {
		answered := t.call(func(ctx context.Context, client *api.Client) error {
			job, err := client.SubmitJob(ctx, &t.result.spec)
			if err == nil {
				t.result.accepted, t.result.latest = true, job
			}
			return err
		})
		if t.result.accepted {
			return true
		}
		if answered != nil && t.recordProblem(answered) {
			return false
		}
		time.Sleep(jobPollInterval)
	}
	return false
}

// recordProblem records a problem response to a submission and reports whether the job
// was refused. A refusal after an answer with an unknown outcome does not mark the job
// as refused, since the earlier submission may have been accepted.
func (t *jobTracker) recordProblem(answer *api.ProblemStatusCode) bool {
	problem := answer.Response
	reason := problem.Reason.Or(problem.Title)
	if problem.Outcome.Or("") == api.ProblemOutcomeUnknown {
		t.driver.recorder.countProblem("job acceptance unknown:", reason)
		t.acceptanceUnknown = true
		return false
	}
	t.result.refused = !t.acceptanceUnknown
	t.driver.recorder.countProblem("job refused:", reason)
	return true
}

// poll reads the state of the job once.
func (t *jobTracker) poll() {
	_ = t.call(func(ctx context.Context, client *api.Client) error {
		job, err := client.GetJob(ctx, api.GetJobParams{ID: t.result.latest.ID})
		if err != nil {
			return err
		}
		t.result.latest = job
		if t.result.runningSince.IsZero() && job.State == api.JobStateRunning {
			t.result.runningSince = time.Now()
		}
		return nil
	})
}

// cancel requests cancellation of the job once; the next poll shows the effect.
func (t *jobTracker) cancel() {
	_ = t.call(func(ctx context.Context, client *api.Client) error {
		_, err := client.CancelJob(ctx, api.CancelJobParams{ID: t.result.latest.ID})
		return err
	})
}

// call makes one call through the next entry VM. It returns the problem response, or
// nil if the call succeeded or got no answer.
func (t *jobTracker) call(do func(context.Context, *api.Client) error) *api.ProblemStatusCode {
	ctx, cancel := context.WithTimeout(context.Background(), jobCallTimeout)
	defer cancel()
	to := t.driver.balancer.pick(nil, time.Now())
	err := do(ctx, to.clients[t.result.caller])
	if err == nil {
		return nil
	}
	answer, answered := asProblem(err)
	if !answered {
		to.markFailed(time.Now())
		t.driver.recorder.countProblem("job call without answer:", errorKind(err))
		return nil
	}
	if answer.StatusCode == http.StatusNotFound {
		t.driver.recorder.countProblem("job call:", "not found")
	}
	return answer
}

// ranLongEnough reports whether a service job has run for serviceRunTime.
func (t *jobTracker) ranLongEnough() bool {
	return !t.result.runningSince.IsZero() && time.Since(t.result.runningSince) > serviceRunTime
}

// isFinal reports whether a job is in a final state; a nil job is not.
func isFinal(job *api.Job) bool {
	if job == nil {
		return false
	}
	switch job.State {
	case api.JobStateSucceeded, api.JobStateFailed, api.JobStateCancelled, api.JobStateRefused:
		return true
	default:
		return false
	}
}
