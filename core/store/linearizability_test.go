package store

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

const (
	historyClients = 6
	historySteps   = 25
)

// swapInput is an operation: a write of value over version, or a read if value is empty.
type swapInput struct {
	value   string
	version int64
}

// swapOutput is the result of an operation: the row after it, and whether a write was applied or
// its outcome is unknown.
type swapOutput struct {
	row     Row
	applied bool
	unknown bool
}

// register is the state of the model: the value of one row and its version. After a write of
// unknown outcome the version is -1 until an operation has returned it.
type register struct {
	value   string
	version int64
}

func registerModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{register{}} },
		Step: func(state, input, output any) []any {
			return stepRegister(state.(register), input.(swapInput), output.(swapOutput))
		},
		DescribeOperation: func(input, output any) string { return fmt.Sprint(input, output) },
	}
	return model.ToModel()
}

// stepRegister returns the possible states after an operation; none if its result is impossible
// in state r. A version of -1 stands for one that no client has seen yet.
func stepRegister(r register, in swapInput, out swapOutput) []any {
	sees := r.value == string(out.row.Value) && (r.version == out.row.Version || r.version == -1)
	matches := r.version == in.version || r.version == -1
	switch {
	case in.value == "":
		if !sees {
			return nil
		}
		return []any{register{value: r.value, version: out.row.Version}}
	case out.applied:
		if !matches {
			return nil
		}
		return []any{register{value: in.value, version: out.row.Version}}
	case out.unknown && matches:
		return []any{r, register{value: in.value, version: -1}}
	default:
		return []any{r}
	}
}

// historyClient reads and replaces one row and records the results.
type historyClient struct {
	id     int
	tables Tables
	random *rand.Rand
	clock  *atomic.Int64
	done   chan []porcupine.Operation
}

func (h *historyClient) run() {
	var history []porcupine.Operation
	for step := range historySteps {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		start := h.clock.Add(1)
		row, err := h.tables.Read(ctx, "t", "k")
		if err != nil {
			cancel()
			continue
		}
		history = append(history, h.operation(swapInput{}, swapOutput{row: row}, start))
		if h.random.Intn(2) == 0 {
			history = append(history, h.swap(ctx, row, fmt.Sprintf("%d-%d", h.id, step)))
		}
		cancel()
	}
	h.done <- history
}

func (h *historyClient) swap(ctx context.Context, row Row, value string) porcupine.Operation {
	start := h.clock.Add(1)
	written, err := CompareAndSet(ctx, h.tables, row, []byte(value))
	var conflict *ConflictError
	out := swapOutput{row: written, applied: err == nil, unknown: errors.Is(err, ErrOutcomeUnknown)}
	// A write that ended in a conflict may have been applied and overwritten.
	out.unknown = out.unknown || errors.As(err, &conflict)
	return h.operation(swapInput{value: value, version: row.Version}, out, start)
}

func (h *historyClient) operation(in swapInput, out swapOutput, start int64) porcupine.Operation {
	end := h.clock.Add(1)
	if out.unknown {
		// The service may apply the write at any time after the start.
		end = 1 << 40
	}
	return porcupine.Operation{ClientId: h.id, Input: in, Output: out, Call: start, Return: end}
}

// TestCompareAndSetHistory checks that the compare-and-set operations of several clients on one
// row are linearizable when replies are lost.
func TestCompareAndSetHistory(t *testing.T) {
	for seed := range int64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := newService(t, func(call int64) bool { return rand.New(rand.NewSource(seed<<32+call)).Intn(4) == 0 })
			history := runClients(s.client(t, Options{CommitsInFlight: 1, GroupWindow: 200 * time.Microsecond}), seed)
			if result := porcupine.CheckOperationsTimeout(registerModel(), history, 20*time.Second); result != porcupine.Ok {
				t.Fatalf("history of %d operations is not linearizable: %s", len(history), result)
			}
		})
	}
}

func runClients(tables Tables, seed int64) []porcupine.Operation {
	var clock atomic.Int64
	done := make(chan []porcupine.Operation, historyClients)
	for id := range historyClients {
		go (&historyClient{id: id, tables: tables, random: rand.New(rand.NewSource(seed + int64(id))), clock: &clock, done: done}).run()
	}
	var history []porcupine.Operation
	for range historyClients {
		history = append(history, <-done...)
	}
	return history
}
