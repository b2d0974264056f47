package burn

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	// shardCount is a power of two, so that a hash picks a shard by its low bits.
	shardCount = 16
	// DefaultSeries is the number of series that a Recorder keeps if its options
	// name none; BenchmarkSlopeSeries measures what one holds.
	DefaultMaxSeries = 384
	// Other is the caller and class of samples that came after all series were taken.
	Other = "other"
)

// Options configure a Recorder.
type Options struct {
	// Series bounds the number of callers and classes that are told apart;
	// DefaultSeries if zero.
	MaxSeries int
	// Now is the clock; time.Now if nil.
	Now func() time.Time
}

// Recorder counts samples. It is safe for concurrent use.
type Recorder struct {
	now      func() time.Time
	seed     maphash.Seed
	perShard int
	shards   [shardCount]shard
	hits     hits
}

// seriesKey names a series.
type seriesKey struct{ caller, class string }

type shard struct {
	mu     sync.Mutex
	series map[seriesKey]*series
}

// NewRecorder returns a Recorder without samples.
func NewRecorder(opts Options) *Recorder {
	if opts.MaxSeries <= 0 {
		opts.MaxSeries = DefaultMaxSeries
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	r := &Recorder{now: opts.Now, seed: maphash.MakeSeed()}
	r.perShard = (opts.MaxSeries + shardCount - 1) / shardCount
	for i := range r.shards {
		r.shards[i].series = make(map[seriesKey]*series)
	}
	r.hits.counts = make(map[hitKey]*hitCount)
	return r
}

// Observe counts a finished request.
func (r *Recorder) Observe(s Sample) {
	key := seriesKey{caller: s.Caller, class: s.Class}
	shard := &r.shards[maphash.Comparable(r.seed, key)%shardCount]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.find(key, r.perShard).observe(&s)
}

// Hit counts a request of caller that met limit, a policy field such as
// "requests-per-second".
func (r *Recorder) RecordLimitHit(caller, limit string) {
	r.hits.add(hitKey{caller: caller, limit: limit}, r.now())
}

// find returns the series of key, or that of Other if there are too many.
func (s *shard) find(key seriesKey, most int) *series {
	if found, ok := s.series[key]; ok {
		return found
	}
	if len(s.series) >= most {
		key = seriesKey{caller: Other, class: Other}
		if found, ok := s.series[key]; ok {
			return found
		}
	}
	created := new(series)
	s.series[key] = created
	return created
}
