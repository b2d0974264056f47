package worker

import (
	"strconv"
	"strings"
	"time"

	api "tanagerstack.org/core/api/worker"
)

// Command describes what a task does. It is parsed from arguments such as:
//
//	--run-for=3s               ends after this much work; without it the task runs indefinitely
//	--fail                     fails instead of succeeding
//	--use-millicores=500       uses this much processor time instead of the declared amount
//	--use-memory-bytes=1000    uses this much memory instead of the declared amount
//
// Other arguments have no effect.
type Command struct {
	// RunFor is the amount of work, as time at full speed. Zero means that the task runs indefinitely.
	RunFor time.Duration
	// Fail makes the task end as failed.
	Fail bool
	// Millicores and MemoryBytes are what the task uses. Zero means the declared amount.
	Millicores  int64
	MemoryBytes int64
}

// defaultFailureDelay is how long a failing task runs if it does not specify --run-for.
const defaultFailureDelay = 10 * time.Millisecond

// ParseCommand parses the arguments of a task. Invalid values count as zero.
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

// usage returns what a task with the declared resources uses.
func (c Command) usage(declared api.Resources) api.Resources {
	if c.Millicores > 0 {
		declared.Millicores = c.Millicores
	}
	if c.MemoryBytes > 0 {
		declared.MemoryBytes = c.MemoryBytes
	}
	return declared
}
