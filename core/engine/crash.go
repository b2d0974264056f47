package engine

import (
	"slices"
	"time"

	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/ledger"
)

// A task may crash each worker that starts it. Every run on a crashed worker counts as a suspect,
// and the count is stored before the task starts again. The exception is the first worker that is
// lost without proof of a crash, since the store may be away as well. A task under which several
// workers have crashed starts only on a worker without other work. If that one crashes as well, it
// is not due to a neighbor, and the task is given up. Doubtful crashes count less: the worker was lost
// without proof and never told that it had the run, so the start may not have reached it.

const (
	// crashesToIsolate is the number of crashed workers from which on a task starts only on a
	// worker without other work.
	crashesToIsolate = 2
	// maxCrashes is the number of crashed workers, without doubtful crashes, from which on a task is
	// given up, and maxDoubtfulCrashes the number with them. Users accept two starts after maxCrashes.
	maxCrashes         = 3
	maxDoubtfulCrashes = maxCrashes + 2
	// maxKeptShare is the maximum share of the open workers that are kept for isolated tasks.
	maxKeptShare = 0.25
	// serviceProbation is the age from which on a run of a service is no suspect. Services run for
	// so long that workers crash under them for any cause.
	serviceProbation = 10 * time.Second
)

// crashEvidence tells whether a run ended because its worker crashed.
type crashEvidence int

const (
	// noCrash means that nothing indicates a crash.
	noCrash crashEvidence = iota
	// presumedCrash means that the worker was lost with the run. It is withdrawn if the same
	// incarnation answers again.
	presumedCrash
	// provedCrash means that a later incarnation has answered.
	provedCrash
)

// suspectCrash records how a run ends that is lost with its worker. Workers that leave end their
// runs without a crash.
func (r *run) suspectCrash(evidence crashEvidence) {
	if r.worker.Leaving || r.owner == nil {
		return
	}
	if r.owner.step.Service && r.worker.lastSeen.Sub(r.startSentAt) > serviceProbation {
		return
	}
	r.crash = max(r.crash, evidence)
}

// runCrashed counts a crash under a run's task, and gives the task up after maxCrashes.
func (e *Engine) runCrashed(now time.Time, r *run) {
	t := r.owner
	s, j := t.step, t.step.job
	if j.final() || t.done {
		return
	}
	if r.crash == presumedCrash {
		r.worker.presumedCrashes = append(r.worker.presumedCrashes, r.runKey)
	}
	t.avoid = append(t.avoid, r.worker.ID)
	if !s.addCrash(t, r.number, !r.arrived && r.crash != provedCrash) {
		return
	}
	e.counters.Crashes++
	e.markChanged(j)
	counted := t.counted()
	if r.crash == provedCrash || counted.crashes >= crashesToIsolate {
		counted.heldUntil = j.revision
	}
	e.log("worker crashed under task", "task", r.task, "run", r.number, "worker", r.worker.ID, "proved", r.crash == provedCrash,
		"arrived", r.arrived, "crashes", counted.crashes, "isolated", r.worker.keptFor != nil && r.worker.keptFor.step == s, "age", r.worker.lastSeen.Sub(r.startSentAt))
	if s.crashesWorkers(counted) {
		e.counters.GivenUp++
		e.log("job fails because its task crashes workers", "job", j.ID, "task", r.task, "crashes", counted.crashes, "runs", s.crashes)
		e.finalize(now, j, jobs.Failed)
	}
}

// withdrawPresumedCrashes takes back the crashes of a worker whose same incarnation answers again.
func (e *Engine) withdrawPresumedCrashes(w *worker) {
	for _, key := range w.presumedCrashes {
		t := e.task(key.task)
		if t == nil || !t.step.removeCrash(t, key.number) {
			continue
		}
		e.counters.CrashesWithdrawn++
		e.markChanged(t.step.job)
		e.log("crash withdrawn because the worker answers again", "task", key.task, "run", key.number, "worker", w.ID, "crashes", t.counted().crashes)
	}
	w.presumedCrashes = nil
}

// counted returns the task that the crashes are counted at: the first one for all members of a gang.
func (t *task) counted() *task {
	if t.step.Gang {
		return t.step.tasks[0]
	}
	return t
}

// isolated reports whether the task starts only on a worker without other work.
func (t *task) isolated() bool { return !t.done && t.counted().crashes >= crashesToIsolate }

// held reports whether the task must not start yet, because a crash under it is not stored. A
// later leader would not know of it.
func (t *task) held() bool { return t.heldUntil > t.step.job.committed }

// crashesWorkers reports whether so many workers crashed under a task that it is given up.
func (s *step) crashesWorkers(counted *task) bool {
	doubtful := 0
	for _, crash := range s.crashes {
		if crash.Task == counted.id.Index && crash.Doubtful {
			doubtful++
		}
	}
	return counted.crashes-doubtful >= maxCrashes || counted.crashes >= maxDoubtfulCrashes
}

// indexOfCrash returns the position of a run in the recorded crashes, or -1.
func (s *step) indexOfCrash(counted *task, number int) int {
	return slices.IndexFunc(s.crashes, func(c jobs.Failure) bool { return c.Task == counted.id.Index && c.Run == number })
}

// addCrash records a run whose worker crashed, and reports whether that changed the record. A run of a
// gang counts once, however many workers crash under it, and is doubtful if all of these crashes are.
func (s *step) addCrash(t *task, number int, doubtful bool) bool {
	counted := t.counted()
	if i := s.indexOfCrash(counted, number); i >= 0 {
		cleared := s.crashes[i].Doubtful && !doubtful
		s.crashes[i].Doubtful = s.crashes[i].Doubtful && doubtful
		return cleared
	}
	s.crashes = append(s.crashes, jobs.Failure{Task: counted.id.Index, Run: number, Doubtful: doubtful})
	s.lastRun = max(s.lastRun, number)
	counted.crashes++
	return true
}

// removeCrash takes back a crash and reports whether it was recorded.
func (s *step) removeCrash(t *task, number int) bool {
	counted := t.counted()
	i := s.indexOfCrash(counted, number)
	if i < 0 {
		return false
	}
	s.crashes = slices.Delete(s.crashes, i, i+1)
	counted.crashes--
	return true
}

// releaseKeptWorkers releases the workers whose isolated task has ended, runs elsewhere, or no longer
// fits. A gang keeps workers only while it runs, since gangs that wait for each other's workers would
// not end.
func (e *Engine) releaseKeptWorkers(now time.Time) {
	e.keptWorkers = 0
	for _, w := range e.sortedWorkers {
		t := w.keptFor
		if t == nil {
			continue
		}
		if !t.isolated() || t.step.job.final() || t.run == nil && (t.step.Gang || !w.usable(now) || t.step.fitsIfEmpty(w, 1) == 0 || e.waitsForCap(t.step, 1)) || t.run != nil && t.run.worker != w {
			w.keptFor = nil
			continue
		}
		e.keptWorkers++
	}
}

// mayIsolate reports whether another worker may be kept for an isolated task.
func (e *Engine) mayIsolate(p *pass) bool {
	return e.keptWorkers < max(1, int(maxKeptShare*float64(len(p.open))))
}

// mayHost reports whether a worker that a task's step may run on may run that task. Gangs choose
// among workers without other work from the start.
func (e *Engine) mayHost(p *pass, w *worker, t *task) bool {
	switch {
	case t.step.Gang:
		return true
	case w.keptFor != nil:
		return w.keptFor == t && w.vacantFor(p.now, t.step)
	case t.isolated():
		return w.vacantFor(p.now, t.step) && e.mayIsolate(p)
	default:
		return true
	}
}

// keep keeps a worker free of other new work for an isolated task.
func (e *Engine) keep(w *worker, t *task) {
	if w.keptFor == nil {
		e.keptWorkers++
	}
	w.keptFor = t
}

// vacantFor reports whether a worker has no other work than a step's gang, and services past their
// probation. The step may be nil.
func (w *worker) vacantFor(now time.Time, s *step) bool {
	for _, r := range w.runs {
		if !r.staysBeside(now, s) {
			return false
		}
	}
	return true
}

// staysBeside reports whether an isolated task of a step may run beside the run.
func (r *run) staysBeside(now time.Time, s *step) bool {
	if r.owner == nil {
		return false
	}
	return s != nil && s.Gang && r.owner.step == s || r.owner.step.Service && now.Sub(r.startSentAt) > serviceProbation
}

// keepWorkerFor keeps the worker for an isolated task that will be vacant first.
func (e *Engine) keepWorkerFor(p *pass, t *task) {
	s := t.step
	if !e.mayIsolate(p) || slices.ContainsFunc(e.sortedWorkers, func(w *worker) bool { return w.keptFor == t }) {
		return
	}
	var best *worker
	var bestIn time.Duration
	for _, w := range p.open {
		if w.keptFor != nil || p.dedicated[w] != nil || !s.mayRunOn(w) || s.job.Queue.Advice != nil && !s.advice.permitted.has(w) {
			continue
		}
		in, possible := e.vacantIn(p.now, w, s)
		if possible && (best == nil || in < bestIn) {
			best, bestIn = w, in
		}
	}
	if best == nil {
		return
	}
	e.log("worker kept for a task that may crash workers", "task", t.id, "worker", best.ID, "vacant-in", bestIn)
	e.keep(best, t)
}

// vacantIn predicts when a worker is vacant for a step, and reports whether it will be and the step's
// tasks fit there then.
func (e *Engine) vacantIn(now time.Time, w *worker, s *step) (in time.Duration, possible bool) {
	free := w.free()
	for _, r := range w.runs {
		switch {
		case r.staysBeside(now, s):
		case r.owner == nil || r.owner.step.Service:
			return 0, false
		default:
			free = ledger.Sum(free, r.demand)
			in = max(in, r.remaining(now, e.predict(r.owner.step)))
		}
	}
	return in, ledger.FitCount(s.demand(), free, 1) > 0
}
