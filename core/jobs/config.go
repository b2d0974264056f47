package jobs

import (
	"strings"
	"time"

	"tanagerstack.org/core/orgs"
)

// Config is one version of the operators' configuration of a cell. It is immutable.
type Config struct {
	Version int64
	Queues  []Queue
	// MaxBodyBytes limits the body of a caller's request; zero means that no limit is configured.
	MaxBodyBytes int64
	// HeaderTimeout limits the time of a request's header, IdleTimeout that between two requests of a
	// connection; zero means that none is configured.
	HeaderTimeout, IdleTimeout time.Duration
	// SkippedQueues is the number of queues that could not be decoded.
	SkippedQueues int
	// Organizations are those that may use the cell. It is nil if the cell has none, so that
	// requests need no key.
	Organizations *orgs.Directory
	// SkippedOrganizations is the number of organizations that could not be decoded or are invalid.
	SkippedOrganizations int
	// OrganizationFaults names the organizations among them and their faults. It has no keys.
	OrganizationFaults error
}

// HasOrganizations reports whether the cell has organizations, so that requests need a key. The
// configuration may be nil.
func (c *Config) HasOrganizations() bool { return c != nil && c.Organizations != nil }

// Queue returns the queue with the given name and whether it exists.
func (c *Config) Queue(name string) (Queue, bool) {
	for _, q := range c.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// Route returns the queue of the host with the longest prefix of the path, and the part of
// the path after that prefix.
func (c *Config) Route(host, path string) (queue Queue, rest string, found bool) {
	var longest *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if (longest == nil || len(q.Prefix) > len(longest.Prefix)) && q.Host == host && strings.HasPrefix(path, q.Prefix) {
			longest = q
		}
	}
	if longest == nil {
		return Queue{}, "", false
	}
	return *longest, path[len(longest.Prefix):], true
}
