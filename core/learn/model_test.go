package learn

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1_800_000_000, 0)

// load draws runs of tasks whose estimates and durations are log-normal.
type load struct {
	Key
	rand *rand.Rand
	now  time.Time
	// work is the median duration, spread the standard deviation of its logarithm, and noise that of
	// the estimates' error. factor multiplies durations but not estimates.
	work, spread, noise, factor float64
	// tailShare of the runs take tailFactor times as long, which the estimates do not tell.
	tailShare, tailFactor float64
	interval              time.Duration
}

func newLoad(k Key) *load {
	return &load{Key: k, rand: rand.New(rand.NewPCG(7, 11)), now: testStart, work: 1, spread: 0.5, noise: 0.2, factor: 1, interval: 20 * time.Millisecond}
}

func (l *load) draw() (estimate, duration time.Duration) {
	work := l.work * math.Exp(l.spread*l.rand.NormFloat64())
	estimate = fromLog(math.Log(work * math.Exp(l.noise*l.rand.NormFloat64())))
	if l.rand.Float64() < l.tailShare {
		work *= l.tailFactor
	}
	return estimate, fromLog(math.Log(work * l.factor))
}

func (l *load) observe(m *Model, runs int) {
	for range runs {
		estimate, duration := l.draw()
		l.now = l.now.Add(l.interval)
		m.Observe(l.now, l.Key, estimate, duration, true)
	}
}

// coverage returns the share of new runs that stay within a predicted quantile.
func (l *load) coverage(m *Model, probability float64) float64 {
	const runs = 4000
	within := 0
	for range runs {
		estimate, duration := l.draw()
		p := m.Predict(l.Key, estimate)
		if duration <= p.Quantile(probability) {
			within++
		}
	}
	return float64(within) / runs
}

func median(m *Model, k Key, estimate time.Duration) float64 {
	p := m.Predict(k, estimate)
	return p.Median().Seconds()
}

func wantNear(t *testing.T, what string, got, want, tolerance float64) {
	t.Helper()
	if !(math.Abs(math.Log(got/want)) <= math.Log(1+tolerance)) {
		t.Errorf("%s: got %.3f, want %.3f within %.0f%%", what, got, want, 100*tolerance)
	}
}

func ExampleModel() {
	var m Model
	k := Key{Queue: "batch", Organization: "a", WorkerKind: "large"}
	for i := range 500 {
		m.Observe(testStart.Add(time.Duration(i)*time.Second), k, 10*time.Second, 20*time.Second, true)
	}
	p := m.Predict(k, 10*time.Second)
	fmt.Println(p.Level, p.Median().Round(time.Second))
	// Output: organization 20s
}

// TestConvergence guards against quantiles that do not hold what they promise, for loads like those of
// the two cells.
func TestConvergence(t *testing.T) {
	cases := map[string]func(*load){
		"good estimates":         func(*load) {},
		"poor estimates":         func(l *load) { l.noise = 0.9 },
		"estimates off by 40":    func(l *load) { l.factor = 40 },
		"estimates off by 1/40":  func(l *load) { l.factor = 1.0 / 40 },
		"tail of 3% by 7":        func(l *load) { l.tailShare, l.tailFactor = 0.03, 7 },
		"estimates say nothing":  func(l *load) { l.noise, l.spread = 2, 0.2 },
		"durations of some 50 s": func(l *load) { l.work = 50 },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			var m Model
			l := newLoad(Key{Queue: "q", WorkerKind: "k"})
			change(l)
			l.observe(&m, 3000)
			for _, p := range []float64{0.1, 0.25, 0.5, 0.75, 0.9, 0.95} {
				if got := l.coverage(&m, p); math.Abs(got-p) > 0.05 {
					t.Errorf("%.3f of the runs are within the %.2f quantile", got, p)
				}
			}
		})
	}
}

// TestPoorEstimatesAreDrawnToTheirMean guards against predictions that follow estimates which say
// little.
func TestPoorEstimatesAreDrawnToTheirMean(t *testing.T) {
	var m Model
	l := newLoad(Key{Queue: "q"})
	l.noise = 0.9
	l.observe(&m, 3000)
	if got := median(&m, l.Key, 5*time.Second); got > 2 {
		t.Errorf("an estimate of 5 s in a queue of tasks of about 1 s gives %.2f s", got)
	}
}

// TestTail guards against a median that a few long tasks move, and against an upper quantile that
// leaves them out.
func TestTail(t *testing.T) {
	var m Model
	l := newLoad(Key{Queue: "q"})
	l.tailShare, l.tailFactor = 0.03, 7
	l.observe(&m, 4000)
	p := m.Predict(l.Key, time.Second)
	wantNear(t, "median", p.Median().Seconds(), 1, 0.1)
	if q := p.Quantile(0.99).Seconds(); q < 4 {
		t.Errorf("0.99 quantile %.2f s, want at least 4", q)
	}
	if q := p.Quantile(0.9).Seconds(); q > 1.6 {
		t.Errorf("0.9 quantile %.2f s, want at most 1.6", q)
	}
	if rest := p.Remaining(4 * time.Second); rest < time.Second {
		t.Errorf("a task of the tail has %s left after 4 s, want a second or more", rest)
	}
}

// TestFading guards against knowledge that never changes: durations that triple must be learned
// within the observations that are kept, and what is old must not outweigh a few new runs.
func TestFading(t *testing.T) {
	t.Run("many observations", func(t *testing.T) {
		var m Model
		l := newLoad(Key{Queue: "q"})
		l.observe(&m, 20_000)
		l.factor = 3
		l.observe(&m, maxWeight)
		wantNear(t, "median", median(&m, l.Key, time.Second), 3, 0.25)
	})
	t.Run("long ago", func(t *testing.T) {
		var m Model
		l := newLoad(Key{Queue: "q"})
		l.observe(&m, 200)
		l.factor, l.now = 3, l.now.Add(50*time.Minute)
		l.observe(&m, 60)
		wantNear(t, "median", median(&m, l.Key, time.Second), 3, 0.25)
	})
}

// TestCensoring guards against predictions from the short runs only: every run is stopped after 2 s,
// or is still going on at that age.
func TestCensoring(t *testing.T) {
	observe := func(m *Model, l *load, censored bool) {
		for range 3000 {
			estimate, duration := l.draw()
			l.now = l.now.Add(l.interval)
			if duration <= 2*time.Second {
				m.Observe(l.now, l.Key, estimate, duration, true)
			} else if censored {
				m.Observe(l.now, l.Key, estimate, 2*time.Second, false)
			}
		}
	}
	l := newLoad(Key{Queue: "q"})
	l.work, l.spread, l.noise = 1.8, 0.5, 2
	var with, without Model
	observe(&with, l, true)
	observe(&without, l, false)
	k := l.Key
	p, q := with.Predict(k, 1800*time.Millisecond), without.Predict(k, 1800*time.Millisecond)
	wantNear(t, "median with lower bounds", p.Median().Seconds(), 1.8, 0.1)
	// The logarithm of 2 s is 0.21 standard deviations above that of the median.
	if got, none := p.Exceeds(2*time.Second), q.Exceeds(2*time.Second); math.Abs(got-0.417) > 0.08 || none > 0.15 {
		t.Errorf("%.2f of the runs exceed 2 s, want 0.42; %.2f without lower bounds", got, none)
	}
}

// TestExtend guards against counting a run twice that was observed while it ran: the result must be
// about that of its end alone.
func TestExtend(t *testing.T) {
	l := newLoad(Key{Queue: "q"})
	l.tailShare, l.tailFactor = 0.05, 7
	var whole, parts Model
	for range 4000 {
		estimate, duration := l.draw()
		l.now = l.now.Add(l.interval)
		whole.Observe(l.now, l.Key, estimate, duration, true)
		if duration < 2*estimate {
			parts.Observe(l.now, l.Key, estimate, duration, true)
			continue
		}
		parts.Observe(l.now, l.Key, estimate, duration/2, false)
		parts.Extend(l.now, l.Key, estimate, duration/2, duration*3/4, false)
		parts.Extend(l.now, l.Key, estimate, duration*3/4, duration, true)
	}
	p, q := whole.Predict(l.Key, time.Second), parts.Predict(l.Key, time.Second)
	for _, probability := range []float64{0.5, 0.75, 0.9, 0.98} {
		wantNear(t, fmt.Sprintf("%.2f quantile", probability), q.Quantile(probability).Seconds(), p.Quantile(probability).Seconds(), 0.15)
	}
}

// TestLevels guards against ignoring what is known of an organization, a step or a kind of worker, and
// against treating what is not known as zero.
func TestLevels(t *testing.T) {
	var m Model
	for n := range 800 {
		now := testStart.Add(time.Duration(n) * 50 * time.Millisecond)
		for i, name := range []string{"a", "b", "c", "d", "slow"} {
			factor := 2.0
			if name == "slow" {
				factor = 6
			}
			k := Key{Queue: "q", Organization: name, Step: (n + i) % 2, WorkerKind: []string{"quick", "plain"}[(n/2+i)%2]}
			if k.WorkerKind == "quick" {
				factor *= 0.8
			}
			if k.Step == 1 {
				factor *= 1.5
			}
			m.Observe(now, k, time.Second, fromLog(math.Log(factor)), true)
		}
	}
	cases := map[string]struct {
		key   Key
		want  float64
		level Level
	}{
		"organization":            {Key{"q", "slow", 0, "plain"}, 6, LevelOrganization},
		"quick worker":            {Key{"q", "slow", 0, "quick"}, 4.8, LevelOrganization},
		"later step":              {Key{"q", "slow", 1, "plain"}, 9, LevelOrganization},
		"new organization":        {Key{"q", "new", 0, "plain"}, 2, LevelQueue},
		"new, quick worker":       {Key{"q", "new", 0, "quick"}, 1.6, LevelQueue},
		"new kind of worker":      {Key{"q", "a", 0, "other"}, 2 * math.Sqrt(0.8), LevelOrganization},
		"another queue":           {Key{"other", "a", 0, "plain"}, 1, LevelEstimate},
		"worker not known so far": {Key{"q", "a", 1, ""}, 3 * math.Sqrt(0.8), LevelOrganization},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := m.Predict(c.key, time.Second)
			wantNear(t, "median", p.Median().Seconds(), c.want, 0.12)
			if p.Level != c.level {
				t.Errorf("level %s, want %s", p.Level, c.level)
			}
		})
	}
}

// TestOneOrganizationSpoilsNothing guards against an organization whose tasks are so many or so extreme
// that the predictions for the others change.
func TestOneOrganizationSpoilsNothing(t *testing.T) {
	cases := map[string]struct {
		factor float64
		others []string
		want   float64
	}{
		"hours instead of seconds": {1e4, []string{"a", "b", "c", "d"}, 2},
		"almost nothing":           {1e-4, []string{"a", "b", "c", "d"}, 2},
		"only one other":           {1e4, []string{"a"}, 1},
		"nobody else":              {1e4, nil, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var m Model
			for n := range 20_000 {
				now := testStart.Add(time.Duration(n) * 10 * time.Millisecond)
				m.Observe(now, Key{Queue: "q", Organization: "bad", WorkerKind: "k"}, time.Second, fromLog(math.Log(c.factor)), true)
				for _, name := range c.others {
					if n%20 == 0 {
						m.Observe(now, Key{Queue: "q", Organization: name, WorkerKind: "k"}, time.Second, 2*time.Second, true)
					}
				}
			}
			for _, name := range c.others {
				wantNear(t, name, median(&m, Key{Queue: "q", Organization: name, WorkerKind: "k"}, time.Second), 2, 0.1)
			}
			wantNear(t, "new organization", median(&m, Key{Queue: "q", Organization: "new", WorkerKind: "k"}, time.Second), c.want, 0.1)
		})
	}
}

// TestPoisonedInput guards against values and clocks that would make predictions useless: they are
// dropped and counted.
func TestPoisonedInput(t *testing.T) {
	k := Key{Queue: "q", Organization: "o"}
	long := string(make([]byte, maxNameBytes+1))
	cases := map[string]struct {
		key                Key
		estimate, duration time.Duration
		now                time.Duration
		want               Counts
	}{
		"negative duration": {k, time.Second, -1, 0, Counts{OutOfRange: 1}},
		"no duration":       {k, time.Second, 0, 0, Counts{OutOfRange: 1}},
		"longest duration":  {k, time.Second, math.MaxInt64, 0, Counts{OutOfRange: 1}},
		"negative estimate": {k, math.MinInt64, time.Second, 0, Counts{OutOfRange: 1}},
		"longest estimate":  {k, math.MaxInt64, time.Second, 0, Counts{OutOfRange: 1}},
		"long name":         {Key{Queue: "q", Organization: long}, time.Second, time.Second, 0, Counts{OutOfRange: 1}},
		"negative step":     {Key{Queue: "q", Step: -1}, time.Second, time.Second, 0, Counts{OutOfRange: 1}},
		"clock set back":    {k, time.Second, time.Second, -time.Minute, Counts{ClockJumps: 1}},
		"clock set forward": {k, time.Second, time.Second, 365 * 24 * time.Hour, Counts{ClockJumps: 1}},
		"sound":             {k, time.Second, time.Second, 0, Counts{Ended: 1}},
		"without estimate":  {k, 0, time.Second, 0, Counts{Ended: 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var m Model
			for range 1000 {
				m.Observe(testStart, k, time.Second, 2*time.Second, true)
			}
			before := m.Counts()
			m.Observe(testStart.Add(c.now), c.key, c.estimate, c.duration, true)
			got := m.Counts()
			got.Ended -= before.Ended
			if got != c.want {
				t.Errorf("counts %+v, want %+v", got, c.want)
			}
			wantNear(t, "median", median(&m, k, time.Second), 2, 0.1)
		})
	}
}

// TestPredictionsAreSane checks for any input that quantiles are positive, bounded and in order, also
// after a round trip through the store.
func TestPredictionsAreSane(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Model
		now := testStart
		durations := rapid.OneOf(rapid.Int64(), rapid.Int64Range(1, int64(time.Hour)))
		keys := rapid.Custom(func(t *rapid.T) Key {
			return Key{
				Queue: rapid.SampledFrom([]string{"q", "r"}).Draw(t, "queue"), Organization: rapid.SampledFrom([]string{"", "a", "b", "c", "d"}).Draw(t, "organization"),
				Step: rapid.IntRange(-1, 10).Draw(t, "step"), WorkerKind: rapid.SampledFrom([]string{"", "k", "l"}).Draw(t, "kind"),
			}
		})
		for range rapid.IntRange(0, 200).Draw(t, "observations") {
			now = now.Add(time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Hour)).Draw(t, "passed")))
			estimate, before, duration := durations.Draw(t, "estimate"), durations.Draw(t, "before"), durations.Draw(t, "duration")
			m.Extend(now, keys.Draw(t, "key"), time.Duration(estimate), time.Duration(before), time.Duration(duration), rapid.Bool().Draw(t, "ended"))
		}
		data, err := m.Encode("q", 65_536)
		if err != nil {
			t.Fatal(err)
		}
		if data != nil {
			if err := m.Decode("q", data); err != nil {
				t.Fatal(err)
			}
		}
		k, estimate := keys.Draw(t, "predicted"), time.Duration(durations.Draw(t, "estimate"))
		p := m.Predict(k, estimate)
		previous := time.Duration(0)
		for _, probability := range probabilities {
			q := p.Quantile(probability)
			if q < previous || q > maxDuration || p.Known() && q <= 0 {
				t.Fatalf("%.2f quantile %s after %s", probability, q, previous)
			}
			previous = q
		}
		if rest := p.Remaining(time.Duration(durations.Draw(t, "age"))); rest < 0 {
			t.Fatalf("remaining %s", rest)
		}
	})
}

// filledModel returns a model with as much about a queue as it keeps, and more that it drops.
func filledModel() *Model {
	m := new(Model)
	r := rand.New(rand.NewPCG(1, 2))
	for n := range 200_000 {
		k := Key{
			Queue: "q", Organization: fmt.Sprintf("organization-with-a-long-name-%048d", r.IntN(2*maxOrganizations)),
			Step: r.IntN(2 * maxSteps), WorkerKind: fmt.Sprintf("kind-%d", r.IntN(2*maxKinds)),
		}
		m.Observe(testStart.Add(time.Duration(n)*time.Millisecond), k, time.Second, fromLog(12*r.Float64()-6), true)
	}
	return m
}

// TestBounds guards against a model that grows without limit, in memory or in the store.
func TestBounds(t *testing.T) {
	m := filledModel()
	q := m.queues["q"]
	if len(q.organizations) > maxOrganizations || len(q.kinds) > maxKinds {
		t.Errorf("%d organizations and %d kinds are kept", len(q.organizations), len(q.kinds))
	}
	if size := maxOrganizations * reflect.TypeFor[organization]().Size(); size > 65_536 {
		t.Errorf("a queue takes %d bytes", size)
	}
	for _, limit := range []int{65_536, 20_000, 1000} {
		data, err := m.Encode("q", limit)
		if err != nil || len(data) > limit {
			t.Fatalf("%d bytes for a limit of %d: %v", len(data), limit, err)
		}
		t.Logf("%d bytes for a limit of %d", len(data), limit)
		var restored Model
		if err := restored.Decode("q", data); err != nil {
			t.Fatal(err)
		}
	}
	for n := range 2 * maxQueues {
		m.Observe(testStart.Add(time.Hour), Key{Queue: fmt.Sprintf("other-%d", n)}, time.Second, time.Second, true)
	}
	if len(m.queues) > maxQueues {
		t.Errorf("%d queues are kept", len(m.queues))
	}
}

// TestEncodeKeepsPredictions guards against a takeover that changes predictions.
func TestEncodeKeepsPredictions(t *testing.T) {
	var m Model
	loads := make([]*load, 5)
	for i := range loads {
		loads[i] = newLoad(Key{Queue: "q", Organization: fmt.Sprint(i), Step: i % 2, WorkerKind: fmt.Sprint("kind", i%3)})
		loads[i].factor = float64(i + 1)
		loads[i].observe(&m, 500)
	}
	data, err := m.Encode("q", 65_536)
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]int{"nothing known": 0, "some runs observed before": 60}
	for name, runs := range cases {
		t.Run(name, func(t *testing.T) {
			var next Model
			for _, l := range loads {
				l.now = testStart
				l.observe(&next, runs)
			}
			if err := next.Decode("q", data); err != nil {
				t.Fatal(err)
			}
			for _, l := range append(loads, &load{Key: Key{Queue: "q", Organization: "new"}}) {
				p, q := m.Predict(l.Key, time.Second), next.Predict(l.Key, time.Second)
				for _, probability := range []float64{0.1, 0.5, 0.9} {
					wantNear(t, fmt.Sprintf("%.1f quantile of %q", probability, l.Organization), q.Quantile(probability).Seconds(), p.Quantile(probability).Seconds(), 0.15)
				}
			}
		})
	}
}

// TestDecodeRejectsUnsoundRows guards against stored values that would spoil predictions: the row is
// refused as a whole.
func TestDecodeRejectsUnsoundRows(t *testing.T) {
	encode := func(change func(*encodedQueue, *encodedOrganization)) []byte {
		o := encodedOrganization{Name: "o", Line: [5]float32{100, 0, 0, 1, 1}, First: 30, Weights: []float32{50, 50}, Kinds: []float32{10, 0.1}}
		q := encodedQueue{Version: codecVersion, Kinds: []string{"k"}}
		change(&q, &o)
		raw, err := encMode.Marshal(o)
		if err != nil {
			t.Fatal(err)
		}
		q.Organizations = append(q.Organizations, raw)
		data, err := encMode.Marshal(q)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	cases := map[string]struct {
		data  []byte
		valid bool
	}{
		"sound":             {encode(func(*encodedQueue, *encodedOrganization) {}), true},
		"empty":             {nil, false},
		"not CBOR":          {[]byte("{}"), false},
		"another version":   {encode(func(q *encodedQueue, _ *encodedOrganization) { q.Version = 2 }), false},
		"weight not finite": {encode(func(_ *encodedQueue, o *encodedOrganization) { o.Weights[0] = inf }), false},
		"weight NaN":        {encode(func(_ *encodedQueue, o *encodedOrganization) { o.Weights[0] = nan }), false},
		"negative weight":   {encode(func(_ *encodedQueue, o *encodedOrganization) { o.Weights[0] = -1 }), false},
		"huge weight":       {encode(func(_ *encodedQueue, o *encodedOrganization) { o.Weights[0] = 1e30 }), false},
		"line NaN":          {encode(func(_ *encodedQueue, o *encodedOrganization) { o.Line[1] = nan }), false},
		"negative variance": {encode(func(_ *encodedQueue, o *encodedOrganization) { o.Line[3] = -1 }), false},
		"center NaN":        {encode(func(_ *encodedQueue, o *encodedOrganization) { o.Center = nan }), false},
		"bins beyond":       {encode(func(_ *encodedQueue, o *encodedOrganization) { o.First = bins - 1 }), false},
		"negative bin":      {encode(func(_ *encodedQueue, o *encodedOrganization) { o.First = -1 }), false},
		"effect NaN":        {encode(func(_ *encodedQueue, o *encodedOrganization) { o.Kinds[1] = nan }), false},
		"half an effect":    {encode(func(_ *encodedQueue, o *encodedOrganization) { o.Kinds = o.Kinds[:1] }), false},
		"too many kinds":    {encode(func(q *encodedQueue, _ *encodedOrganization) { q.Kinds = make([]string, maxKinds+1) }), false},
		"organization cut":  {encode(func(q *encodedQueue, _ *encodedOrganization) { q.Organizations = []cbor.RawMessage{{0xf6}} }), true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var m Model
			err := m.Decode("q", c.data)
			if (err == nil) != c.valid || err != nil && !errors.Is(err, ErrInvalid) {
				t.Errorf("error %v, want valid: %v", err, c.valid)
			}
			if err != nil && len(m.Queues()) > 0 {
				t.Error("something of the row was added")
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	data, err := filledModel().Encode("q", 2000)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		var m Model
		if m.Decode("q", data) != nil {
			return
		}
		p := m.Predict(Key{Queue: "q"}, time.Second)
		if q := p.Quantile(0.9); q <= 0 || q > maxDuration {
			t.Errorf("0.9 quantile %s", q)
		}
	})
}

// BenchmarkObserve measures the end of a run in a queue with many organizations. The bound is 1 µs.
func BenchmarkObserve(b *testing.B) {
	for name, ended := range map[string]bool{"ended": true, "censored": false} {
		b.Run(name, func(b *testing.B) {
			m := filledModel()
			names := make([]string, 0, maxOrganizations)
			for n := range m.queues["q"].organizations {
				names = append(names, n)
			}
			now, i := testStart.Add(time.Hour), 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				now = now.Add(time.Millisecond)
				m.Observe(now, Key{Queue: "q", Organization: names[i%len(names)], Step: i % 3, WorkerKind: "kind-1"}, time.Second, time.Duration(1+i%7)*time.Second, ended)
			}
		})
	}
}

// BenchmarkPredict measures predictions between observations.
func BenchmarkPredict(b *testing.B) {
	m := filledModel()
	k := Key{Queue: "q", Organization: "new", WorkerKind: "kind-1"}
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		if i++; i%16 == 0 {
			m.Observe(testStart.Add(time.Hour), k, time.Second, time.Second, true)
		}
		p := m.Predict(k, time.Second)
		_ = p.Median()
	}
}
