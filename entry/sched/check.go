package sched

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"tanagerstack.org/core/api/caller"
	"tanagerstack.org/core/ledger"
	"tanagerstack.org/core/policy"
	"tanagerstack.org/core/queue"
	"tanagerstack.org/core/roster"
)

const (
	maxName    = 120
	maxKey     = 120
	maxCommand = 64
	maxTasks   = 5000
	// maxWindow bounds how far in the future a window may end.
	maxWindow = 400 * 24 * time.Hour
)

// check validates a job against the policy and the fleet. It returns the failure
// domain that the job will run in, and the caller's team.
func (s *Scheduler) check(callerName string, spec *caller.JobSpec, now time.Time) (domain, team string, err error) {
	document := s.document()
	if document == nil {
		return "", "", &RefusedError{Reason: ReasonNoPolicy, Detail: "no policy is in force here yet", RetryAt: now.Add(storeRetryAfter)}
	}
	who, ok := document.Callers[callerName]
	if !ok {
		return "", "", &RefusedError{Reason: ReasonUnknown, Detail: fmt.Sprintf("the policy has no caller %q", callerName)}
	}
	limits, _ := document.Limits(callerName, "", "", now)
	if err := checkSpec(spec, document, limits, now); err != nil {
		return "", "", err
	}
	if err := checkQuota(spec, who.Team, document); err != nil {
		return "", "", err
	}
	domain, err = s.homeOf(who.Domain, spec)
	return domain, who.Team, err
}

func badField(field, accepted, detail string) error {
	return &RefusedError{Reason: ReasonBadField, Field: field, Accepted: accepted, Detail: detail}
}

// checkSpec validates what a job declares, field by field.
func checkSpec(spec *caller.JobSpec, document *policy.Document, limits policy.Limits, now time.Time) error {
	r := spec.Resources
	switch {
	case spec.Name == "" || len(spec.Name) > maxName:
		return badField("name", fmt.Sprintf("1 to %d characters", maxName), fmt.Sprintf("the name has %d characters", len(spec.Name)))
	case len(spec.Key.Value) > maxKey:
		return badField("key", fmt.Sprintf("up to %d characters", maxKey), fmt.Sprintf("the key has %d characters", len(spec.Key.Value)))
	case len(spec.Command) == 0 || len(spec.Command) > maxCommand:
		return badField("command", fmt.Sprintf("1 to %d words", maxCommand), fmt.Sprintf("the command has %d words", len(spec.Command)))
	case r.Millicores <= 0:
		return badField("resources.millicores", "1 or more", fmt.Sprintf("%d millicores were declared", r.Millicores))
	case r.MemoryBytes <= 0:
		return badField("resources.memory-bytes", "1 or more", fmt.Sprintf("%d bytes were declared", r.MemoryBytes))
	case r.Accelerators < 0:
		return badField("resources.accelerators", "0 or more", fmt.Sprintf("%d accelerators were declared", r.Accelerators))
	case spec.ExpectedRun < 0:
		return badField("expected-run", "0s or more", fmt.Sprintf("%v was declared", spec.ExpectedRun))
	case !slices.Contains(document.WorkLabels, spec.Work):
		return &RefusedError{
			Reason: ReasonUnknownWork, Field: "work", Accepted: strings.Join(document.WorkLabels, ", "),
			Detail: fmt.Sprintf("the policy does not list the kind of work %q", spec.Work),
		}
	}
	if err := checkTasks(spec, limits); err != nil {
		return err
	}
	return checkWindow(spec, now)
}

func checkTasks(spec *caller.JobSpec, limits policy.Limits) error {
	limit := maxTasks
	if n := limits.JobTasks; n > 0 {
		limit = min(limit, n)
	}
	if spec.Tasks >= 1 && spec.Tasks <= limit {
		return nil
	}
	return &RefusedError{
		Reason: ReasonTooManyTasks, Field: "tasks", Accepted: fmt.Sprintf("1 to %d", limit),
		Detail: fmt.Sprintf("%d tasks were declared", spec.Tasks),
	}
}

func checkWindow(spec *caller.JobSpec, now time.Time) error {
	earliest := now
	if spec.Kind != caller.JobSpecKindService {
		earliest = now.Add(spec.ExpectedRun)
	}
	if spec.NotAfter.After(earliest) && spec.NotAfter.Before(now.Add(maxWindow)) {
		return nil
	}
	return &RefusedError{
		Reason: ReasonWindow, Field: "not-after",
		Accepted: fmt.Sprintf("after %s and before %s", earliest.Format(time.RFC3339), now.Add(maxWindow).Format(time.RFC3339)),
		Detail:   fmt.Sprintf("the window ends at %s; it is %s, and a task runs %v", spec.NotAfter.Format(time.RFC3339), now.Format(time.RFC3339), spec.ExpectedRun),
	}
}

// checkQuota refuses a job that the team's quota can never allow.
func checkQuota(spec *caller.JobSpec, team string, document *policy.Document) error {
	granted := document.Teams[team]
	account := queue.Team{Quota: roster.Resources{
		Millicores:   granted.Quota.Millicores,
		MemoryBytes:  granted.Quota.MemoryBytes,
		Accelerators: granted.Quota.Accelerators,
	}}
	least := leastTogether(spec)
	if n := account.TasksWithinQuota(specResources(spec), least); n < least {
		return &RefusedError{
			Reason: ReasonOverQuota, Field: "resources",
			Accepted: fmt.Sprintf("up to %+v for all tasks of team %q together", granted.Quota, team),
			Detail:   fmt.Sprintf("%d tasks of %+v must run together and the quota allows %d", least, specResources(spec), n),
		}
	}
	return nil
}

// homeOf is the caller's home domain if the job can ever run there, else the
// first other domain where it can.
func (s *Scheduler) homeOf(home string, spec *caller.JobSpec) (string, error) {
	if home == "" {
		home = s.opts.Domain
	}
	room := make(map[string]int)
	domains := []string{home}
	largest := roster.Resources{}
	workers := 0
	least := leastTogether(spec)
	for _, w := range s.opts.Roster().Workers {
		if _, ok := room[w.Domain]; !ok {
			room[w.Domain] = 0
			domains = append(domains, w.Domain)
		}
		if w.State == roster.Leaving {
			continue
		}
		workers++
		room[w.Domain] += ledger.FitCount(specResources(spec), w.Capacity, least)
		largest = greatest(largest, w.Capacity)
	}
	sort.Strings(domains[1:])
	for _, domain := range domains {
		if room[domain] >= least {
			return domain, nil
		}
	}
	return "", &RefusedError{
		Reason: ReasonNeverFits, Field: "resources",
		Accepted: fmt.Sprintf("up to %+v for a task, on one of %d workers", largest, workers),
		Detail:   fmt.Sprintf("%d tasks of %+v must fit together in one failure domain; empty workers of %s would take %d", least, specResources(spec), home, room[home]),
	}
}

// leastTogether is how many tasks of a job must run at once.
func leastTogether(spec *caller.JobSpec) int {
	if spec.Kind == caller.JobSpecKindGang {
		return spec.Tasks
	}
	return 1
}

func specResources(spec *caller.JobSpec) roster.Resources {
	r := spec.Resources
	return roster.Resources{Millicores: r.Millicores, MemoryBytes: r.MemoryBytes, Accelerators: r.Accelerators}
}

func greatest(a, b roster.Resources) roster.Resources {
	return roster.Resources{
		Millicores:   max(a.Millicores, b.Millicores),
		MemoryBytes:  max(a.MemoryBytes, b.MemoryBytes),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
