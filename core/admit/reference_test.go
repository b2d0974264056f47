package admit

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// referenceQueue is the reference model of Queue: it compares all waiters for each
// decision.
type referenceQueue struct {
	waiters []*Waiter[int]
	// The keys are "URGENT/CLASS" for the tag of a class, "URGENT/CLASS/CALLER" for that
	// of a flow, "URGENT" for the virtual time of a level and "URGENT/CLASS" for that of
	// a class.
	startTags, virtualTimes map[string]float64
}

// names returns the keys of the level, the class and the flow of w.
func (q *referenceQueue) names(w *Waiter[int]) (level, class, flow string) {
	level = fmt.Sprint(w.Urgent)
	return level, level + "/" + w.Class, level + "/" + w.Class + "/" + w.Caller
}

// waiting reports whether there is a waiter for which prefix returns name.
func (q *referenceQueue) waiting(prefix func(*Waiter[int]) string, name string) bool {
	return slices.ContainsFunc(q.waiters, func(w *Waiter[int]) bool { return prefix(w) == name })
}

func (q *referenceQueue) push(w *Waiter[int]) {
	level, class, flow := q.names(w)
	classOf := func(w *Waiter[int]) string { _, class, _ := q.names(w); return class }
	flowOf := func(w *Waiter[int]) string { _, _, flow := q.names(w); return flow }
	if !q.waiting(classOf, class) {
		q.startTags[class] = max(q.startTags[class], q.virtualTimes[level])
	}
	if !q.waiting(flowOf, flow) {
		q.startTags[flow] = max(q.startTags[flow], q.virtualTimes[class])
	}
	q.waiters = append(q.waiters, w)
}

func (q *referenceQueue) pop(earliestEnd time.Time, blocked string) (*Waiter[int], int) {
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
				cmp.Compare(q.startTags[classA], q.startTags[classB]), cmp.Compare(a.Class, b.Class),
				cmp.Compare(q.startTags[flowA], q.startTags[flowB]), cmp.Compare(a.Caller, b.Caller),
				a.NotAfter.Compare(b.NotAfter))
		})
		q.waiters = slices.DeleteFunc(q.waiters, func(w *Waiter[int]) bool { return w == first })
		if first.NotAfter.Before(earliestEnd) {
			late++
			continue
		}
		level, class, flow := q.names(first)
		q.virtualTimes[level], q.virtualTimes[class] = q.startTags[class], q.startTags[flow]
		q.startTags[class] += 1 / first.Share
		q.startTags[flow]++
		return first, late
	}
}

// shareOf returns the share of a class in the tests.
func shareOf(class string) float64 { return float64(len(class)) }

func drawWaiter(t *rapid.T, id int) Waiter[int] {
	class := rapid.SampledFrom([]string{"a", "bb", "cccc"}).Draw(t, "class")
	seconds := rapid.IntRange(0, 40).Draw(t, "deadline")
	return Waiter[int]{
		Caller:   rapid.SampledFrom([]string{"p", "q", "r", "s"}).Draw(t, "caller"),
		Class:    class,
		Share:    shareOf(class),
		Urgent:   class == "a",
		NotAfter: time.Unix(int64(seconds), int64(id)),
		Value:    id,
	}
}

func TestQueueAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue Queue[int]
		reference := &referenceQueue{startTags: make(map[string]float64), virtualTimes: make(map[string]float64)}
		pushed := make(map[int]*Waiter[int])
		now := 0
		for id := range rapid.IntRange(50, 200).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"push", "push", "push", "pop", "pop", "remove"}).Draw(t, "step") {
			case "push":
				w := drawWaiter(t, id)
				same := w
				queue.Push(&w)
				reference.push(&same)
				pushed[id] = &w
			case "pop":
				now += rapid.IntRange(0, 3).Draw(t, "elapsed")
				blocked := rapid.SampledFrom([]string{"", "", "p", "r"}).Draw(t, "blocked")
				got, late := queue.Pop(time.Unix(int64(now), 0), func(caller string) bool { return caller == blocked })
				want, wantLate := reference.pop(time.Unix(int64(now), 0), blocked)
				if (got == nil) != (want == nil) || got != nil && got.Value != want.Value {
					t.Fatalf("popped %+v; the reference model popped %+v", got, want)
				}
				if len(late) != wantLate {
					t.Fatalf("%d late waiters; the reference model has %d", len(late), wantLate)
				}
			case "remove":
				victim := rapid.IntRange(0, id).Draw(t, "victim")
				if w := pushed[victim]; w != nil && queue.Remove(w) {
					reference.waiters = slices.DeleteFunc(reference.waiters, func(o *Waiter[int]) bool { return o.Value == victim })
				}
			}
			if queue.Len() != len(reference.waiters) {
				t.Fatalf("%d waiters; the reference model has %d", queue.Len(), len(reference.waiters))
			}
		}
	})
}

// TestFloodDelaysOnlyItself checks the fairness bound of Queue: among n callers of a
// class, the k-th waiter of a caller is one of the next n*k starts.
func TestFloodDelaysOnlyItself(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue Queue[int]
		callers := rapid.IntRange(2, 6).Draw(t, "callers")
		ownCount := rapid.IntRange(1, 5).Draw(t, "own")
		push := func(caller, deadline int) {
			queue.Push(&Waiter[int]{
				Caller: fmt.Sprint(caller), Class: "c", Share: 1, NotAfter: time.Unix(int64(deadline), 0), Value: caller,
			})
		}
		for caller := 1; caller < callers; caller++ {
			for range rapid.IntRange(1, 100).Draw(t, "flood") {
				push(caller, 1) // earlier deadlines do not help the flooding callers
			}
		}
		for range rapid.IntRange(0, 50).Draw(t, "served before") {
			queue.Pop(time.Time{}, nil)
		}
		for range ownCount {
			push(0, 1000)
		}
		done := 0
		for starts := 1; done < ownCount; starts++ {
			w, _ := queue.Pop(time.Time{}, nil)
			if w.Value == 0 {
				done++
				if starts > callers*done {
					t.Fatalf("waiter %d of the caller that does not flood was start number %d with %d callers", done, starts, callers)
				}
			}
		}
	})
}

// TestAheadIsExact checks EstimateAhead, by which requests are refused. Without waiters
// of other classes it must match the number of waiters that start before, up to the
// order within one round.
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
		// The estimate does not cover the order within a round, in which each of the
		// 3 other callers may start one waiter.
		if before > ahead || ahead > before+3 {
			t.Fatalf("%d waiters started before; the estimate was %d", before, ahead)
		}
	})
}

func TestGateAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := CallerLimits{RequestsPerSecond: 4, Burst: rapid.IntRange(1, 5).Draw(t, "burst"), Concurrent: 3}
		gate := NewGate()
		now := time.Unix(1000, 0)
		tokens, inFlight := float64(limits.Burst), 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			elapsed := time.Duration(rapid.IntRange(0, 8).Draw(t, "eighths")) * 125 * time.Millisecond
			now = now.Add(elapsed)
			tokens = min(float64(limits.Burst), tokens+elapsed.Seconds()*limits.RequestsPerSecond)
			if inFlight > 0 && rapid.Bool().Draw(t, "leave") {
				gate.Leave("p")
				inFlight--
				continue
			}
			want := ""
			switch {
			case inFlight >= limits.Concurrent:
				want = "concurrency-limit"
			case tokens < 1:
				want = "rate-limit"
			default:
				tokens--
				inFlight++
			}
			got := ""
			if refusal := gate.Enter(now, "p", limits); refusal != nil {
				got = refusal.Reason
				if got == "rate-limit" && gate.Enter(refusal.RetryAt.Add(-time.Millisecond), "p", limits) == nil {
					t.Fatal("a request 1 ms before RetryAt was admitted")
				}
			}
			if got != want {
				t.Fatalf("got %q; the reference model refuses with %q", got, want)
			}
		}
	})
}
