package learn

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxWeight is the number of observations after which older ones fade. It leaves 20
	// observations beyond the 0.99 quantile.
	maxWeight = 2000
	// halfLife is the time in which the weight of what is known halves even if nothing new is
	// observed.
	halfLife = 10 * time.Minute
	// maxDuration bounds the durations and estimates that are taken for real.
	maxDuration = 30 * 24 * time.Hour
	// maxStepBack is how much earlier than the one before an observation may be: several goroutines
	// read the time before they observe. maxGap is how much later. Beyond these the clock may
	// have jumped during the run, so its duration is not known.
	maxStepBack = time.Second
	maxGap      = time.Hour
)

// Bounds on what is kept. A queue takes about 50 KB with all of its organizations, the model at most
// 7 MB.
const (
	maxQueues        = 128
	maxOrganizations = 96
	maxKinds         = 8
	maxSteps         = 8
	maxNameBytes     = 128
)

const (
	// ownPriorWeight is the weight of an organization's own observations at which the coarser
	// level counts as much. Tasks of a step are alike, so that it is that of several jobs.
	ownPriorWeight = 20
	// effectPriorWeight is the weight of no effect beside the observations of an effect.
	effectPriorWeight = 5
	// maxEffectWeight is the number of observations that an effect is averaged over.
	maxEffectWeight = 400
	// maxEffectStep bounds what a single observation says about an effect: a factor of 4.5. Effects are
	// observed once the mean residual rests on minLineWeight observations.
	maxEffectStep = 1.5
	// estimateSpread is the standard deviation of the logarithm of durations around estimates of
	// which nothing else is known.
	estimateSpread = 0.4
)

// Key is what is known of a task before it runs. An empty WorkerKind means that the worker is not
// known yet.
type Key struct {
	Queue, Organization string
	Step                int
	WorkerKind          string
}

// Counts holds the number of observations by what became of them. All counts only grow.
type Counts struct {
	// Ended and Censored were used.
	Ended, Censored int64
	// OutOfRange were dropped for an impossible duration, estimate or name, ClockJumps because the
	// clock had jumped.
	OutOfRange, ClockJumps int64
}

// Model is what was learned about all queues. The zero value knows nothing.
type Model struct {
	queues map[string]*queue
	// latest is the time of the last observation, and elapsed the time that has passed so far, less
	// gaps and steps of the clock.
	latest  time.Time
	elapsed time.Duration
	counts  Counts
}

// queue is what was learned about one queue.
type queue struct {
	organizations map[string]*organization
	// kinds are the known kinds of workers, by the index of their effects.
	kinds    []string
	revision int64
	usedAt   time.Duration
	shared   shared
	// sharedAt is the revision at which shared was computed.
	sharedAt int64
}

// organization is what was learned about an organization in a queue.
type organization struct {
	line      Line
	histogram histogram
	// center is the mean residual, from which effects are measured.
	center float64
	kinds  [maxKinds]effect
	steps  [maxSteps]effect
	// fadedAt is the elapsed time up to which the histogram has faded.
	fadedAt time.Duration
	// residuals are the quantiles of the histogram unless stale is set.
	residuals curve
	stale     bool
}

// effect is the mean difference that a kind of worker or a step makes.
type effect struct{ weight, mean float32 }

func (e *effect) observe(difference float64) {
	e.weight = min(e.weight+1, maxEffectWeight)
	e.mean += float32(min(max(difference, -maxEffectStep), maxEffectStep)) / (e.weight + effectPriorWeight)
}

// Counts returns the counts so far.
func (m *Model) Counts() Counts { return m.counts }

// Observe adds a run at the time now. Ended means that it was done after the given duration;
// otherwise it ran at least that long. An estimate of 0 means that there is none.
func (m *Model) Observe(now time.Time, k Key, estimate, duration time.Duration, ended bool) {
	m.observe(now, k, estimate, 0, duration, ended)
}

// Extend replaces an earlier observation of a run that had not ended by a later one of the same run.
func (m *Model) Extend(now time.Time, k Key, estimate, before, duration time.Duration, ended bool) {
	m.observe(now, k, estimate, before, duration, ended)
}

func (m *Model) observe(now time.Time, k Key, estimate, before, duration time.Duration, ended bool) {
	if !m.advance(now) {
		m.counts.ClockJumps++
		return
	}
	if duration <= 0 || duration > maxDuration || estimate < 0 || estimate > maxDuration || before < 0 || before > duration || !k.valid() {
		m.counts.OutOfRange++
		return
	}
	q := m.queue(k.Queue)
	q.revision++
	q.usedAt = m.elapsed
	o := q.organization(k.Organization, m.elapsed)
	o.stale = true
	o.fade(m.elapsed)
	kind, step := q.kindIndex(k.WorkerKind), stepIndex(k.Step)
	x, y := logOf(estimate), logOf(duration)
	known := estimate > 0
	if before > 0 {
		o.histogram.removeAbove(o.residual(x, known, logOf(before), kind, step))
	}
	if !ended {
		m.counts.Censored++
		o.histogram.addAbove(o.residual(x, known, y, kind, step))
		return
	}
	m.counts.Ended++
	if known {
		o.line.Observe(x, y, maxWeight)
	}
	r := o.residual(x, known, y, kind, step)
	o.histogram.add(r)
	difference := r - o.center
	weight := o.histogram.weight()
	if weight <= minLineWeight {
		o.center += difference / max(weight, 1)
		return
	}
	o.center += min(max(difference, -maxEffectStep), maxEffectStep) / min(weight, maxEffectWeight)
	if kind >= 0 {
		o.kinds[kind].observe(difference)
	}
	if step >= 0 {
		o.steps[step].observe(difference)
	}
}

func (k *Key) valid() bool {
	return len(k.Queue) <= maxNameBytes && len(k.Organization) <= maxNameBytes && len(k.WorkerKind) <= maxNameBytes && k.Step >= 0
}

// logOf returns the logarithm of a duration in seconds, or 0 for none.
func logOf(d time.Duration) float64 {
	if d <= 0 {
		return 0
	}
	return math.Log(d.Seconds())
}

// advance moves the time on. It reports false if the clock has jumped since the last observation.
func (m *Model) advance(now time.Time) bool {
	if m.latest.IsZero() {
		m.latest = now
		return true
	}
	passed := now.Sub(m.latest)
	switch {
	case passed < -maxStepBack || passed > maxGap:
		m.latest = now
		m.elapsed += min(max(passed, 0), halfLife)
		return false
	case passed > 0:
		m.latest = now
		m.elapsed += passed
	}
	return true
}

// queue returns what is known of a queue, which may be new. The queue that was unused for longest
// makes room.
func (m *Model) queue(name string) *queue {
	if q := m.queues[name]; q != nil {
		return q
	}
	if m.queues == nil {
		m.queues = make(map[string]*queue)
	}
	if len(m.queues) >= maxQueues {
		var oldest string
		for other, q := range m.queues {
			if oldest == "" || cmp.Or(cmp.Compare(q.usedAt, m.queues[oldest].usedAt), cmp.Compare(other, oldest)) < 0 {
				oldest = other
			}
		}
		delete(m.queues, oldest)
	}
	q := &queue{organizations: make(map[string]*organization)}
	m.queues[name] = q
	return q
}

// organization returns what is known of an organization, which may be new. The one of which the
// least is known makes room.
func (q *queue) organization(name string, elapsed time.Duration) *organization {
	if o := q.organizations[name]; o != nil {
		return o
	}
	if len(q.organizations) >= maxOrganizations {
		least, weight := "", 0.0
		for other, o := range q.organizations {
			w := o.weight(elapsed)
			if least == "" || cmp.Or(cmp.Compare(w, weight), cmp.Compare(other, least)) < 0 {
				least, weight = other, w
			}
		}
		delete(q.organizations, least)
	}
	o := &organization{fadedAt: elapsed}
	q.organizations[name] = o
	return o
}

// kindIndex returns the index of a kind of worker, or -1 if it is empty or there are too many.
func (q *queue) kindIndex(kind string) int {
	if kind == "" {
		return -1
	}
	if i := slices.Index(q.kinds, kind); i >= 0 || len(q.kinds) >= maxKinds {
		return i
	}
	q.kinds = append(q.kinds, kind)
	return len(q.kinds) - 1
}

// stepIndex returns the index of a step. Steps beyond the last one that is told apart have no effect
// of their own.
func stepIndex(step int) int {
	if step < 0 || step >= maxSteps {
		return -1
	}
	return step
}

// fade lets what is known fade by the time that has passed, and by one observation if there are many.
func (o *organization) fade(elapsed time.Duration) {
	factor := 1.0
	if passed := elapsed - o.fadedAt; passed > 0 {
		factor = math.Exp2(-float64(passed) / float64(halfLife))
		o.fadedAt = elapsed
		o.line.weight *= factor
	}
	if o.histogram.weight() >= maxWeight {
		factor *= 1 - 1.0/maxWeight
	}
	o.histogram.fade(factor)
}

// weight returns the number of recent observations at a time.
func (o *organization) weight(elapsed time.Duration) float64 {
	return o.histogram.weight() * math.Exp2(-float64(max(0, elapsed-o.fadedAt))/float64(halfLife))
}

// residual returns what the line and the effects leave of the logarithm of a duration.
func (o *organization) residual(x float64, known bool, y float64, kind, step int) float64 {
	r := y - o.line.at(x, known)
	if kind >= 0 {
		r -= float64(o.kinds[kind].mean)
	}
	if step >= 0 {
		r -= float64(o.steps[step].mean)
	}
	return r
}

// Predict returns the distribution of a task's duration. An estimate of 0 means that there is none.
func (m *Model) Predict(k Key, estimate time.Duration) Prediction {
	known := estimate > 0
	x := logOf(min(estimate, maxDuration))
	p := Prediction{known: known, logs: normalQuantiles}
	for i := range p.logs {
		p.logs[i] = x + estimateSpread*normalQuantiles[i]
	}
	q := m.queues[k.Queue]
	if q == nil {
		return p
	}
	kind, step := slices.Index(q.kinds, k.WorkerKind), stepIndex(k.Step)
	s := q.sharedLevel(m.elapsed)
	if s.voters >= minVoters {
		p.Level, p.known = LevelQueue, true
		offset := s.meanX + s.effects(kind, step)
		if known {
			offset += s.slope * (x - s.meanX)
		}
		for i := range p.logs {
			p.logs[i] = offset + s.residuals[i]
		}
	}
	o := q.organizations[k.Organization]
	if o == nil {
		return p
	}
	p.Weight = o.weight(m.elapsed)
	// The square leaves next to nothing of an estimate that is far off once much is known.
	share := p.Weight * p.Weight / (p.Weight*p.Weight + ownPriorWeight*ownPriorWeight)
	if share > 0.5 {
		p.Level = LevelOrganization
	}
	if !p.known {
		share, p.known = 1, p.Weight > 0
	}
	offset := o.line.meanX + o.effects(s, kind, step)
	if known {
		slope := o.line.slope()
		if o.line.weight < minLineWeight && s.voters >= minVoters {
			slope = s.slope
		}
		offset += slope * (x - o.line.meanX)
	}
	residuals := o.quantiles()
	for i := range p.logs {
		p.logs[i] += share * (offset + residuals[i] - p.logs[i])
	}
	return p
}

// quantiles returns the quantiles of the residuals.
func (o *organization) quantiles() *curve {
	if o.stale {
		o.residuals, o.stale = o.histogram.quantiles(), false
	}
	return &o.residuals
}

// effects returns the sum of the effects of a kind of worker and a step.
func (s *shared) effects(kind, step int) float64 {
	sum := 0.0
	if kind >= 0 {
		sum += s.kinds[kind]
	}
	if step >= 0 {
		sum += s.steps[step]
	}
	return sum
}

// effects returns the sum of the organization's effects, each drawn toward the shared one while
// little is known of it.
func (o *organization) effects(s *shared, kind, step int) float64 {
	sum := 0.0
	if kind >= 0 {
		sum += o.kinds[kind].blend(s.kinds[kind])
	}
	if step >= 0 {
		sum += o.steps[step].blend(s.steps[step])
	}
	return sum
}

func (e effect) blend(shared float64) float64 {
	share := float64(e.weight / (e.weight + effectPriorWeight))
	return float64(e.mean) + (1-share)*shared
}
