package policy

import (
	"sync"
	"sync/atomic"
	"time"
)

// Version is an accepted document with its history.
type Version struct {
	// Number is 1 for the first version and grows by 1.
	Number int64
	// ID tells apart versions of racing operators that would have one number.
	ID        string
	Author    string
	Reason    string
	AppliedAt time.Time
	// Text is the document as its author wrote it.
	Text string
	// Document is Text, decoded.
	Document *Document
}

// Keeper holds the version in force on one entry VM. The zero value holds none.
// It is safe for concurrent use; reading takes no lock.
type ActiveVersion struct {
	mu      sync.Mutex
	current atomic.Pointer[Version]
}

// Current returns the version in force, or nil if there is none yet.
func (k *ActiveVersion) Current() *Version {
	return k.current.Load()
}

// Offer puts v in force if it is newer than the present version, and reports
// whether it did.
func (k *ActiveVersion) SetIfNewer(v *Version) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if present := k.current.Load(); present != nil && present.Number >= v.Number {
		return false
	}
	k.current.Store(v)
	return true
}
