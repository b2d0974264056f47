package policy

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"strings"
	"time"
)

// The ranges that documents accept.
const (
	minRequestsPerSecond = 0.1
	maxRequestsPerSecond = 1_000_000
	maxBurst             = 1_000_000
	maxConcurrent        = 100_000
	maxBodyBytes         = 64 << 20
	minWindow            = Duration(50 * time.Millisecond)
	maxWindow            = Duration(time.Hour)
	maxJobTasks          = 100_000
	maxPendingJobs       = 1_000_000
	maxShare             = 1_000
	minObjective         = 0.5
	maxObjective         = 0.99999
	maxRetryRatio        = 1
	maxAttempts          = 10
	maxBytesPerSecond    = 10 << 30
	maxTaskAttempts      = 100
	minTaskLease         = Duration(time.Second)
	maxTaskLease         = Duration(10 * time.Minute)
	maxAge               = Duration(7 * 24 * time.Hour)
	maxFailures          = 1_000
	minOversizeRatio     = 1
	maxOversizeRatio     = 100
	maxQuota             = 1 << 60
	maxNameBytes         = 63
)

// checker collects the faults of a decoded document.
type checker struct {
	faults []Fault
}

// inRange demands that low <= got <= high.
func inRange[T cmp.Ordered](c *checker, field string, got, low, high T) {
	if got >= low && got <= high {
		return
	}
	c.faults = append(c.faults, Fault{
		Field:    field,
		Detail:   fmt.Sprintf("%v is out of range", show(got)),
		Accepted: fmt.Sprintf("%v to %v", show(low), show(high)),
	})
}

// inRangeIfSet is inRange for fields whose zero value leaves a default in force.
func inRangeIfSet[T cmp.Ordered](c *checker, field string, got, low, high T) {
	var zero T
	if got != zero {
		inRange(c, field, got, low, high)
	}
}

func show(value any) any {
	if d, ok := value.(Duration); ok {
		return time.Duration(d)
	}
	return value
}

// known demands that name is a key of names.
func known[V any](c *checker, field, name string, names map[string]V) {
	if _, ok := names[name]; ok {
		return
	}
	c.faults = append(c.faults, Fault{
		Field:    field,
		Detail:   fmt.Sprintf("unknown name %q", name),
		Accepted: strings.Join(sortedKeys(names), ", "),
	})
}

func (c *checker) name(field, name string) {
	if isName(name) {
		return
	}
	c.faults = append(c.faults, Fault{
		Field:    field,
		Detail:   fmt.Sprintf("%s is not a name", describe(name)),
		Accepted: "lower-case letters, digits and hyphens, beginning with a letter, at most 63 characters",
	})
}

func (c *checker) reason(field, reason string) {
	if err := CheckReason(reason); err != nil {
		c.faults = append(c.faults, Fault{Field: field, Detail: err.Error(), Accepted: AcceptedReason})
	}
}

// faults reports all values outside their range and all references to names
// that the document does not define.
func (d *Document) faults() []Fault {
	c := new(checker)
	d.Defaults.check(c)
	d.checkClasses(c)
	d.checkServices(c)
	d.checkTeams(c)
	d.checkCallers(c)
	d.checkWork(c)
	d.Retry.check(c)
	inRange(c, "regions.bytes-per-second", d.Regions.BytesPerSecond, 0, maxBytesPerSecond)
	d.Jobs.check(c)
	d.checkExceptions(c)
	return c.faults
}

func (l Limits) check(c *checker) {
	inRange(c, "defaults.requests-per-second", l.RequestsPerSecond, minRequestsPerSecond, maxRequestsPerSecond)
	inRange(c, "defaults.burst", l.Burst, 1, maxBurst)
	inRange(c, "defaults.concurrent", l.Concurrent, 1, maxConcurrent)
	inRange(c, "defaults.body-bytes", l.BodyBytes, 1, maxBodyBytes)
	inRange(c, "defaults.window", l.Window, minWindow, maxWindow)
	inRange(c, "defaults.job-tasks", l.JobTasks, 1, maxJobTasks)
	inRange(c, "defaults.pending-jobs", l.PendingJobs, 1, maxPendingJobs)
}

func (l Limits) checkIfSet(c *checker, path string) {
	inRangeIfSet(c, path+".requests-per-second", l.RequestsPerSecond, minRequestsPerSecond, maxRequestsPerSecond)
	inRangeIfSet(c, path+".burst", l.Burst, 1, maxBurst)
	inRangeIfSet(c, path+".concurrent", l.Concurrent, 1, maxConcurrent)
	inRangeIfSet(c, path+".body-bytes", l.BodyBytes, 1, maxBodyBytes)
	inRangeIfSet(c, path+".window", l.Window, minWindow, maxWindow)
	inRangeIfSet(c, path+".job-tasks", l.JobTasks, 1, maxJobTasks)
	inRangeIfSet(c, path+".pending-jobs", l.PendingJobs, 1, maxPendingJobs)
}

func (d *Document) checkClasses(c *checker) {
	if len(d.Classes) == 0 {
		c.faults = append(c.faults, Fault{Field: "classes", Detail: "there are none", Accepted: "one class or more"})
	}
	longest := min(max(Duration(d.LongestWindow()), minWindow), maxWindow)
	for _, name := range sortedKeys(d.Classes) {
		class, path := d.Classes[name], "classes."+name
		c.name(path, name)
		inRange(c, path+".window", class.Window, minWindow, longest)
		inRange(c, path+".share", class.Share, 0.001, maxShare)
		class.Objectives.check(c, path+".objectives")
	}
}

func (o Objectives) check(c *checker, path string) {
	inRange(c, path+".waiting-under", o.WaitingUnder, Duration(time.Millisecond), maxWindow)
	inRange(c, path+".waiting", o.Waiting, minObjective, maxObjective)
	inRange(c, path+".truthful", o.Truthful, minObjective, maxObjective)
	inRange(c, path+".completion", o.Completion, minObjective, maxObjective)
}

func (d *Document) checkServices(c *checker) {
	for _, name := range sortedKeys(d.Services) {
		c.name("services."+name, name)
		known(c, "services."+name+".class", d.Services[name].Class, d.Classes)
	}
}

func (d *Document) checkTeams(c *checker) {
	for _, name := range sortedKeys(d.Teams) {
		team, path := d.Teams[name], "teams."+name
		c.name(path, name)
		inRange(c, path+".share", team.Share, 0.001, maxShare)
		inRange(c, path+".quota.millicores", team.Quota.Millicores, 0, maxQuota)
		inRange(c, path+".quota.memory-bytes", team.Quota.MemoryBytes, 0, maxQuota)
		inRange(c, path+".quota.accelerators", team.Quota.Accelerators, 0, maxQuota)
	}
}

func (d *Document) checkCallers(c *checker) {
	owners := make(map[string]string, len(d.Callers))
	for _, name := range sortedKeys(d.Callers) {
		caller, path := d.Callers[name], "callers."+name
		c.name(path, name)
		c.name(path+".domain", caller.Domain)
		known(c, path+".team", caller.Team, d.Teams)
		c.token(path+".token-sha256", caller.TokenSHA256)
		if other, taken := owners[caller.TokenSHA256]; taken {
			c.faults = append(c.faults, Fault{Field: path + ".token-sha256", Detail: "is also the token of caller " + other, Accepted: "a token of its own"})
		}
		owners[caller.TokenSHA256] = name
	}
}

// token demands a SHA-256 hash. The value is not repeated in the fault, since
// somebody may have written the token itself.
func (c *checker) token(field, hash string) {
	data, err := hex.DecodeString(hash)
	if err == nil && len(data) == 32 && hash == strings.ToLower(hash) {
		return
	}
	c.faults = append(c.faults, Fault{
		Field:    field,
		Detail:   "is not a hash",
		Accepted: "64 lower-case hexadecimal digits, as `tanager hash-token` prints them",
	})
}

func (d *Document) checkWork(c *checker) {
	for i, label := range d.WorkLabels {
		c.name(fmt.Sprintf("work[%d]", i), label)
	}
}

func (r Retry) check(c *checker) {
	inRange(c, "retry.ratio", r.Ratio, 0, maxRetryRatio)
	inRange(c, "retry.attempts", r.Attempts, 1, maxAttempts)
}

func (j Jobs) check(c *checker) {
	inRange(c, "jobs.task-lease", j.TaskLease, minTaskLease, maxTaskLease)
	inRange(c, "jobs.attempts", j.Attempts, 1, maxTaskAttempts)
	inRange(c, "jobs.age-batch", j.AgeBatch, Duration(time.Second), maxAge)
	inRange(c, "jobs.gang-reservation", j.GangReservation, Duration(time.Second), maxAge)
	inRange(c, "jobs.quarantine-failures", j.QuarantineFailures, 1, maxFailures)
	inRange(c, "jobs.quarantine-probe", j.QuarantineProbe, Duration(time.Second), maxAge)
	inRange(c, "jobs.oversize-ratio", j.OversizeRatio, minOversizeRatio, maxOversizeRatio)
}

func (d *Document) checkExceptions(c *checker) {
	seen := make(map[string]bool, len(d.Exceptions))
	for i := range d.Exceptions {
		e, path := &d.Exceptions[i], fmt.Sprintf("exceptions[%d]", i)
		c.name(path+".name", e.Name)
		if seen[e.Name] {
			c.faults = append(c.faults, Fault{Field: path + ".name", Detail: fmt.Sprintf("%q is used twice", e.Name), Accepted: "a name of its own"})
		}
		seen[e.Name] = true
		d.checkMatch(c, path, e)
		c.reason(path+".reason", e.Reason)
		if strings.TrimSpace(e.Author) == "" {
			c.faults = append(c.faults, Fault{Field: path + ".author", Detail: "is empty", Accepted: "who answers for the exception"})
		}
		e.Limits.checkIfSet(c, path+".limits")
	}
}

// checkMatch demands that an exception matches something, by names that exist.
func (d *Document) checkMatch(c *checker, path string, e *Exception) {
	if e.Caller == "" && e.Class == "" && e.Service == "" {
		c.faults = append(c.faults, Fault{
			Field:    path,
			Detail:   "matches every request; change the defaults instead",
			Accepted: "a caller, a class or a service",
		})
	}
	if e.Caller != "" {
		known(c, path+".caller", e.Caller, d.Callers)
	}
	if e.Class != "" {
		known(c, path+".class", e.Class, d.Classes)
	}
	if e.Service != "" {
		known(c, path+".service", e.Service, d.Services)
	}
}

func isName(name string) bool {
	if name == "" || len(name) > maxNameBytes || name[0] < 'a' || name[0] > 'z' {
		return false
	}
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return true
}
