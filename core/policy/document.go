package policy

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration that documents write as "1.5s". A policy states
// how long things may take; what is stored while the system runs is always the
// deadline that follows from it.
type Duration time.Duration

// MarshalJSON writes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a string such as "250ms".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("a duration is a string such as \"250ms\", not %s", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("a duration is a string such as \"250ms\", not %q", text)
	}
	*d = Duration(parsed)
	return nil
}

// Document is all that operators decide: fleet-wide defaults, the things that
// callers may name, and a short list of exceptions.
type Document struct {
	Defaults   Limits             `json:"defaults"`
	Classes    map[string]Class   `json:"classes"`
	Services   map[string]Service `json:"services"`
	Callers    map[string]Caller  `json:"callers"`
	Teams      map[string]Team    `json:"teams"`
	WorkLabels []string           `json:"work"`
	Retry      Retry              `json:"retry"`
	Regions    Regions            `json:"regions"`
	Jobs       Jobs               `json:"jobs"`
	Exceptions []Exception        `json:"exceptions,omitempty"`
}

// Limits bound what one caller may ask of one entry VM's fleet. A zero field of
// an exception leaves the default in force.
type Limits struct {
	// RequestsPerSecond is the sustained rate of one caller over the fleet.
	RequestsPerSecond float64 `json:"requests-per-second,omitempty"`
	// Burst is how many requests may come at once on top of the rate.
	Burst int `json:"burst,omitempty"`
	// Concurrent is the most requests of one caller in flight on one entry VM.
	Concurrent int `json:"concurrent,omitempty"`
	// BodyBytes is the largest request body.
	BodyBytes int64 `json:"body-bytes,omitempty"`
	// Window is the longest window that a request may declare.
	Window Duration `json:"window,omitempty"`
	// JobTasks is the most tasks of one job.
	JobTasks int `json:"job-tasks,omitempty"`
	// PendingJobs is the most jobs of one caller that have not ended.
	PendingJobs int `json:"pending-jobs,omitempty"`
}

// Class groups requests that share a window and objectives.
type Class struct {
	// Window is the window of a request that declares none.
	Window Duration `json:"window"`
	// Share weighs the class against the others where slots are short.
	Share float64 `json:"share"`
	// Urgent classes are served before others.
	Urgent bool `json:"urgent,omitempty"`
	// Objectives are the class's service levels.
	Objectives Objectives `json:"objectives"`
}

// Objectives are service levels, each as the share of requests that must meet it.
type Objectives struct {
	// WaitingUnder is the waiting time that Waiting of the requests must stay under.
	WaitingUnder Duration `json:"waiting-under"`
	Waiting      float64  `json:"waiting"`
	// Truthful is the share of requests that must not end as unknown.
	Truthful float64 `json:"truthful"`
	// Completion is the share of accepted requests that must complete inside their window.
	Completion float64 `json:"completion"`
}

// Service is a service that callers may send requests to.
type Service struct {
	// Class is the class of requests that name none.
	Class string `json:"class"`
}

// Caller is a customer's client.
type Caller struct {
	// TokenSHA256 is the hash of the caller's token, in hexadecimal.
	TokenSHA256 string `json:"token-sha256"`
	// Team is the team whose quota the caller's jobs count against.
	Team string `json:"team"`
	// Domain is the home failure domain: the caller's claims are kept there.
	Domain string `json:"domain"`
}

// Team has a quota and a share of the workers.
type Team struct {
	// Share weighs the team against the others where workers are short.
	Share float64 `json:"share"`
	// Quota is the most that the team's running tasks may hold in one failure domain; a zero field means no quota.
	Quota Quota `json:"quota,omitempty"`
}

// Quota bounds the resources of running tasks.
type Quota struct {
	Millicores   int64 `json:"millicores,omitempty"`
	MemoryBytes  int64 `json:"memory-bytes,omitempty"`
	Accelerators int   `json:"accelerators,omitempty"`
}

// Retry bounds the retries of idempotent requests.
type Retry struct {
	// Ratio is the number of retries allowed for each first try, over the last seconds.
	Ratio float64 `json:"ratio"`
	// Attempts is the most attempts of one request.
	Attempts int `json:"attempts"`
}

// Regions bounds paid traffic between regions.
type Regions struct {
	// BytesPerSecond is the budget of one entry VM for traffic to other regions.
	BytesPerSecond int64 `json:"bytes-per-second"`
}

// Jobs has the rules of the job scheduler.
type Jobs struct {
	// TaskLease is how long a worker runs a task without hearing of a renewal.
	TaskLease Duration `json:"task-lease"`
	// Attempts is the most attempts of one task.
	Attempts int `json:"attempts"`
	// AgeBatch is the waiting time after which a batch job is placed before newer ones of any share.
	AgeBatch Duration `json:"age-batch"`
	// GangReservation is how long a reservation for a gang job may hold workers idle.
	GangReservation Duration `json:"gang-reservation"`
	// QuarantineFailures is how many different jobs must fail on a worker in a row before it is quarantined.
	QuarantineFailures int `json:"quarantine-failures"`
	// QuarantineProbe is the time between probes of a quarantined worker.
	QuarantineProbe Duration `json:"quarantine-probe"`
	// OversizeRatio is the ratio of used to declared size from which a task is throttled.
	OversizeRatio float64 `json:"oversize-ratio"`
}

// Exception changes limits for what it matches. It must carry a reason.
type Exception struct {
	Name string `json:"name"`
	// Caller, Class and Service are matched exactly; an empty one matches all.
	Caller  string `json:"caller,omitempty"`
	Class   string `json:"class,omitempty"`
	Service string `json:"service,omitempty"`
	// Reason says why, in words.
	Reason string `json:"reason"`
	Author string `json:"author"`
	// Until ends the exception; a zero instant means that it does not end.
	Until time.Time `json:"until,omitzero"`
	// Limits replace the defaults, field by field.
	Limits Limits `json:"limits"`
}
