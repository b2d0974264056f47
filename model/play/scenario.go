package play

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"sigs.k8s.io/yaml"

	"tanagerstack.org/core/engine"
)

// Scenario describes a fleet and the load on it.
type Scenario struct {
	Name string `json:"name"`
	// ArrivalPeriod is how long jobs arrive. Jobs that are unfinished at its end may still finish.
	ArrivalPeriod Duration `json:"length"`
	// VMs is the number of entry VMs that can send advice requests.
	VMs     int     `json:"vms"`
	Workers Fleet   `json:"workers"`
	Queues  []Queue `json:"queues"`
	// Bursts raise the arrival rate of a queue for a limited time.
	Bursts []Burst `json:"bursts"`
	// Losses remove workers without notice.
	Losses []Loss `json:"losses"`
	// Organizations submit the jobs; nil if the cell has none.
	Organizations *Organizations `json:"organizations"`
	// Patience is how long after its first submission a caller still submits a refused job again.
	Patience Duration `json:"patience"`
	// Durations selects what the engine's predictions of durations rest on.
	Durations engine.Durations `json:"durations"`
	// Health selects how the engine tells unreliable workers, and WorkerFaults are their faults.
	Health       engine.Health `json:"health"`
	WorkerFaults []WorkerFault `json:"worker-faults"`
}

// Fleet describes the workers of a scenario.
type Fleet struct {
	Count       int   `json:"count"`
	PerRack     int   `json:"per-rack"`
	Millicores  int64 `json:"millicores"`
	MemoryBytes int64 `json:"memory-bytes"`
	// Slowdowns are factors by which the time of a task is multiplied. They are assigned to the
	// workers in turn.
	Slowdowns []float64 `json:"speeds"`
	// Latencies are one-way network delays between the leader and a worker. They are assigned to
	// the workers in turn, and to the VMs that send advice requests by the last digit of their name.
	Latencies []Duration `json:"distances"`
	// StopTime is the longest time that a worker may take to stop a run.
	StopTime Duration `json:"stop-time"`
	// CheckpointInterval is the time between two checkpoints of a run that saves them, ResumeTime
	// how much longer a run takes that begins from one.
	CheckpointInterval Duration `json:"checkpoint-interval"`
	ResumeTime         Duration `json:"resume-time"`
}

// Queue describes the jobs of one queue.
type Queue struct {
	Name      string  `json:"name"`
	PerSecond float64 `json:"per-second"`
	Priority  int     `json:"priority"`
	Attempts  int     `json:"attempts"`
	// MeanValue is the value to its caller of a job of mean size.
	MeanValue float64 `json:"worth"`
	// Stretch and Slack give the objective: Stretch times the job's critical path, with its
	// advice requests, plus Slack.
	Stretch float64  `json:"stretch"`
	Slack   Duration `json:"slack"`
	// Steps is the number of steps of a job, Width the number of tasks of a step.
	Steps Distribution `json:"steps"`
	Width Distribution `json:"width"`
	// Millicores and MemoryBytes are the resources of one task. Work is the time that a task
	// takes on a worker with slowdown 1, in seconds.
	Millicores  Distribution `json:"millicores"`
	MemoryBytes Distribution `json:"memory-bytes"`
	Work        Distribution `json:"work"`
	// GangShare is the share of steps that are gangs, whose tasks only work all at the same time.
	GangShare float64 `json:"gang-share"`
	// EstimateSigma is the standard deviation of the logarithm of the callers' estimate divided by
	// the work.
	EstimateSigma float64 `json:"guess-spread"`
	// WorkVariation is the largest relative deviation of a task's work from that of its step, from
	// 0 to 1. It does not apply to gangs.
	WorkVariation float64 `json:"uneven"`
	// DoomedShare is the share of jobs whose runs all fail, FailShare the probability that a run of
	// another job fails.
	DoomedShare float64         `json:"hopeless-share"`
	FailShare   float64         `json:"fail-share"`
	Advice      *AdviceSettings `json:"advice"`
	// CheckpointShare is the share of jobs whose tasks save checkpoints, CancelShare the share of
	// jobs that their callers cancel, at a time that is uniform over the objective.
	CheckpointShare float64 `json:"checkpoint-share"`
	CancelShare     float64 `json:"cancel-share"`
	// LongShare is the share of steps that take LongFactor times as long, at most LongMost seconds.
	LongShare  float64 `json:"long-share"`
	LongFactor float64 `json:"long-factor"`
	LongMost   float64 `json:"long-most"`
}

// AdviceSettings describes the adviser's answers to requests about a queue. An answer takes
// RequestTime, plus PerWorkerTime for each worker in the request. Its tickets are valid for
// TicketValidity.
type AdviceSettings struct {
	RequestTime    Duration `json:"decide"`
	PerWorkerTime  Duration `json:"each"`
	TicketValidity Duration `json:"valid"`
	// EligibleShare is the share of workers that get a ticket for a step, from 0 to 1.
	EligibleShare float64 `json:"good-share"`
}

// Distribution is a log-normal distribution. Sigma is the standard deviation of the logarithm. Max
// bounds the values; zero means no bound.
type Distribution struct {
	Mean  float64 `json:"mean"`
	Sigma float64 `json:"sigma"`
	Max   float64 `json:"most"`
}

// Burst multiplies the arrival rate of a queue, or of all queues if it names none, by Factor, from At
// for the duration For.
type Burst struct {
	Queue  string   `json:"queue"`
	At     Duration `json:"at"`
	For    Duration `json:"for"`
	Factor float64  `json:"times"`
}

// Loss removes each worker with probability Share at time At, permanently.
type Loss struct {
	At    Duration `json:"at"`
	Share float64  `json:"share"`
}

// Duration is a time.Duration that is written as a string such as 1.5s.
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("want a duration such as \"1.5s\": %w", err)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("want a duration such as \"1.5s\": %w", err)
	}
	*d = Duration(parsed)
	return nil
}

// ParseScenario reads a scenario in YAML. The error of an invalid scenario joins all faults.
func ParseScenario(data []byte) (*Scenario, error) {
	s := new(Scenario)
	if err := yaml.UnmarshalStrict(data, s); err != nil {
		return nil, fmt.Errorf("parse scenario: %w", err)
	}
	return s, s.validate()
}

func (s *Scenario) validate() error {
	var errs []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	require(s.ArrivalPeriod > 0, "length: must be positive")
	require(s.VMs > 0, "vms: must be positive")
	require(s.Workers.Count > 0 && s.Workers.PerRack > 0, "workers: count and per-rack must be positive")
	require(len(s.Workers.Slowdowns) > 0 && len(s.Workers.Latencies) > 0, "workers: speeds and distances must not be empty")
	require(s.Durations.Valid(), "durations: unknown value %q", s.Durations)
	require(s.Health.Valid(), "health: unknown value %q", s.Health)
	for i := range s.WorkerFaults {
		errs = append(errs, s.WorkerFaults[i].validate())
	}
	known := make(map[string]bool)
	for _, q := range s.Queues {
		require(!known[q.Name], "queues: name %q is not unique", q.Name)
		known[q.Name] = true
		require(q.PerSecond > 0 && q.Work.Mean > 0 && q.Width.Mean > 0 && q.Attempts > 0, "queue %q: per-second, work, width and attempts must be positive", q.Name)
	}
	for _, b := range s.Bursts {
		require(b.Queue == "" || known[b.Queue], "bursts: unknown queue %q", b.Queue)
	}
	if s.Organizations != nil {
		errs = append(errs, s.Organizations.validate(s))
	}
	return errors.Join(errs...)
}
