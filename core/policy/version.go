package policy

import (
	"sync"
	"sync/atomic"
	"time"
)

// Version is an accepted document with the metadata of its acceptance.
type Version struct {
	// Number is the number of the version: 1 for the first, increasing by 1.
	Number int64
	// ID is unique to the version. It distinguishes the versions of operators who
	// concurrently try to create a version with the same number.
	ID        string
	Author    string
	Reason    string
	AppliedAt time.Time
	// Text is the YAML text of the document as written by the author.
	Text string
	// Document is the decoded Text; nil if it has not been decoded.
	Document *Document
}

// ActiveVersion holds the active policy version of one entry VM. The zero value holds no
// version. It is safe for concurrent use; reading does not lock.
type ActiveVersion struct {
	mu      sync.Mutex
	current atomic.Pointer[Version]
}

// Current returns the active version, or nil if there is none yet.
func (a *ActiveVersion) Current() *Version {
	return a.current.Load()
}

// SetIfNewer makes v the active version if its number is higher than that of the active
// version, and reports whether it did.
func (a *ActiveVersion) SetIfNewer(v *Version) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if active := a.current.Load(); active != nil && active.Number >= v.Number {
		return false
	}
	a.current.Store(v)
	return true
}
