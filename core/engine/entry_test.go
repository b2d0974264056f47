package engine

import (
	"testing"
	"time"
)

// TestOldEntryStartsNothing guards against starts by a capacity, labels or a state that may have
// changed since the directory was read, on a worker that answers its polls.
func TestOldEntryStartsNothing(t *testing.T) {
	cases := map[string]struct {
		age  time.Duration
		want int
	}{
		"read just now":          {0, 4},
		"within the term":        {simEntryTerm - time.Millisecond, 4},
		"at the end of the term": {simEntryTerm, 0},
		"long after the term":    {time.Minute, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{}, testWorker("w1"))
			e.apply(JobAccepted{Job: testJob("job", 9)})
			e.now = e.now.Add(c.age)
			e.apply(LeadershipConfirmed{At: e.now, Until: e.now.Add(simTerm)})
			e.poll("w1", Report{})
			if got := len(commandsOfType[Start](e.Schedule(e.now))); got != c.want {
				t.Errorf("%d starts, want %d", got, c.want)
			}
			e.setProcessors("w1", 2000)
			if got := len(commandsOfType[Start](e.runPass(0))); got != max(0, 2-c.want) {
				t.Errorf("%d starts once the directory shows half of the capacity, want %d", got, max(0, 2-c.want))
			}
		})
	}
}

// TestEntryFromBeforeOutage guards against starts by the entry of an earlier incarnation that the
// directory still has after an outage: the worker may be of another kind now.
func TestEntryFromBeforeOutage(t *testing.T) {
	e := newTestEngine(t, Options{}, testWorker("w1"))
	e.apply(JobAccepted{Job: testJob("job", 9)})
	restarted := testStart.Add(time.Minute)
	e.answer("w1", restarted, Report{})
	for range 2 * entryLag / time.Second {
		e.now = e.now.Add(time.Second)
		e.apply(Tick{})
	}
	e.answer("w1", restarted, Report{})
	if got := e.startAll(0); len(got) > 0 {
		t.Errorf("started %v by the entry from before the outage", got)
	}
	entry := testWorker("w1")
	entry.StartedAt, entry.Capacity.Millicores = restarted, 1000
	e.apply(WorkerListed{Worker: entry})
	e.answer("w1", restarted, Report{})
	if got := e.startAll(50 * time.Millisecond)["w1"]; got != 1 {
		t.Errorf("%d starts by the entry after the outage, want 1", got)
	}
}

// TestEntryAgeByClock guards against starts by an entry that the worker's clock shows to be too old, and
// against a new leader that waits for entries although their clocks show that they are recent.
func TestEntryAgeByClock(t *testing.T) {
	const atPoll = time.Minute
	cases := map[string]struct {
		// entryClock is the reading in the entry, and earlier is set if another incarnation wrote it.
		entryClock time.Duration
		earlier    bool
		want       int
	}{
		"written just now":                {atPoll, false, 4},
		"recent":                          {atPoll - 3*time.Second, false, 4},
		"recent unless the clock is slow": {atPoll - simEntryTerm + simEntryTerm/100, false, 0},
		"old":                             {atPoll - simEntryTerm, false, 0},
		"no reading":                      {0, false, 0},
		"later than the poll":             {atPoll + time.Second, false, 0},
		"of another incarnation":          {atPoll, true, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngine(t, Options{})
			entry := testWorker("w1")
			entry.Clock = c.entryClock
			e.apply(WorkersListed{Workers: []Worker{entry}})
			if c.earlier {
				e.answer("w1", testStart.Add(time.Minute), Report{Clock: atPoll})
			}
			e.poll("w1", Report{Clock: atPoll})
			roster, _ := e.WantedRoster(e.now)
			e.RosterRecorded(roster)
			e.apply(JobAccepted{Job: testJob("job", 9)})
			if got := len(commandsOfType[Start](e.Schedule(e.now))); got != c.want {
				t.Errorf("%d starts, want %d", got, c.want)
			}
		})
	}
}

// TestOldEntriesMoveNothing guards against a gang that is stopped for a straggler while it cannot start
// elsewhere.
func TestOldEntriesMoveNothing(t *testing.T) {
	for name, want := range map[string]int{"entries count": 2, "no entry counts": 0} {
		t.Run(name, func(t *testing.T) {
			e := newGangWithStraggler(t, 3*time.Second, [2]int{75, 9}, -8*time.Second)
			e.confirm()
			if want == 0 {
				for _, w := range e.sortedWorkers {
					w.entryUntil = e.now
				}
			}
			e.now = e.now.Add(time.Millisecond)
			if stops := commandsOfType[Stop](e.apply(Tick{})); len(stops) != want {
				t.Errorf("%d members were stopped, want %d", len(stops), want)
			}
		})
	}
}
