package play

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"sigs.k8s.io/yaml"
)

// Scene is a fleet and what is asked of it.
type Scene struct {
	Name string `json:"name"`
	// Length is how long jobs arrive. What is left then may still finish.
	Length Duration `json:"length"`
	// VMs is how many entry VMs can ask the adviser.
	VMs     int     `json:"vms"`
	Workers Fleet   `json:"workers"`
	Queues  []Queue `json:"queues"`
	// Bursts raise the rate of a queue for a while.
	Bursts []Burst `json:"bursts"`
	// Losses take workers away without notice.
	Losses []Loss `json:"losses"`
}

// Fleet is the workers of a scene.
type Fleet struct {
	Count       int   `json:"count"`
	PerRack     int   `json:"per-rack"`
	Millicores  int64 `json:"millicores"`
	MemoryBytes int64 `json:"memory-bytes"`
	// Speeds are how long tasks take, as multiples of their work; workers take them in turn.
	Speeds []float64 `json:"speeds"`
	// Distances are the ways to workers; workers take them in turn.
	Distances []Duration `json:"distances"`
	StopTime  Duration   `json:"stop-time"`
}

// Queue is a kind of job.
type Queue struct {
	Name      string  `json:"name"`
	PerSecond float64 `json:"per-second"`
	Priority  int     `json:"priority"`
	Attempts  int     `json:"attempts"`
	// Worth is that of a job of mean size.
	Worth float64 `json:"worth"`
	// Stretch and Slack give the objective: Stretch times the job's work, and Slack more.
	Stretch float64  `json:"stretch"`
	Slack   Duration `json:"slack"`
	Steps   Spread   `json:"steps"`
	Width   Spread   `json:"width"`
	// Millicores and MemoryBytes are of a task, Work in seconds.
	Millicores  Spread `json:"millicores"`
	MemoryBytes Spread `json:"memory-bytes"`
	Work        Spread `json:"work"`
	// GangShare is the share of steps whose tasks work only together.
	GangShare float64 `json:"gang-share"`
	// GuessSpread is how far callers' guesses are off, as a logarithm.
	GuessSpread float64 `json:"guess-spread"`
	// Uneven is how unlike the tasks of a step are.
	Uneven float64 `json:"uneven"`
	// HopelessShare is the share of jobs whose tasks always fail, FailShare that of
	// runs which fail by chance.
	HopelessShare float64 `json:"hopeless-share"`
	FailShare     float64 `json:"fail-share"`
	Advice        *Advice `json:"advice"`
}

// Advice is what asking about a queue costs.
type Advice struct {
	Decide Duration `json:"decide"`
	Each   Duration `json:"each"`
	Valid  Duration `json:"valid"`
	// GoodShare is the share of workers that may run a step.
	GoodShare float64 `json:"good-share"`
}

// Spread is a log-normal distribution by its mean, with a bound.
type Spread struct {
	Mean  float64 `json:"mean"`
	Sigma float64 `json:"sigma"`
	Most  float64 `json:"most"`
}

// Burst multiplies the rate of a queue.
type Burst struct {
	Queue string   `json:"queue"`
	At    Duration `json:"at"`
	For   Duration `json:"for"`
	Times float64  `json:"times"`
}

// Loss takes a share of the workers away at an instant, for good.
type Loss struct {
	At    Duration `json:"at"`
	Share float64  `json:"share"`
}

// Duration reads lengths of time such as 1.5s.
type Duration time.Duration

// UnmarshalJSON reads a duration.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("a duration such as \"1.5s\": %w", err)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("a duration such as \"1.5s\": %w", err)
	}
	*d = Duration(parsed)
	return nil
}

// ParseScene reads a scene in YAML and reports all that is wrong with it.
func ParseScene(data []byte) (*Scene, error) {
	s := new(Scene)
	if err := yaml.UnmarshalStrict(data, s); err != nil {
		return nil, fmt.Errorf("scene: %w", err)
	}
	return s, s.check()
}

func (s *Scene) check() error {
	var faults []error
	need := func(ok bool, format string, args ...any) {
		if !ok {
			faults = append(faults, fmt.Errorf(format, args...))
		}
	}
	need(s.Length > 0, "length: must be above zero")
	need(s.VMs > 0, "vms: must be above zero")
	need(s.Workers.Count > 0 && s.Workers.PerRack > 0, "workers: count and per-rack must be above zero")
	need(len(s.Workers.Speeds) > 0 && len(s.Workers.Distances) > 0, "workers: speeds and distances must not be empty")
	known := make(map[string]bool)
	for _, q := range s.Queues {
		need(!known[q.Name], "queues: %q stands twice", q.Name)
		known[q.Name] = true
		need(q.PerSecond > 0 && q.Work.Mean > 0 && q.Width.Mean > 0 && q.Attempts > 0, "queue %q: per-second, work, width and attempts must be above zero", q.Name)
	}
	for _, b := range s.Bursts {
		need(known[b.Queue], "bursts: there is no queue %q", b.Queue)
	}
	return errors.Join(faults...)
}
