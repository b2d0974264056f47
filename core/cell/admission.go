package cell

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/intake"
	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/roster"
	"tanagerstack.org/core/store"
)

// Admission selects whether jobs are refused for the load.
type Admission int

const (
	// AdmissionAuto refuses where the configuration holds organizations, by those rules that serve
	// callers better in the model.
	AdmissionAuto Admission = iota
	// AdmissionOn refuses in any cell, by all rules.
	AdmissionOn
	// AdmissionOff refuses nothing, gangs that are wider than a cap included, and keeps weights fixed.
	AdmissionOff
)

// ErrAdmission means that a text names no Admission.
var ErrAdmission = errors.New("want auto, on or off")

// ParseAdmission parses auto, on or off; an empty text is auto.
func ParseAdmission(text string) (Admission, error) {
	switch text {
	case "", "auto":
		return AdmissionAuto, nil
	case "on":
		return AdmissionOn, nil
	case "off":
		return AdmissionOff, nil
	default:
		return AdmissionAuto, fmt.Errorf("%q: %w", text, ErrAdmission)
	}
}

// active reports whether jobs are refused under a configuration.
func (a Admission) active(config *jobs.Config) bool {
	return a == AdmissionOn || a == AdmissionAuto && config.HasOrganizations()
}

// rules returns what is refused for the load. In the model neither refusals of jobs that would end too
// late nor of the excess of organizations, with or without a chance, earned more (docs/design/admission.md), so they
// need AdmissionOn.
func (a Admission) rules() intake.Rules {
	if a == AdmissionOn {
		return intake.Rules{TooLate: true, Excess: true, NoChance: true}
	}
	return intake.Rules{}
}

// policy returns the policy of the engine: weights that rise with the load of all organizations, unless
// admission is off.
func (a Admission) policy() engine.Policy { return engine.Policy{FixedWeights: a == AdmissionOff} }

const (
	// snapshotInterval is how long the leader sends the same snapshot to several VMs: one takes a
	// fraction of a scheduling pass.
	snapshotInterval = 100 * time.Millisecond
	// uncertainFor is the time for which a write without an answer may still be executed: the
	// platform's store executes calls up to 6 s late.
	uncertainFor = 10 * time.Second
	// maxUncertain bounds the number of jobs whose writes had no answer that a VM remembers.
	maxUncertain = 10_000
	// admissionReadTimeout bounds the look whether an earlier attempt stored a job. A refusal is of
	// use only if it is quick; without an answer the job is accepted.
	admissionReadTimeout = 300 * time.Millisecond
	// refusalLogInterval is the least time between two log lines about refusals with the same
	// reason, so that a flood of refused jobs does not fill the log.
	refusalLogInterval = 100 * time.Millisecond
)

// admission decides about jobs that callers submit to this VM. The zero value accepts all.
type admission struct {
	mu sync.Mutex
	// snapshot is the last one of the leader, less the jobs accepted here since.
	snapshot *intake.Snapshot
	// uncertain holds the jobs that a write without an answer may have stored, with the time of the
	// last one.
	uncertain map[jobs.ID]time.Time
	// logLimits bounds the log lines about refusals, by reason.
	logLimits map[intake.Reason]*logLimit
}

// received takes over a snapshot that the leader sent; nil means that it is still loading.
func (a *admission) received(snapshot *intake.Snapshot, sent time.Time) {
	if snapshot != nil {
		// The reply was written after the heartbeat was sent, so the snapshot is at most this old.
		snapshot.At = sent.Add(-max(snapshot.Age, 0))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.snapshot = snapshot
}

// decide returns the decision about a job, its inputs, and the age of the last snapshot.
func (a *admission) decide(now time.Time, job *jobs.Job, limit roster.Resources, rules intake.Rules) (d intake.Decision, r intake.Request, age time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var snapshot *intake.Snapshot
	if a.snapshot != nil {
		// A VM that was suspended must not take its snapshot for a new one.
		if age = elapsed(a.snapshot.At, now); age <= intake.MaxAge {
			snapshot = a.snapshot
		}
	}
	r = snapshot.NewRequest(job, limit, rand.Float64()) //nolint:gosec // spreads callers, no secret
	d = snapshot.Decide(now, r, rules)
	if d.Accepted() {
		snapshot.NoteAccepted(now, r)
	}
	return d, r, age
}

// noteUncertain remembers a job that a write without an answer may store.
func (a *admission) noteUncertain(now time.Time, id jobs.ID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.uncertain == nil {
		a.uncertain = make(map[jobs.ID]time.Time)
	}
	if len(a.uncertain) >= maxUncertain {
		for other, at := range a.uncertain {
			if now.Sub(at) > uncertainFor {
				delete(a.uncertain, other)
			}
		}
	}
	if len(a.uncertain) < maxUncertain {
		a.uncertain[id] = now
	}
}

// mayBeStored reports whether a write of this VM may still store a job.
func (a *admission) mayBeStored(now time.Time, id jobs.ID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, found := a.uncertain[id]
	return found && now.Sub(at) <= uncertainFor
}

// logLimit returns the bound of the log lines about refusals for a reason.
func (a *admission) logLimit(reason intake.Reason) *logLimit {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.logLimits == nil {
		a.logLimits = make(map[intake.Reason]*logLimit)
	}
	if a.logLimits[reason] == nil {
		a.logLimits[reason] = newLogLimit(rate.Every(refusalLogInterval), 1)
	}
	return a.logLimits[reason]
}

// admit returns an error if the job is refused for the load. A job that an earlier attempt stored, or
// may have stored as far as this VM knows, is not refused: the insert that follows finds out.
func (n *Node) admit(ctx context.Context, job *jobs.Job) *RefusedError {
	config := n.Config()
	if !n.opts.Admission.active(config) {
		return nil
	}
	now := time.Now()
	d, request, age := n.admission.decide(now, job, capOf(config, job.Organization), n.opts.Admission.rules())
	if d.Accepted() {
		return nil
	}
	if n.admission.mayBeStored(now, job.ID) || !n.provedAbsent(ctx, job.ID) {
		n.metrics.refusals.WithLabelValues("not-refused").Inc()
		return nil
	}
	n.metrics.refusals.WithLabelValues(string(d.Reason)).Inc()
	if suppressed, ok := n.admission.logLimit(d.Reason).take(now); ok {
		n.opts.Logger.Info("job refused", "job", job.ID, "queue", job.Queue.Name, "organization", job.Organization, "why", d.Reason,
			"starts-in", d.Start, "critical-path", request.CriticalPath, "objective", request.Objective, "millicores", request.Millicores,
			"snapshot-age", age, "retry-after", d.RetryAfter, "not-logged", suppressed)
	}
	return &RefusedError{
		Reason: refusalTexts[d.Reason], RetryAfter: d.RetryAfter, CallerLimit: d.Reason != intake.TooLate,
	}
}

// refusalTexts are the reasons as callers read them.
var refusalTexts = map[intake.Reason]string{
	intake.TooLate:        "the job would end too late",
	intake.Excess:         "the organization submits more jobs than its weight while the cell is full",
	intake.NoChance:       "the organization submits more jobs than its weight, and the cell has no capacity left for them",
	intake.GangExceedsCap: "a gang needs more than the organization may have running",
}

// capOf returns the cap of an organization; a zero amount is no limit.
func capOf(config *jobs.Config, name string) roster.Resources {
	if !config.HasOrganizations() || name == "" {
		return roster.Resources{}
	}
	if o, found := config.Organizations.ByName(name); found {
		return o.Cap
	}
	return roster.Resources{}
}

// provedAbsent reports whether the store answers that it has no job with an ID.
func (n *Node) provedAbsent(ctx context.Context, id jobs.ID) bool {
	ctx, cancel := context.WithTimeout(ctx, admissionReadTimeout)
	defer cancel()
	row, err := n.opts.Store.Read(ctx, JobsTable, string(id))
	if err != nil {
		return false
	}
	if row.Version == store.Absent {
		return true
	}
	job, err := jobs.Decode[jobs.Job](row.Value)
	return err == nil && job.Refused
}

// loadSnapshotLocked returns the snapshot for a heartbeat reply, or nil until the jobs are loaded or if no
// VM refuses jobs. The caller holds l.mu.
func (l *leader) loadSnapshotLocked(now time.Time) *intake.Snapshot {
	if !l.loaded || l.node.opts.Admission.rules() == (intake.Rules{}) {
		return nil
	}
	if l.lastSnapshot == nil || now.Sub(l.lastSnapshot.At) >= snapshotInterval {
		l.lastSnapshot = l.engine.LoadSnapshot(now)
		if l.lastSnapshot == nil {
			return nil
		}
		l.lastSnapshot.At = now
	}
	snapshot := l.lastSnapshot.Clone()
	snapshot.Age = now.Sub(l.lastSnapshot.At)
	return snapshot
}

// loadSnapshot returns the snapshot for this VM itself.
func (l *leader) loadSnapshot() *intake.Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loadSnapshotLocked(time.Now())
}
