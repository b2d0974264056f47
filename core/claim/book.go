package claim

import (
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"
)

// bookShards is the number of independently locked parts of a Book.
const bookShards = 32

// Phase is how far a claim has come on this VM.
type Phase int

// The phases of a claim.
const (
	// Open means that the request was not sent and may still be refused.
	Open Phase = iota
	// Sent means that the request may have reached a target.
	Sent
	// Ended means that the outcome is known here.
	Ended
	// Held means that this VM remembers the claim for another, its owner.
	Held
)

// Claim is what one VM knows of a non-idempotent request. Its key, owner and
// nonce do not change. The Book guards the rest.
type Claim[O any] struct {
	Key   Key
	Owner string
	Nonce string
	// Digest tells the request from another one that reuses its key.
	Digest uint64
	// KeepUntil is when the claim may be forgotten.
	KeepUntil time.Time

	done    chan struct{}
	phase   Phase
	outcome O
	size    int
	// stored is whether the tables have the claim's row. version is the row's if
	// this VM wrote it and so deletes it, and 0 otherwise.
	stored  bool
	version int64
}

// StoredRow is a row that this VM wrote and may delete at that version.
type StoredRow struct {
	Key     Key
	Version int64
}

// Done is closed when the claim has ended or was dropped.
func (c *Claim[O]) Done() <-chan struct{} { return c.done }

// Book is the memory of claims on one VM. It is safe for concurrent use. O is
// the type of outcomes.
type Book[O any] struct {
	seed     maphash.Seed
	shards   [bookShards]bookShard[O]
	bytes    atomic.Int64
	maxBytes int64
}

type bookShard[O any] struct {
	mu     sync.Mutex
	claims map[Key]*Claim[O]
}

// NewBook returns an empty Book that keeps outcomes of up to maxBytes in all.
func NewBook[O any](maxBytes int64) *Book[O] {
	b := &Book[O]{seed: maphash.MakeSeed(), maxBytes: maxBytes}
	for i := range b.shards {
		b.shards[i].claims = make(map[Key]*Claim[O])
	}
	return b
}

// Open adds c in phase Open unless the book has a claim on its key. It returns
// the claim in the book and whether that is c.
func (b *Book[O]) Open(c *Claim[O]) (*Claim[O], bool) {
	return b.add(c, Open)
}

// Hold adds c, which belongs to another VM, unless the book has a claim on its
// key. It returns the claim in the book and whether that is c.
func (b *Book[O]) Hold(c *Claim[O]) (*Claim[O], bool) {
	return b.add(c, Held)
}

// Find returns the claim on a key, or nil.
func (b *Book[O]) Find(key Key) *Claim[O] {
	s := b.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.claims[key]
}

// SetSent notes that the request may reach a target from now on. A version
// other than 0 is that of the claim's row in the tables.
func (b *Book[O]) SetSent(c *Claim[O], version int64) {
	s := b.shard(c.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	c.phase = Sent
	c.stored, c.version = version != 0, version
}

// End keeps the outcome for repeats of the request. An outcome whose size does
// not fit is not kept; Outcome then reports that there is none.
func (b *Book[O]) End(c *Claim[O], outcome O, size int) {
	s := b.shard(c.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.phase == Ended {
		return
	}
	if b.bytes.Add(int64(size)) <= b.maxBytes {
		c.outcome, c.size, c.phase = outcome, size, Ended
	} else {
		b.bytes.Add(-int64(size))
		c.phase = Sent
	}
	close(c.done)
}

// Drop forgets a claim whose request did not run. Those that wait for it get
// the outcome. It returns the version of the claim's row in the tables, or 0,
// and reports whether only the memories of this VM and of its replica have it.
func (b *Book[O]) Drop(c *Claim[O], outcome O) (version int64, held bool) {
	s := b.shard(c.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claims[c.Key] == c {
		delete(s.claims, c.Key)
	}
	version, held = c.version, c.phase == Sent && !c.stored
	c.outcome, c.phase = outcome, Ended
	close(c.done)
	return version, held
}

// Replace puts c in the place of a claim that is held for the same owner. It
// reports whether the book still had that claim.
func (b *Book[O]) Replace(old, c *Claim[O]) bool {
	s := b.shard(old.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claims[old.Key] != old || old.phase != Held {
		return false
	}
	c.done, c.phase = make(chan struct{}), Held
	s.claims[c.Key] = c
	return true
}

// Release forgets a claim that this VM held for the owner named, if it holds one.
func (b *Book[O]) Release(key Key, nonce string) {
	s := b.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.claims[key]; c != nil && c.phase == Held && c.Nonce == nonce {
		delete(s.claims, key)
	}
}

// Phase returns the claim's phase.
func (b *Book[O]) Phase(c *Claim[O]) Phase {
	s := b.shard(c.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.phase
}

// Outcome returns the claim's outcome, if it is known here.
func (b *Book[O]) Outcome(c *Claim[O]) (O, bool) {
	s := b.shard(c.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.outcome, c.phase == Ended
}

// SetStored notes that the tables have the claim's row. The version is 0 if
// another VM wrote it.
func (b *Book[O]) SetStored(c *Claim[O], version int64) {
	s := b.shard(c.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	c.stored, c.version = true, version
}

// Unstored returns up to limit claims that were sent, or are held for another
// VM, and that the tables do not have.
func (b *Book[O]) Unstored(now time.Time, limit int) []*Claim[O] {
	var found []*Claim[O]
	b.each(func(c *Claim[O]) bool {
		if !c.stored && c.phase != Open && now.Before(c.KeepUntil) && len(found) < limit {
			found = append(found, c)
		}
		return true
	})
	return found
}

// Expire forgets the claims whose time has passed at now. It returns up to
// limit rows that this VM wrote; claims beyond the limit are kept for the next
// call.
func (b *Book[O]) Expire(now time.Time, limit int) []StoredRow {
	var rows []StoredRow
	b.each(func(c *Claim[O]) bool {
		if now.Before(c.KeepUntil) || c.phase == Open {
			return true
		}
		if c.version != 0 {
			if len(rows) == limit {
				return true
			}
			rows = append(rows, StoredRow{Key: c.Key, Version: c.version})
		}
		b.bytes.Add(-int64(c.size))
		return false
	})
	return rows
}

// Len returns the number of claims.
func (b *Book[O]) Len() int {
	count := 0
	b.each(func(*Claim[O]) bool {
		count++
		return true
	})
	return count
}

func (b *Book[O]) shard(key Key) *bookShard[O] {
	return &b.shards[maphash.Comparable(b.seed, key)%bookShards]
}

func (b *Book[O]) add(c *Claim[O], phase Phase) (*Claim[O], bool) {
	s := b.shard(c.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if present := s.claims[c.Key]; present != nil {
		return present, false
	}
	c.done, c.phase = make(chan struct{}), phase
	s.claims[c.Key] = c
	return c, true
}

// each calls keep for every claim, under the lock of its shard, and forgets
// those for which it returns false.
func (b *Book[O]) each(keep func(*Claim[O]) bool) {
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for key, c := range s.claims {
			if !keep(c) {
				delete(s.claims, key)
			}
		}
		s.mu.Unlock()
	}
}
