package policy

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded as a string such as "1.5s". Policies set
// durations; at run time the system stores the deadlines computed from them.
type Duration time.Duration

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a string such as "250ms".
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

// Document is a policy: fleet-wide defaults, the names that requests and jobs may use, and
// a short list of exceptions. WorkLabels lists the labels that jobs may have.
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

// Limits are the limits of one caller. In an exception, a zero field leaves the default
// unchanged.
type Limits struct {
	// RequestsPerSecond is the sustained rate of requests of one caller over the whole
	// fleet.
	RequestsPerSecond float64 `json:"requests-per-second,omitempty"`
	// Burst is the number of requests that may arrive at once on one entry VM.
	Burst int `json:"burst,omitempty"`
	// Concurrent is the maximum number of requests of one caller that are in flight on
	// one entry VM.
	Concurrent int `json:"concurrent,omitempty"`
	// BodyBytes is the maximum size of a request body in bytes.
	BodyBytes int64 `json:"body-bytes,omitempty"`
	// Window is the maximum window that a request may declare.
	Window Duration `json:"window,omitempty"`
	// JobTasks is the maximum number of tasks of one job.
	JobTasks int `json:"job-tasks,omitempty"`
	// PendingJobs is the maximum number of jobs of one caller that have not ended.
	PendingJobs int `json:"pending-jobs,omitempty"`
}

// Class is a class of requests with a common default window, share and objectives.
type Class struct {
	// Window is the window of requests that do not declare one.
	Window Duration `json:"window"`
	// Share is the weight of the class when requests of several classes wait for slots.
	Share float64 `json:"share"`
	// Urgent classes are served before all others.
	Urgent bool `json:"urgent,omitempty"`
	// Objectives are the service level objectives of the class.
	Objectives Objectives `json:"objectives"`
}

// Objectives are service level objectives, each as the share of requests, between 0 and
// 1, that must meet it.
type Objectives struct {
	// WaitingUnder is the maximum waiting time for the objective Waiting.
	WaitingUnder Duration `json:"waiting-under"`
	// Waiting is the share of requests that must not wait longer than WaitingUnder.
	Waiting float64 `json:"waiting"`
	// Truthful is the share of requests that must not end with an unknown outcome.
	Truthful float64 `json:"truthful"`
	// Completion is the share of accepted requests that must complete inside their window.
	Completion float64 `json:"completion"`
}

// Service is a service that callers may send requests to.
type Service struct {
	// Class is the class of requests that do not name one.
	Class string `json:"class"`
}

// Caller is a client of a customer. It may send requests and submit jobs.
type Caller struct {
	// TokenSHA256 is the SHA-256 hash of the caller's token, in lower-case hexadecimal.
	TokenSHA256 string `json:"token-sha256"`
	// Team is the team whose quota the caller's jobs count against.
	Team string `json:"team"`
	// Domain is the home failure domain of the caller, where its claims are stored.
	Domain string `json:"domain"`
}

// Team has a quota and a share of the workers.
type Team struct {
	// Share is the weight of the team when jobs of several teams wait for workers.
	Share float64 `json:"share"`
	// Quota is the maximum of the resources that the team's running tasks use in one
	// failure domain; a zero field means no limit.
	Quota Quota `json:"quota,omitempty"`
}

// Quota limits the resources of running tasks.
type Quota struct {
	Millicores   int64 `json:"millicores,omitempty"`
	MemoryBytes  int64 `json:"memory-bytes,omitempty"`
	Accelerators int   `json:"accelerators,omitempty"`
}

// Retry limits the retries of idempotent requests.
type Retry struct {
	// Ratio is the number of retries that an entry VM may make per first attempt.
	Ratio float64 `json:"ratio"`
	// Attempts is the maximum number of attempts of one request.
	Attempts int `json:"attempts"`
}

// Regions limits paid traffic between regions.
type Regions struct {
	// BytesPerSecond is the maximum rate of an entry VM's traffic to other regions.
	BytesPerSecond int64 `json:"bytes-per-second"`
}

// Jobs holds the parameters of the job scheduler.
type Jobs struct {
	// TaskLease is how long a worker runs a task without a renewal of its lease.
	TaskLease Duration `json:"task-lease"`
	// Attempts is the maximum number of attempts of one task.
	Attempts int `json:"attempts"`
	// AgeBatch is the waiting time after which a batch or gang job is placed before newer
	// ones, regardless of shares.
	AgeBatch Duration `json:"age-batch"`
	// GangReservation is how long a reservation may keep capacity of workers idle for a
	// gang job, or for a task of a batch job that has waited for AgeBatch.
	GangReservation Duration `json:"gang-reservation"`
	// QuarantineFailures is the number of different jobs that must fail on a worker in a
	// row before it is quarantined.
	QuarantineFailures int `json:"quarantine-failures"`
	// QuarantineProbe is the interval between probes of a quarantined worker.
	QuarantineProbe Duration `json:"quarantine-probe"`
	// OversizeRatio is the ratio of the used to the declared resources above which a task
	// is throttled; a task that stays above it is stopped.
	OversizeRatio float64 `json:"oversize-ratio"`
}

// Exception replaces limits for the requests that it matches. It must have a reason.
type Exception struct {
	Name string `json:"name"`
	// Caller, Class and Service must equal those of the request; an empty field matches
	// any value.
	Caller  string `json:"caller,omitempty"`
	Class   string `json:"class,omitempty"`
	Service string `json:"service,omitempty"`
	// Reason is the reason for the exception, as a sentence.
	Reason string `json:"reason"`
	// Author is the person or team responsible for the exception.
	Author string `json:"author"`
	// Until is when the exception ends; the zero time means never.
	Until time.Time `json:"until,omitzero"`
	// Limits replace the defaults, field by field.
	Limits Limits `json:"limits"`
}
