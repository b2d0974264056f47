package intake

import (
	"math"
	"slices"
	"time"
)

// MaxAge is the age up to which a snapshot is used. A VM gets a new one every 0.4 s, so four in a row
// are lost before.
const MaxAge = 2 * time.Second

// Horizons are the times after the snapshot for which it predicts the free capacity. They are closer
// together at first, where objectives are short. What is not free by the last one is not predicted.
var Horizons = [...]time.Duration{
	0, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second, 32 * time.Second,
}

// Snapshot is what the leader knows about the load. A nil Snapshot knows nothing.
type Snapshot struct {
	// Age is how old the snapshot was when it was sent.
	Age    time.Duration `cbor:"1,keyasint"`
	Queues []Queue       `cbor:"2,keyasint"`
	// Organizations holds those that have used up half of what they may submit in a second. The
	// others are far from their limit.
	Organizations []Organization `cbor:"3,keyasint,omitempty"`
	// At is when the snapshot was taken, by the clock of the VM that holds it.
	At time.Time `cbor:"-"`
}

// Queue is the load that goes before a new job of a queue.
type Queue struct {
	Name     string `cbor:"1,keyasint"`
	Priority int    `cbor:"2,keyasint"`
	// Free holds the processor capacity, in millicores, that is expected to be free for a new job at
	// each of the Horizons, once all work that goes before has started.
	Free [len(Horizons)]int64 `cbor:"3,keyasint"`
	// PermittedShare is the share of the workers on which the adviser lets a step run; 0 is all.
	PermittedShare float64 `cbor:"4,keyasint,omitempty"`
	// Short and Long are the predicted durations of tasks with the estimates ShortEstimate and
	// LongEstimate.
	Short time.Duration `cbor:"5,keyasint"`
	Long  time.Duration `cbor:"6,keyasint"`
	// ExcessFree is Free for a job that is excess: all work that is not excess goes before it, what is
	// expected to arrive included. It is nil where nothing is excess.
	ExcessFree []int64 `cbor:"7,keyasint,omitempty"`
	// LeastShare is the duration that few tasks fall below, as a share of the predicted one; 0 is the
	// predicted one.
	LeastShare float64 `cbor:"8,keyasint,omitempty"`
}

// ShortEstimate and LongEstimate are the estimates for which a snapshot states predicted durations.
// The tasks of most queues run for 0.5 to 10 s.
const (
	ShortEstimate = 500 * time.Millisecond
	LongEstimate  = 8 * time.Second
)

// Organization is what an organization may still submit before its jobs are excess.
type Organization struct {
	Name string `cbor:"1,keyasint"`
	// Jobs is the number of jobs as of the snapshot, PerSecond how many are added per second, up to
	// Depth.
	Jobs      float64 `cbor:"2,keyasint"`
	PerSecond float64 `cbor:"3,keyasint"`
	// Growth is how many of them are added per second beyond what the organization submits, at least 0.
	Growth float64 `cbor:"4,keyasint,omitempty"`
}

// Depth returns how many jobs an organization with a weight may submit at once: those of one second, and
// at least one. A weight of 0 makes all of its jobs excess.
func Depth(weight float64) float64 {
	if weight <= 0 {
		return 0
	}
	return max(weight, 1)
}

// Fresh reports whether the snapshot may be used at a time.
func (s *Snapshot) Fresh(now time.Time) bool { return s != nil && now.Sub(s.At) <= MaxAge }

// Clone returns a copy that shares no memory with s, or nil if s is nil.
func (s *Snapshot) Clone() *Snapshot {
	if s == nil {
		return nil
	}
	c := *s
	c.Queues, c.Organizations = slices.Clone(s.Queues), slices.Clone(s.Organizations)
	for i := range c.Queues {
		c.Queues[i].ExcessFree = slices.Clone(c.Queues[i].ExcessFree)
	}
	return &c
}

// NoteAccepted adds a job that this VM accepted at a time after the snapshot was taken.
func (s *Snapshot) NoteAccepted(now time.Time, r Request) {
	if s == nil {
		return
	}
	for i := range s.Queues {
		q := &s.Queues[i]
		if q.Priority < r.Priority {
			continue // the job goes after those of more urgent queues
		}
		for k := range q.Free {
			q.Free[k] -= r.Millicores
		}
		if q.Name != r.Queue {
			continue // the job may use other workers
		}
		for k := range q.ExcessFree {
			q.ExcessFree[k] -= r.Millicores
		}
	}
	// Excess takes nothing from what the organization may still submit.
	if _, excess, _ := s.excess(now, r.Organization); excess {
		return
	}
	if i := slices.IndexFunc(s.Organizations, func(o Organization) bool { return o.Name == r.Organization }); i >= 0 {
		s.Organizations[i].Jobs--
	}
}

func (s *Snapshot) queue(name string) *Queue {
	for i := range s.Queues {
		if s.Queues[i].Name == name {
			return &s.Queues[i]
		}
	}
	return nil
}

// freeAfter returns how long after the snapshot an amount of capacity is free, or false if it is not by
// the last of the Horizons.
func (q *Queue) freeAfter(millicores int64) (time.Duration, bool) {
	return q.freeAfterIn(q.Free[:], millicores)
}

// freeAfterIn is freeAfter with the capacity that is free at each of the Horizons.
func (q *Queue) freeAfterIn(list []int64, millicores int64) (time.Duration, bool) {
	if q.PermittedShare > 0 {
		millicores = int64(float64(millicores) / q.PermittedShare)
	}
	for k, free := range list[:min(len(list), len(Horizons))] {
		if free < millicores {
			continue
		}
		if k == 0 || free == list[k-1] {
			return Horizons[k], true
		}
		part := float64(millicores-list[k-1]) / float64(free-list[k-1])
		return Horizons[k-1] + time.Duration(part*float64(Horizons[k]-Horizons[k-1])), true
	}
	return 0, false
}

// predict returns the predicted duration of a task with an estimate: the line through the two
// predictions of the snapshot, in logarithms.
func (q *Queue) predict(estimate time.Duration) time.Duration {
	if q == nil || estimate <= 0 || q.Short <= 0 || q.Long <= 0 || q.Short == ShortEstimate && q.Long == LongEstimate {
		return estimate
	}
	short, long := math.Log(q.Short.Seconds()), math.Log(q.Long.Seconds())
	part := math.Log(estimate.Seconds()/ShortEstimate.Seconds()) / math.Log(LongEstimate.Seconds()/ShortEstimate.Seconds())
	return seconds(math.Exp(short + part*(long-short)))
}

// least returns the duration that few tasks with a predicted duration fall below.
func (q *Queue) least(predicted time.Duration) time.Duration {
	if q == nil || !(q.LeastShare > 0 && q.LeastShare < 1) {
		return predicted
	}
	return time.Duration(q.LeastShare * float64(predicted))
}

// seconds converts a number of seconds, at most maxPrediction of them.
func seconds(s float64) time.Duration {
	if !(s < maxPrediction.Seconds()) {
		return maxPrediction
	}
	return time.Duration(s * float64(time.Second))
}

// maxPrediction bounds predictions, so that sums of them cannot overflow.
const maxPrediction = 1000 * time.Hour
