package policy

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"strings"
	"time"
)

// The ranges of values that are accepted in documents.
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

// checker collects the faults of a decoded document. Its check methods and functions add
// a fault if a value is invalid.
type checker struct {
	faults []Fault
}

// checkRange checks that low <= got <= high.
func checkRange[T cmp.Ordered](c *checker, field string, got, low, high T) {
	if got >= low && got <= high {
		return
	}
	c.faults = append(c.faults, Fault{
		Field:    field,
		Detail:   fmt.Sprintf("%v is out of range", formattable(got)),
		Accepted: fmt.Sprintf("%v to %v", formattable(low), formattable(high)),
	})
}

// checkRangeIfSet is like checkRange but accepts zero, which leaves the default unchanged.
func checkRangeIfSet[T cmp.Ordered](c *checker, field string, got, low, high T) {
	var zero T
	if got != zero {
		checkRange(c, field, got, low, high)
	}
}

// formattable returns value in a form that fmt prints for people: a Duration is converted
// to time.Duration.
func formattable(value any) any {
	if d, ok := value.(Duration); ok {
		return time.Duration(d)
	}
	return value
}

// checkKnown checks that name is a key of names.
func checkKnown[V any](c *checker, field, name string, names map[string]V) {
	if _, ok := names[name]; ok {
		return
	}
	c.faults = append(c.faults, Fault{
		Field:    field,
		Detail:   fmt.Sprintf("unknown name %q", name),
		Accepted: strings.Join(sortedKeys(names), ", "),
	})
}

// checkName checks that name has the form of a name.
func (c *checker) checkName(field, name string) {
	if isName(name) {
		return
	}
	c.faults = append(c.faults, Fault{
		Field:    field,
		Detail:   fmt.Sprintf("%s is not a name", describe(name)),
		Accepted: "lower-case letters, digits and hyphens, beginning with a letter, at most 63 characters",
	})
}

// checkReason checks a reason with CheckReason.
func (c *checker) checkReason(field, reason string) {
	if err := CheckReason(reason); err != nil {
		c.faults = append(c.faults, Fault{Field: field, Detail: err.Error(), Accepted: AcceptedReason})
	}
}

// faults returns a fault for each value out of range and each reference to a name that
// the document does not define.
func (d *Document) faults() []Fault {
	c := new(checker)
	d.Defaults.check(c)
	d.checkClasses(c)
	d.checkServices(c)
	d.checkTeams(c)
	d.checkCallers(c)
	d.checkWork(c)
	d.Retry.check(c)
	checkRange(c, "regions.bytes-per-second", d.Regions.BytesPerSecond, 0, maxBytesPerSecond)
	d.Jobs.check(c)
	d.checkExceptions(c)
	return c.faults
}

// check checks the limits of the defaults, which must all be set.
func (l Limits) check(c *checker) {
	checkRange(c, "defaults.requests-per-second", l.RequestsPerSecond, minRequestsPerSecond, maxRequestsPerSecond)
	checkRange(c, "defaults.burst", l.Burst, 1, maxBurst)
	checkRange(c, "defaults.concurrent", l.Concurrent, 1, maxConcurrent)
	checkRange(c, "defaults.body-bytes", l.BodyBytes, 1, maxBodyBytes)
	checkRange(c, "defaults.window", l.Window, minWindow, maxWindow)
	checkRange(c, "defaults.job-tasks", l.JobTasks, 1, maxJobTasks)
	checkRange(c, "defaults.pending-jobs", l.PendingJobs, 1, maxPendingJobs)
}

// checkIfSet checks the limits of an exception, which may be zero.
func (l Limits) checkIfSet(c *checker, path string) {
	checkRangeIfSet(c, path+".requests-per-second", l.RequestsPerSecond, minRequestsPerSecond, maxRequestsPerSecond)
	checkRangeIfSet(c, path+".burst", l.Burst, 1, maxBurst)
	checkRangeIfSet(c, path+".concurrent", l.Concurrent, 1, maxConcurrent)
	checkRangeIfSet(c, path+".body-bytes", l.BodyBytes, 1, maxBodyBytes)
	checkRangeIfSet(c, path+".window", l.Window, minWindow, maxWindow)
	checkRangeIfSet(c, path+".job-tasks", l.JobTasks, 1, maxJobTasks)
	checkRangeIfSet(c, path+".pending-jobs", l.PendingJobs, 1, maxPendingJobs)
}

func (d *Document) checkClasses(c *checker) {
	if len(d.Classes) == 0 {
		c.faults = append(c.faults, Fault{Field: "classes", Detail: "there are none", Accepted: "one class or more"})
	}
	longest := min(max(Duration(d.LongestWindow()), minWindow), maxWindow)
	for _, name := range sortedKeys(d.Classes) {
		class, path := d.Classes[name], "classes."+name
		c.checkName(path, name)
		checkRange(c, path+".window", class.Window, minWindow, longest)
		checkRange(c, path+".share", class.Share, 0.001, maxShare)
		class.Objectives.check(c, path+".objectives")
	}
}

func (o Objectives) check(c *checker, path string) {
	checkRange(c, path+".waiting-under", o.WaitingUnder, Duration(time.Millisecond), maxWindow)
	checkRange(c, path+".waiting", o.Waiting, minObjective, maxObjective)
	checkRange(c, path+".truthful", o.Truthful, minObjective, maxObjective)
	checkRange(c, path+".completion", o.Completion, minObjective, maxObjective)
}

func (d *Document) checkServices(c *checker) {
	for _, name := range sortedKeys(d.Services) {
		c.checkName("services."+name, name)
		checkKnown(c, "services."+name+".class", d.Services[name].Class, d.Classes)
	}
}

func (d *Document) checkTeams(c *checker) {
	for _, name := range sortedKeys(d.Teams) {
		team, path := d.Teams[name], "teams."+name
		c.checkName(path, name)
		checkRange(c, path+".share", team.Share, 0.001, maxShare)
		checkRange(c, path+".quota.millicores", team.Quota.Millicores, 0, maxQuota)
		checkRange(c, path+".quota.memory-bytes", team.Quota.MemoryBytes, 0, maxQuota)
		checkRange(c, path+".quota.accelerators", team.Quota.Accelerators, 0, maxQuota)
	}
}

func (d *Document) checkCallers(c *checker) {
	owners := make(map[string]string, len(d.Callers))
	for _, name := range sortedKeys(d.Callers) {
		caller, path := d.Callers[name], "callers."+name
		c.checkName(path, name)
		c.checkName(path+".domain", caller.Domain)
		checkKnown(c, path+".team", caller.Team, d.Teams)
		c.checkTokenHash(path+".token-sha256", caller.TokenSHA256)
		if other, taken := owners[caller.TokenSHA256]; taken {
			c.faults = append(c.faults, Fault{Field: path + ".token-sha256", Detail: "is also the token of caller " + other, Accepted: "a token of its own"})
		}
		owners[caller.TokenSHA256] = name
	}
}

// checkTokenHash checks that hash is a SHA-256 hash in lower-case hexadecimal. The fault
// does not contain the value, which may be the token itself by mistake.
func (c *checker) checkTokenHash(field, hash string) {
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
		c.checkName(fmt.Sprintf("work[%d]", i), label)
	}
}

func (r Retry) check(c *checker) {
	checkRange(c, "retry.ratio", r.Ratio, 0, maxRetryRatio)
	checkRange(c, "retry.attempts", r.Attempts, 1, maxAttempts)
}

func (j Jobs) check(c *checker) {
	checkRange(c, "jobs.task-lease", j.TaskLease, minTaskLease, maxTaskLease)
	checkRange(c, "jobs.attempts", j.Attempts, 1, maxTaskAttempts)
	checkRange(c, "jobs.age-batch", j.AgeBatch, Duration(time.Second), maxAge)
	checkRange(c, "jobs.gang-reservation", j.GangReservation, Duration(time.Second), maxAge)
	checkRange(c, "jobs.quarantine-failures", j.QuarantineFailures, 1, maxFailures)
	checkRange(c, "jobs.quarantine-probe", j.QuarantineProbe, Duration(time.Second), maxAge)
	checkRange(c, "jobs.oversize-ratio", j.OversizeRatio, minOversizeRatio, maxOversizeRatio)
}

func (d *Document) checkExceptions(c *checker) {
	seen := make(map[string]bool, len(d.Exceptions))
	for i := range d.Exceptions {
		e, path := &d.Exceptions[i], fmt.Sprintf("exceptions[%d]", i)
		c.checkName(path+".name", e.Name)
		if seen[e.Name] {
			c.faults = append(c.faults, Fault{Field: path + ".name", Detail: fmt.Sprintf("%q is used twice", e.Name), Accepted: "a name of its own"})
		}
		seen[e.Name] = true
		d.checkMatch(c, path, e)
		c.checkReason(path+".reason", e.Reason)
		if strings.TrimSpace(e.Author) == "" {
			c.faults = append(c.faults, Fault{Field: path + ".author", Detail: "is empty", Accepted: "who answers for the exception"})
		}
		e.Limits.checkIfSet(c, path+".limits")
	}
}

// checkMatch checks that an exception names at least one of caller, class and service,
// and that the names exist.
func (d *Document) checkMatch(c *checker, path string, e *Exception) {
	if e.Caller == "" && e.Class == "" && e.Service == "" {
		c.faults = append(c.faults, Fault{
			Field:    path,
			Detail:   "matches every request; change the defaults instead",
			Accepted: "a caller, a class or a service",
		})
	}
	if e.Caller != "" {
		checkKnown(c, path+".caller", e.Caller, d.Callers)
	}
	if e.Class != "" {
		checkKnown(c, path+".class", e.Class, d.Classes)
	}
	if e.Service != "" {
		checkKnown(c, path+".service", e.Service, d.Services)
	}
}

// isName reports whether name consists of 1 to 63 lower-case letters, digits and hyphens,
// beginning with a letter.
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
