package admit

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// naiveQueue is the rule of the Queue written down plainly: it looks through
// all waiters for each decision.
type naiveQueue struct {
	waiters []*Waiter[int]
	// tags and served are by "urgency/class" and "urgency/class/caller".
	tags, served map[string]float64
}

func (q *naiveQueue) names(w *Waiter[int]) (level, class, flow string) {
	level = fmt.Sprint(w.Urgent)
	return level, level + "/" + w.Class, level + "/" + w.Class + "/" + w.Caller
}

func (q *naiveQueue) waiting(prefix func(*Waiter[int]) string, name string) bool {
	return slices.ContainsFunc(q.waiters, func(w *Waiter[int]) bool { return prefix(w) == name })
}

func (q *naiveQueue) push(w *Waiter[int]) {
	level, class, flow := q.names(w)
	classOf := func(w *Waiter[int]) string { _, class, _ := q.names(w); return class }
	flowOf := func(w *Waiter[int]) string { _, _, flow := q.names(w); return flow }
	if !q.waiting(classOf, class) {
		q.tags[class] = max(q.tags[class], q.served[level])
	}
	if !q.waiting(flowOf, flow) {
		q.tags[flow] = max(q.tags[flow], q.served[class])
	}
	q.waiters = append(q.waiters, w)
}

func (q *naiveQueue) pop(startBy time.Time, blocked string) (*Waiter[int], int) {
	late := 0
	for {
		var allowed []*Waiter[int]
		for _, w := range q.waiters {
			if w.Caller != blocked {
				allowed = append(allowed, w)
			}
		}
		if len(allowed) == 0 {
			return nil, late
		}
		first := slices.MinFunc(allowed, func(a, b *Waiter[int]) int {
			_, classA, flowA := q.names(a)
			_, classB, flowB := q.names(b)
			urgency := 0
			if a.Urgent != b.Urgent {
				urgency = 1
				if a.Urgent {
					urgency = -1
				}
			}
			return cmp.Or(urgency,
				cmp.Compare(q.tags[classA], q.tags[classB]), cmp.Compare(a.Class, b.Class),
				cmp.Compare(q.tags[flowA], q.tags[flowB]), cmp.Compare(a.Caller, b.Caller),
				a.NotAfter.Compare(b.NotAfter))
		})
		q.waiters = slices.DeleteFunc(q.waiters, func(w *Waiter[int]) bool { return w == first })
		if first.NotAfter.Before(startBy) {
			late++
			continue
		}
		level, class, flow := q.names(first)
		q.served[level], q.served[class] = q.tags[class], q.tags[flow]
		q.tags[class] += 1 / first.Share
		q.tags[flow]++
		return first, late
	}
}

// shares are the shares of the classes in tests.
func shareOf(class string) float64 { return float64(len(class)) }

func drawWaiter(t *rapid.T, serial int) Waiter[int] {
	class := rapid.SampledFrom([]string{"a", "bb", "cccc"}).Draw(t, "class")
	seconds := rapid.IntRange(0, 40).Draw(t, "deadline")
	return Waiter[int]{
		Caller:   rapid.SampledFrom([]string{"p", "q", "r", "s"}).Draw(t, "caller"),
		Class:    class,
		Share:    shareOf(class),
		Urgent:   class == "a",
		NotAfter: time.Unix(int64(seconds), int64(serial)),
		Value:    serial,
	}
}

func TestQueueAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue Queue[int]
		naive := &naiveQueue{tags: make(map[string]float64), served: make(map[string]float64)}
		held := make(map[int]*Waiter[int])
		now := 0
		for serial := range rapid.IntRange(50, 200).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"push", "push", "push", "pop", "pop", "remove"}).Draw(t, "step") {
			case "push":
				w := drawWaiter(t, serial)
				same := w
				queue.Push(&w)
				naive.push(&same)
				held[serial] = &w
			case "pop":
				now += rapid.IntRange(0, 3).Draw(t, "elapsed")
				blocked := rapid.SampledFrom([]string{"", "", "p", "r"}).Draw(t, "blocked")
				got, late := queue.Pop(time.Unix(int64(now), 0), func(caller string) bool { return caller == blocked })
				want, wantLate := naive.pop(time.Unix(int64(now), 0), blocked)
				if (got == nil) != (want == nil) || got != nil && got.Value != want.Value {
					t.Fatalf("popped %+v, the naive version %+v", got, want)
				}
				if len(late) != wantLate {
					t.Fatalf("%d late, the naive version %d", len(late), wantLate)
				}
			case "remove":
				victim := rapid.IntRange(0, serial).Draw(t, "victim")
				if w := held[victim]; w != nil && queue.Remove(w) {
					naive.waiters = slices.DeleteFunc(naive.waiters, func(o *Waiter[int]) bool { return o.Value == victim })
				}
			}
			if queue.Len() != len(naive.waiters) {
				t.Fatalf("%d waiters, the naive version %d", queue.Len(), len(naive.waiters))
			}
		}
	})
}

// TestFloodDelaysOnlyItself checks the promise of the Queue itself: among n
// callers of a class, the k-th waiter of one starts within n*k starts.
func TestFloodDelaysOnlyItself(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue Queue[int]
		callers := rapid.IntRange(2, 6).Draw(t, "callers")
		own := rapid.IntRange(1, 5).Draw(t, "own")
		push := func(caller, deadline int) {
			queue.Push(&Waiter[int]{
				Caller: fmt.Sprint(caller), Class: "c", Share: 1, NotAfter: time.Unix(int64(deadline), 0), Value: caller,
			})
		}
		for caller := 1; caller < callers; caller++ {
			for range rapid.IntRange(1, 100).Draw(t, "flood") {
				push(caller, 1) // urgent deadlines gain a flood nothing
			}
		}
		for range rapid.IntRange(0, 50).Draw(t, "served before") {
			queue.Pop(time.Time{}, nil)
		}
		for range own {
			push(0, 1000)
		}
		done := 0
		for starts := 1; done < own; starts++ {
			w, _ := queue.Pop(time.Time{}, nil)
			if w.Value == 0 {
				done++
				if starts > callers*done {
					t.Fatalf("waiter %d of the quiet caller started as number %d among %d callers", done, starts, callers)
				}
			}
		}
	})
}

// TestAheadIsExact checks the estimate that refusals rest on: no waiters of
// other classes, so the number ahead is what really starts before.
func TestAheadIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue Queue[int]
		for i := range rapid.IntRange(0, 40).Draw(t, "waiters") {
			w := drawWaiter(t, i)
			w.Class, w.Urgent = "bb", false
			queue.Push(&w)
		}
		mine := drawWaiter(t, 1000)
		mine.Class, mine.Urgent = "bb", false
		ahead := queue.EstimateAhead(&mine)
		queue.Push(&mine)
		before := 0
		for w, _ := queue.Pop(time.Time{}, nil); w.Value != 1000; w, _ = queue.Pop(time.Time{}, nil) {
			before++
		}
		// Whose turn it is within a round is not part of the estimate.
		if before > ahead || ahead > before+3 {
			t.Fatalf("%d started before, the estimate was %d", before, ahead)
		}
	})
}

func TestGateAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := CallerLimits{RequestsPerSecond: 4, Burst: rapid.IntRange(1, 5).Draw(t, "burst"), Concurrent: 3}
		gate := NewGate()
		now := time.Unix(1000, 0)
		tokens, inFlight := float64(bounds.Burst), 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			elapsed := time.Duration(rapid.IntRange(0, 8).Draw(t, "eighths")) * 125 * time.Millisecond
			now = now.Add(elapsed)
			tokens = min(float64(bounds.Burst), tokens+elapsed.Seconds()*bounds.RequestsPerSecond)
			if inFlight > 0 && rapid.Bool().Draw(t, "leave") {
				gate.Leave("p")
				inFlight--
				continue
			}
			want := ""
			switch {
			case inFlight >= bounds.Concurrent:
				want = "concurrency-limit"
			case tokens < 1:
				want = "rate-limit"
			default:
				tokens--
				inFlight++
			}
			got := ""
			if refusal := gate.Enter(now, "p", bounds); refusal != nil {
				got = refusal.Reason
				if got == "rate-limit" && gate.Enter(refusal.RetryAt.Add(-time.Millisecond), "p", bounds) == nil {
					t.Fatal("a try before the instant for another one was admitted")
				}
			}
			if got != want {
				t.Fatalf("got %q, the naive version %q", got, want)
			}
		}
	})
}
