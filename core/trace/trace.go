// Package trace records the recent decisions about requests and jobs in memory, so
// that an operator can find out why one was made.
//
// A Log is bounded. It is split into shards; each shard is a ring buffer with its
// own lock, in which the newest entry overwrites the oldest. Correctness does not
// depend on the log: it is lost when the VM is replaced.
package trace

import (
	"hash/maphash"
	"sort"
	"sync"
	"time"
)

// shardCount is a power of two, so that the low bits of a hash select the shard.
const shardCount = 16

// DefaultEntries is the number of decisions that a Log keeps if Options.Entries is zero.
const DefaultEntries = 32768

// Decision is one decision about a request or job.
type Decision struct {
	// At is when the decision was made, by the clock of VM.
	At time.Time `cbor:"1,keyasint"`
	// VM is the name of the entry VM that made the decision.
	VM string `cbor:"2,keyasint"`
	// Step is the stage of processing in kebab case, such as "admit" or "place".
	Step string `cbor:"3,keyasint"`
	// Verdict is the outcome in kebab case, such as "refused".
	Verdict string `cbor:"4,keyasint"`
	// Rule is the policy field that determined the verdict; empty if none did.
	Rule string `cbor:"5,keyasint,omitempty"`
	// Exception is the name of the policy exception that applied; empty if none did.
	Exception string `cbor:"6,keyasint,omitempty"`
	// Detail is a human-readable text with the values behind the verdict.
	Detail string `cbor:"7,keyasint,omitempty"`
}

// Options configure a Log.
type Options struct {
	// VM is the default of Decision.VM.
	VM string
	// Entries is the number of decisions kept, rounded up to a multiple of the number of
	// shards; DefaultEntries if zero.
	Entries int
}

// Log is a bounded record of decisions. It is safe for concurrent use.
type Log struct {
	vm     string
	seed   maphash.Seed
	shards [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	entries []entry
	next    int
}

type entry struct {
	id       string
	decision Decision
}

// NewLog returns an empty Log.
func NewLog(opts Options) *Log {
	if opts.Entries <= 0 {
		opts.Entries = DefaultEntries
	}
	log := &Log{vm: opts.VM, seed: maphash.MakeSeed()}
	perShard := (opts.Entries + shardCount - 1) / shardCount
	for i := range log.shards {
		log.shards[i].entries = make([]entry, 0, perShard)
	}
	return log
}

// Add records a decision about the request or job id.
func (l *Log) Add(id string, d Decision) {
	if d.VM == "" {
		d.VM = l.vm
	}
	l.shard(id).add(entry{id: id, decision: d})
}

// Find returns the decisions about id that are still in the log, oldest first.
func (l *Log) Find(id string) []Decision {
	found := l.shard(id).find(id)
	sort.SliceStable(found, func(i, j int) bool { return found[i].At.Before(found[j].At) })
	return found
}

func (l *Log) shard(id string) *shard {
	return &l.shards[maphash.String(l.seed, id)%shardCount]
}

func (s *shard) add(e entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.entries) < cap(s.entries) {
		s.entries = append(s.entries, e)
		return
	}
	s.entries[s.next] = e
	s.next = (s.next + 1) % len(s.entries)
}

func (s *shard) find(id string) []Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []Decision
	for i := range s.entries {
		if s.entries[i].id == id {
			found = append(found, s.entries[i].decision)
		}
	}
	return found
}
