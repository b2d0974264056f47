package jobs

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"tanagerstack.org/core/roster"
)

func validJob() Job {
	return Job{
		ID:    "job",
		Queue: Queue{Name: "queue", Service: "service", Attempts: 2, Stretch: 1.5, Slack: time.Second},
		Spec:  NewSpec("spec"),
		Steps: []Step{
			{Count: 2, PerTask: roster.Resources{Millicores: 500}, Estimate: time.Second},
			{Count: 1, PerTask: roster.Resources{Millicores: 500}, Estimate: 3 * time.Second},
			{Count: 1, PerTask: roster.Resources{Millicores: 500}, Estimate: 4 * time.Second, After: []int{0, 1}},
		},
		ArrivedAt: time.UnixMilli(1_800_000_000_123),
	}
}

func ExampleJob_Objective() {
	job := validJob()
	fmt.Println(job.CriticalPath(), job.Objective())
	// Output: 7s 11.5s
}

func ExampleConfig_Route() {
	config := Config{Queues: []Queue{
		{Name: "all", Host: "a.example", Prefix: "/p/"},
		{Name: "some", Host: "a.example", Prefix: "/p/some/"},
	}}
	queue, rest, found := config.Route("a.example", "/p/some/5c0e")
	fmt.Println(queue.Name, rest, found)
	// Output: some 5c0e true
}

func TestValidate(t *testing.T) {
	cases := map[string]struct {
		change func(*Job)
		valid  bool
	}{
		"unchanged":             {func(*Job) {}, true},
		"no steps":              {func(j *Job) { j.Steps = nil }, false},
		"step without tasks":    {func(j *Job) { j.Steps[0].Count = 0 }, false},
		"depends on itself":     {func(j *Job) { j.Steps[2].After = []int{2} }, false},
		"depends on later step": {func(j *Job) { j.Steps[0].After = []int{1} }, false},
		"unknown dependency":    {func(j *Job) { j.Steps[2].After = []int{-1} }, false},
		"negative resources":    {func(j *Job) { j.Steps[0].PerTask.MemoryBytes = -1 }, false},
		"too many tasks":        {func(j *Job) { j.Steps[0].Count = MaxTasks + 1 }, false},
		"spec too long":         {func(j *Job) { j.Spec = NewSpec(string(make([]byte, MaxSpecBytes+1))) }, false},
		"longest spec":          {func(j *Job) { j.Spec = NewSpec(string(make([]byte, MaxSpecBytes))) }, true},
		"no occurrences":        {func(j *Job) { j.Recurrence = &Recurrence{} }, false},
		"occurrences":           {func(j *Job) { j.Recurrence = &Recurrence{Count: 3, Interval: time.Second} }, true},
		"tasks overflow":        {func(j *Job) { j.Steps[0].Count, j.Steps[1].Count = math.MaxInt, math.MaxInt }, false},
		"too many processors":   {func(j *Job) { j.Steps[0].PerTask.Millicores = roster.MaxMillicores + 1 }, false},
		"too much memory":       {func(j *Job) { j.Steps[0].PerTask.MemoryBytes = math.MaxInt64 }, false},
		"estimate too long":     {func(j *Job) { j.Steps[0].Estimate = MaxTaskTime + 1 }, false},
		"negative target":       {func(j *Job) { j.Steps[0].TailLatencyTarget = -1 }, false},
		"negative limit":        {func(j *Job) { j.Steps[0].MaxPerWorker = -1 }, false},
		"schedule overflows":    {func(j *Job) { j.Recurrence = &Recurrence{Count: MaxOccurrences, Interval: MaxTaskTime} }, false},
		"yearly":                {func(j *Job) { j.Recurrence = &Recurrence{Count: 10, Interval: MaxTaskTime} }, true},
		"negative interval":     {func(j *Job) { j.Recurrence = &Recurrence{Count: 3, Interval: -time.Second} }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			job := validJob()
			c.change(&job)
			if err := job.Validate(); (err == nil) != c.valid || err != nil && !errors.Is(err, ErrInvalid) {
				t.Errorf("Validate: %v, want valid: %v", err, c.valid)
			}
		})
	}
}

func TestCodecRoundTrip(t *testing.T) {
	job := validJob()
	job.Recurrence = &Recurrence{First: time.UnixMilli(1_800_000_001_000), Interval: time.Minute, Count: 2}
	job.Queue.Advice = &AdviceSettings{RequestTime: time.Second, PerWorkerTime: time.Millisecond, TicketValidity: 2 * time.Second}
	data, err := Encode(job)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode[Job](data)
	if err != nil {
		t.Fatal(err)
	}
	if !got.ArrivedAt.Equal(job.ArrivedAt) || !got.Recurrence.First.Equal(job.Recurrence.First) {
		t.Errorf("arrival and first occurrence %s and %s, want %s and %s", got.ArrivedAt, got.Recurrence.First, job.ArrivedAt, job.Recurrence.First)
	}
	got.ArrivedAt, got.Recurrence.First = job.ArrivedAt, job.Recurrence.First
	if !reflect.DeepEqual(got, job) {
		t.Errorf("decoded %+v, want %+v", got, job)
	}
	if _, err := Decode[Job](data[:len(data)/2]); err == nil {
		t.Error("a truncated job was decoded without an error")
	}
}

// TestOccurrenceSet checks a set against a plain list, for additions in any order.
func TestOccurrenceSet(t *testing.T) {
	cases := map[string]struct {
		add  []int
		want OccurrenceSet
	}{
		"empty":             {nil, nil},
		"ascending":         {[]int{0, 1, 2}, OccurrenceSet{{0, 3}}},
		"descending":        {[]int{2, 1, 0}, OccurrenceSet{{0, 3}}},
		"with a gap":        {[]int{0, 2}, OccurrenceSet{{0, 1}, {2, 3}}},
		"gap closed":        {[]int{0, 2, 1}, OccurrenceSet{{0, 3}}},
		"between two gaps":  {[]int{0, 6, 3}, OccurrenceSet{{0, 1}, {3, 4}, {6, 7}}},
		"added twice":       {[]int{4, 4}, OccurrenceSet{{4, 5}}},
		"in front of range": {[]int{5, 6, 4}, OccurrenceSet{{4, 7}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var set OccurrenceSet
			present := make(map[int]bool)
			for _, k := range c.add {
				set.Add(k)
				present[k] = true
			}
			if !reflect.DeepEqual(set, c.want) || set.Len() != len(present) {
				t.Errorf("set %v of %d, want %v", set, set.Len(), c.want)
			}
			for k := range 8 {
				if set.Contains(k) != present[k] {
					t.Errorf("contains %d: %v", k, set.Contains(k))
				}
			}
		})
	}
}
