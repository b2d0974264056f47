package burn

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	// shardCount is the number of independently locked parts of a Recorder. It is a
	// power of two, so that the low bits of a hash select the shard.
	shardCount = 16
	// DefaultMaxSeries is the maximum number of series of a Recorder if Options do not
	// set it. BenchmarkSlopeSeries measures the memory of one series.
	DefaultMaxSeries = 384
	// Other is the caller and class of samples that are counted together because the
	// maximum number of series is reached.
	Other = "other"
)

// Options configure a Recorder.
type Options struct {
	// MaxSeries is the maximum number of series, which are pairs of caller and class.
	// It is divided among the shards and rounded up. Zero or less means
	// DefaultMaxSeries.
	MaxSeries int
	// Now returns the current time; nil means time.Now. It is used only by
	// RecordLimitHit.
	Now func() time.Time
}

// Recorder counts samples and limit hits. It is safe for concurrent use. Use
// NewRecorder to create one.
type Recorder struct {
	now            func() time.Time
	seed           maphash.Seed
	seriesPerShard int
	shards         [shardCount]shard
	limitHits      hitCounters
}

// seriesKey identifies a series.
type seriesKey struct{ caller, class string }

// shard holds some of the series of a Recorder.
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
	r.seriesPerShard = (opts.MaxSeries + shardCount - 1) / shardCount
	for i := range r.shards {
		r.shards[i].series = make(map[seriesKey]*series)
	}
	r.limitHits.counts = make(map[hitKey]*hitCounter)
	return r
}

// Observe counts a finished request.
func (r *Recorder) Observe(s Sample) {
	key := seriesKey{caller: s.Caller, class: s.Class}
	shard := &r.shards[maphash.Comparable(r.seed, key)%shardCount]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.findOrCreate(key, r.seriesPerShard).observe(&s)
}

// RecordLimitHit counts a request of caller that was refused by limit, the name of a
// policy field such as "requests-per-second".
func (r *Recorder) RecordLimitHit(caller, limit string) {
	r.limitHits.add(hitKey{caller: caller, limit: limit}, r.now())
}

// findOrCreate returns the series of key and creates it if necessary. If the shard
// already has limit series, it uses the series of Other instead of a new one.
func (s *shard) findOrCreate(key seriesKey, limit int) *series {
	if found, ok := s.series[key]; ok {
		return found
	}
	if len(s.series) >= limit {
		key = seriesKey{caller: Other, class: Other}
		if found, ok := s.series[key]; ok {
			return found
		}
	}
	created := new(series)
	s.series[key] = created
	return created
}
