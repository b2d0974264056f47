package cell

import (
	"context"
	"errors"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/store"
)

// ErrSuperseded means that a worker has accepted a command of a later epoch.
var ErrSuperseded = errors.New("worker has accepted a later epoch")

// ErrOverloaded means that the adviser currently accepts no more requests.
var ErrOverloaded = errors.New("adviser overloaded")

// Workers sends commands to workers. Calls end with their context.
type Workers interface {
	// Start returns the outcome of the command, and an error to log with it.
	Start(ctx context.Context, command engine.Start) (engine.StartOutcome, error)
	// Stop returns nil once the worker has confirmed the command. The error may be
	// ErrSuperseded.
	Stop(ctx context.Context, command engine.Stop) error
	// Poll returns the worker's report: at once if wait is zero, otherwise as soon as a run
	// ends or after wait. The error may be ErrSuperseded.
	Poll(ctx context.Context, request engine.PollRequest, wait time.Duration) (engine.Report, error)
}

// Adviser determines which workers may run a step.
type Adviser interface {
	// Advise returns tickets for a step on the workers that may run it. The error may be
	// ErrOverloaded.
	Advise(ctx context.Context, step jobs.StepID, workers []string) (Advice, error)
}

// Advice is the adviser's answer to a request.
type Advice struct {
	Tickets []engine.Ticket `cbor:"1,keyasint"`
	// ValidFor is how long the tickets are valid.
	ValidFor time.Duration `cbor:"2,keyasint"`
	// Skipped is the number of rows of the answer that could not be decoded.
	Skipped int `cbor:"3,keyasint,omitempty"`
}

// Directory describes where the platform's store lists workers and configurations, and how to
// decode its entries.
type Directory struct {
	WorkerTable string
	// Decodes a worker entry. An entry without a usable worker is an error.
	DecodeWorker func(row store.Row) (engine.Worker, error)
	ConfigTable  string
	ConfigKey    string
	DecodeConfig func(row store.Row) (*jobs.Config, error)
	// Interval is the time between two writes of a worker's entry. Grace is how long after a worker has
	// changed runs may still reach it by an entry from before the change. It should exceed Interval by
	// three seconds: nothing starts by an entry that counts for less than it takes to read the next one.
	Interval, Grace time.Duration
}

// Logger writes structured log lines.
type Logger interface {
	Info(message string, keysAndValues ...any)
	Warn(message string, keysAndValues ...any)
}
