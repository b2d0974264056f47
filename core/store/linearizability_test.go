package store

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"slices"
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
			history := withoutUnseenWrites(runClients(s.client(t, Options{CommitsInFlight: 1, GroupWindow: 200 * time.Microsecond}), seed))
			if !porcupine.CheckOperations(registerModel(), history) {
				t.Fatalf("history of %d operations is not linearizable", len(history))
			}
		})
	}
}

// withoutUnseenWrites leaves out writes of unknown outcome whose value no operation returned. Each can
// be ordered after all others, so the history is linearizable with them if it is without. The time
// that the check takes grows exponentially with their number.
func withoutUnseenWrites(history []porcupine.Operation) []porcupine.Operation {
	seen := make(map[string]bool)
	for _, op := range history {
		seen[string(op.Output.(swapOutput).row.Value)] = true
	}
	return slices.DeleteFunc(history, func(op porcupine.Operation) bool {
		return op.Output.(swapOutput).unknown && !seen[op.Input.(swapInput).value]
	})
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

// TestHistoryCheckFindsFaults checks that the checks of TestCompareAndSetHistory detect a read of an
// overwritten row, a lost write and a write over a version that is gone, also beside writes of unknown
// outcome.
func TestHistoryCheckFindsFaults(t *testing.T) {
	wrote := func(value string, over, version int64) (swapInput, swapOutput) {
		return swapInput{value: value, version: over}, swapOutput{row: Row{Value: []byte(value), Version: version}, applied: true}
	}
	read := func(value string, version int64) (swapInput, swapOutput) {
		return swapInput{}, swapOutput{row: Row{Value: []byte(value), Version: version}}
	}
	unknown := func(value string, over int64) (swapInput, swapOutput) {
		return swapInput{value: value, version: over}, swapOutput{unknown: true}
	}
	type step func() (swapInput, swapOutput)
	cases := map[string]struct {
		steps []step
		want  bool
	}{
		"sound": {[]step{
			func() (swapInput, swapOutput) { return wrote("a", 0, 1) },
			func() (swapInput, swapOutput) { return unknown("b", 1) },
			func() (swapInput, swapOutput) { return read("b", 2) },
		}, true},
		"overwritten row read": {[]step{
			func() (swapInput, swapOutput) { return wrote("a", 0, 1) },
			func() (swapInput, swapOutput) { return unknown("b", 1) },
			func() (swapInput, swapOutput) { return read("b", 2) },
			func() (swapInput, swapOutput) { return read("a", 1) },
		}, false},
		"write lost": {[]step{
			func() (swapInput, swapOutput) { return wrote("a", 0, 1) },
			func() (swapInput, swapOutput) { return unknown("c", 1) },
			func() (swapInput, swapOutput) { return read("", 0) },
		}, false},
		"write over a version that is gone": {[]step{
			func() (swapInput, swapOutput) { return wrote("a", 0, 1) },
			func() (swapInput, swapOutput) { return wrote("b", 1, 2) },
			func() (swapInput, swapOutput) { return unknown("d", 2) },
			func() (swapInput, swapOutput) { return wrote("c", 1, 3) },
		}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var history []porcupine.Operation
			for i, step := range c.steps {
				in, out := step()
				op := porcupine.Operation{ClientId: i, Input: in, Output: out, Call: int64(2 * i), Return: int64(2*i + 1)}
				if out.unknown {
					op.Return = 1 << 40
				}
				history = append(history, op)
			}
			if got := porcupine.CheckOperations(registerModel(), withoutUnseenWrites(history)); got != c.want {
				t.Errorf("linearizable: %v, want %v", got, c.want)
			}
		})
	}
}
