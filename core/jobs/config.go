package jobs

import "strings"

// Config is a version of what operators configured for a cell. It never changes.
type Config struct {
	Version int64
	Queues  []Queue
	// MaxBodyBytes bounds a caller's request, if above zero.
	MaxBodyBytes int64
}

// Queue returns the queue with a name.
func (c *Config) Queue(name string) (Queue, bool) {
	for _, q := range c.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// Route returns the queue of the host whose prefix is the longest that the path
// begins with, and the rest of the path.
func (c *Config) Route(host, path string) (queue Queue, rest string, found bool) {
	for _, q := range c.Queues {
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if !found || len(q.Prefix) > len(queue.Prefix) {
			queue, rest, found = q, path[len(q.Prefix):], true
		}
	}
	return queue, rest, found
}
