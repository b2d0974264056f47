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
	// followEvery is the time between questions about a job.
	followEvery = 250 * time.Millisecond
	// jobGrace is how long after its window a job may still report its outcome.
	jobGrace = 3 * time.Second
	// serviceLife is how long a service job is left running before it is canceled.
	serviceLife = 2 * time.Second
	// jobCallTimeout bounds one call about a job.
	jobCallTimeout = 2 * time.Second
	// maxBatchTasks and gangTasks are the sizes of jobs.
	maxBatchTasks = 6
	gangTasks     = 4
	serviceTasks  = 2
	// taskMillicores and taskMemoryBytes are the sizes of tasks.
	taskMillicores  = 1000
	taskMemoryBytes = 1 << 30
	// maxRunMilliseconds is the longest run time of a task.
	maxRunMilliseconds = 1000
)

// jobDriver submits jobs at a fixed rate.
type jobDriver struct {
	opts     *Options
	balancer *balancer
	tally    *tally
	random   *rand.Rand
	prefix   string
	jobs     sync.WaitGroup
}

// jobOutcome is what a caller was told about one job.
type jobOutcome struct {
	spec     api.JobSpec
	caller   string
	accepted bool
	refused  bool
	last     *api.Job
	startsAt time.Time
}

// jobFollower submits one job and follows it to its end.
type jobFollower struct {
	driver  *jobDriver
	outcome *jobOutcome
	// open tells that an earlier answer left open whether the job was accepted.
	open bool
}

// run submits new jobs until ctx ends, and then waits for their outcomes.
func (d *jobDriver) run(ctx context.Context) {
	limiter := rate.NewLimiter(rate.Limit(d.opts.JobsPerSecond), 1)
	for number := 0; limiter.Wait(ctx) == nil; number++ {
		o := &jobOutcome{spec: d.newSpec(number), caller: d.opts.Callers[number%len(d.opts.Callers)].Name}
		d.tally.job(o)
		d.jobs.Add(1)
		go (&jobFollower{driver: d, outcome: o}).run()
	}
	d.jobs.Wait()
}

// newSpec returns a job of the three kinds in turn.
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

func (f *jobFollower) run() {
	defer f.driver.jobs.Done()
	if !f.submit() {
		return
	}
	deadline := f.outcome.spec.NotAfter.Add(jobGrace)
	for time.Now().Before(deadline) {
		time.Sleep(followEvery)
		f.look()
		if ended(f.outcome.last) {
			return
		}
		if f.outcome.spec.Kind == api.JobSpecKindService && f.ranLongEnough() {
			f.cancel()
		}
	}
}

// submit submits the job until it is accepted or refused, each time with the same key.
func (f *jobFollower) submit() bool {
	for range maxSends {
		answered := f.call(func(ctx context.Context, client *api.Client) error {
			job, err := client.SubmitJob(ctx, &f.outcome.spec)
			if err == nil {
				f.outcome.accepted, f.outcome.last = true, job
			}
			return err
		})
		if f.outcome.accepted {
			return true
		}
		if answered != nil && f.refused(answered) {
			return false
		}
		time.Sleep(followEvery)
	}
	return false
}

// refused notes the answer to a job that was not accepted, and reports whether
// it was refused. A refusal after an answer that left it open does not settle it.
func (f *jobFollower) refused(answer *api.ProblemStatusCode) bool {
	problem := answer.Response
	reason := problem.Reason.Or(problem.Title)
	if problem.Outcome.Or("") == api.ProblemOutcomeUnknown {
		f.driver.tally.refusal("job unknown", reason)
		f.open = true
		return false
	}
	f.outcome.refused = !f.open
	f.driver.tally.refusal("job refused", reason)
	return true
}

// look asks for the job once.
func (f *jobFollower) look() {
	_ = f.call(func(ctx context.Context, client *api.Client) error {
		job, err := client.GetJob(ctx, api.GetJobParams{ID: f.outcome.last.ID})
		if err != nil {
			return err
		}
		f.outcome.last = job
		if f.outcome.startsAt.IsZero() && job.State == api.JobStateRunning {
			f.outcome.startsAt = time.Now()
		}
		return nil
	})
}

// cancel cancels the job once; the answer shows in the next look.
func (f *jobFollower) cancel() {
	_ = f.call(func(ctx context.Context, client *api.Client) error {
		_, err := client.CancelJob(ctx, api.CancelJobParams{ID: f.outcome.last.ID})
		return err
	})
}

// call makes one call through the next entry VM and returns the problem that it
// was answered with, if it was.
func (f *jobFollower) call(do func(context.Context, *api.Client) error) *api.ProblemStatusCode {
	ctx, cancel := context.WithTimeout(context.Background(), jobCallTimeout)
	defer cancel()
	to := f.driver.balancer.pick(nil, time.Now())
	err := do(ctx, to.clients[f.outcome.caller])
	if err == nil {
		return nil
	}
	answer, answered := isAnswer(err)
	if !answered {
		to.failed(time.Now())
		f.driver.tally.refusal("job call without answer", brief(err))
		return nil
	}
	if answer.StatusCode == http.StatusNotFound {
		f.driver.tally.refusal("job call", "not found")
	}
	return answer
}

// ranLongEnough reports whether a service job has run for its life.
func (f *jobFollower) ranLongEnough() bool {
	return !f.outcome.startsAt.IsZero() && time.Since(f.outcome.startsAt) > serviceLife
}

// ended reports whether a job has an outcome.
func ended(job *api.Job) bool {
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
