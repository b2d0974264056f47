package worker

import (
	"strconv"
	"strings"
	"time"

	api "tanagerstack.org/core/api/worker"
)

// Command is what a task does, read from arguments such as:
//
//	--run-for=3s               ends after that much work; without it the task runs on
//	--fail                     fails instead of succeeding
//	--use-millicores=500       uses that much instead of what it declared
//	--use-memory-bytes=1000    likewise
//
// Other arguments have no effect.
type Command struct {
	// RunFor is the work to be done, as time at full speed; zero means endless.
	RunFor time.Duration
	// Fail makes the task end as failed.
	Fail bool
	// Millicores and MemoryBytes are what the task uses; zero means what it declared.
	Millicores  int64
	MemoryBytes int64
}

// failureTime is how long a failing task runs that does not say so itself.
const defaultFailureDelay = 10 * time.Millisecond

// ParseCommand reads the arguments of a task.
func ParseCommand(arguments []string) Command {
	var c Command
	for _, argument := range arguments {
		name, value, _ := strings.Cut(argument, "=")
		switch name {
		case "--run-for":
			c.RunFor, _ = time.ParseDuration(value)
		case "--fail":
			c.Fail = true
		case "--use-millicores":
			c.Millicores, _ = strconv.ParseInt(value, 10, 64)
		case "--use-memory-bytes":
			c.MemoryBytes, _ = strconv.ParseInt(value, 10, 64)
		}
	}
	if c.Fail && c.RunFor == 0 {
		c.RunFor = defaultFailureDelay
	}
	return c
}

// uses returns what the task uses of its declared resources.
func (c Command) usage(declared api.Resources) api.Resources {
	if c.Millicores > 0 {
		declared.Millicores = c.Millicores
	}
	if c.MemoryBytes > 0 {
		declared.MemoryBytes = c.MemoryBytes
	}
	return declared
}
