package cell

import (
	"context"
	"errors"
	"time"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/store"
)

// ErrSuperseded means that a worker has obeyed a later leader.
var ErrSuperseded = errors.New("worker has obeyed a later leader")

// ErrOverloaded means that the adviser takes no more questions now.
var ErrOverloaded = errors.New("adviser takes no more questions")

// Workers carries orders to workers. Calls end with their context.
type Workers interface {
	// Start returns what became of the order, and an error to log with it.
	Start(ctx context.Context, order engine.Start) (engine.StartOutcome, error)
	// Stop returns nil once the worker has confirmed the order. The error may be
	// ErrSuperseded.
	Stop(ctx context.Context, order engine.Stop) error
	// Look returns the worker's report, at once if the wait is zero, or else as
	// soon as a run ends. The error may be ErrSuperseded.
	Poll(ctx context.Context, order engine.PollRequest, wait time.Duration) (engine.Report, error)
}

// Adviser tells which workers may run a step. The error may be ErrOverloaded.
type Adviser interface {
	Advise(ctx context.Context, step jobs.StepID, workers []string) (Advice, error)
}

// Answer is what the adviser said.
type Advice struct {
	Tickets []engine.Ticket `cbor:"1,keyasint"`
	// Valid is how long the tickets hold.
	ValidFor time.Duration `cbor:"2,keyasint"`
}

// Directory says where the platform's store lists workers and configurations,
// and how to read its entries.
type Directory struct {
	WorkerTable string
	// Worker reads an entry. An entry that names no usable worker is an error.
	Worker      func(row store.Row) (engine.Worker, error)
	ConfigTable string
	ConfigKey   string
	Config      func(row store.Row) (*jobs.Config, error)
}

// Logger writes structured lines.
type Logger interface {
	Info(message string, keysAndValues ...any)
	Warn(message string, keysAndValues ...any)
}
