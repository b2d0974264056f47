package store

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
)

// singleCommitMemory is a service that takes one transaction per call.
type singleCommitMemory struct {
	*Memory

	mu sync.Mutex
	// entries has the number of entries of each call.
	entries []int
	failure error
}

func (a *singleCommitMemory) Apply(ctx context.Context, changes []Change) (int64, error) {
	a.mu.Lock()
	a.entries = append(a.entries, sizeOf(changes).Entries)
	fail := a.failure
	a.mu.Unlock()
	if fail != nil {
		return 0, fail
	}
	return a.Commit(ctx, changes...)
}

func put(key string, expected int64) Transaction {
	return Transaction{Put{Table: "t", Key: key, Value: []byte(key), Expected: Expect(expected)}}
}

// TestBatcherOutcomes checks that each transaction of a group gets the result that it would
// get in a call of its own.
func TestBatcherOutcomes(t *testing.T) {
	cases := map[string]struct {
		group []Transaction
		// conflicts tells which transactions of the group must fail with a conflict.
		conflicts []bool
	}{
		"all apply":                {[]Transaction{put("a", 0), put("b", 0)}, []bool{false, false}},
		"one fails, others apply":  {[]Transaction{put("a", 0), put("old", 0), put("b", 0)}, []bool{false, true, false}},
		"all fail":                 {[]Transaction{put("old", 0), put("old", 7)}, []bool{true, true}},
		"twice the same row":       {[]Transaction{put("a", 0), put("a", 0)}, []bool{false, true}},
		"row checked and written":  {[]Transaction{{Check{Table: "t", Key: "old", Expected: 1}}, put("old", 1)}, []bool{false, false}},
		"check fails, others hold": {[]Transaction{{Check{Table: "t", Key: "old", Expected: 9}, put("x", 0)[0]}, put("y", 0)}, []bool{true, false}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			service := &singleCommitMemory{Memory: NewMemory()}
			if _, err := service.Commit(t.Context(), Put{Table: "t", Key: "old", Value: []byte("old")}); err != nil {
				t.Fatal(err)
			}
			batcher := Batcher{Service: service, Limits: Limits{Entries: 100, Bytes: 1 << 20}}
			for i, r := range batcher.Commit(t.Context(), c.group) {
				var conflict *ConflictError
				if got := errors.As(r.Err, &conflict); got != c.conflicts[i] || !got && r.Err != nil {
					t.Errorf("transaction %d: error %v, want conflict: %v", i, r.Err, c.conflicts[i])
				}
			}
		})
	}
}

// TestBatcherLimits checks that no call exceeds the limit on entries, which include version
// conditions.
func TestBatcherLimits(t *testing.T) {
	service := &singleCommitMemory{Memory: NewMemory()}
	batcher := Batcher{Service: service, Limits: Limits{Entries: 10, Bytes: 1 << 20}}
	var group []Transaction
	for i := range 23 {
		group = append(group, put(string(rune('a'+i)), 0))
	}
	for i, r := range batcher.Commit(t.Context(), group) {
		if r.Err != nil {
			t.Errorf("transaction %d: %v", i, r.Err)
		}
	}
	if most := slices.Max(service.entries); most > 10 {
		t.Errorf("a call has %d entries, more than 10: %v", most, service.entries)
	}
}

// TestBatcherPartitions checks that a failure in one partition does not affect the results of
// the others.
func TestBatcherPartitions(t *testing.T) {
	good := &singleCommitMemory{Memory: NewMemory()}
	batcher := Batcher{
		Service:     lossyService{service: good, lostKey: "b"},
		Limits:      Limits{Entries: 100, Bytes: 1 << 20},
		PartitionOf: func(t Transaction) string { return t[0].(Put).Key },
	}
	results := batcher.Commit(t.Context(), []Transaction{put("a", 0), put("b", 0), put("c", 0)})
	for i, want := range []error{nil, ErrOutcomeUnknown, nil} {
		if !errors.Is(results[i].Err, want) {
			t.Errorf("transaction %d: error %v, want %v", i, results[i].Err, want)
		}
	}
}

// lossyService loses the replies of calls that write the row lostKey.
type lossyService struct {
	service SingleCommitService
	lostKey string
}

func (p lossyService) Apply(ctx context.Context, changes []Change) (int64, error) {
	if changes[0].(Put).Key == p.lostKey {
		return 0, ErrOutcomeUnknown
	}
	return p.service.Apply(ctx, changes)
}

// sizeLimitedService rejects calls with a value of more than limit bytes.
type sizeLimitedService struct {
	SingleCommitService
	limit int
}

func (p sizeLimitedService) Apply(ctx context.Context, changes []Change) (int64, error) {
	for _, change := range changes {
		if put, ok := change.(Put); ok && len(put.Value) > p.limit {
			return 0, ErrRejected
		}
	}
	return p.SingleCommitService.Apply(ctx, changes)
}

// TestRejectedTransactionFailsAlone guards against refusing callers whose transactions share a call
// with one that the service never accepts.
func TestRejectedTransactionFailsAlone(t *testing.T) {
	service := &singleCommitMemory{Memory: NewMemory()}
	batcher := Batcher{Service: sizeLimitedService{service, 10}, Limits: Limits{Entries: 100, Bytes: 1 << 20}}
	long := Transaction{Put{Table: "t", Key: "long", Value: make([]byte, 11)}}
	results := batcher.Commit(t.Context(), []Transaction{put("a", 0), long, put("b", 0), put("a", 5)})
	for i, want := range []error{nil, ErrRejected, nil} {
		if !errors.Is(results[i].Err, want) {
			t.Errorf("transaction %d: error %v, want %v", i, results[i].Err, want)
		}
	}
	var conflict *ConflictError
	if !errors.As(results[3].Err, &conflict) {
		t.Errorf("transaction 3: error %v, want a conflict", results[3].Err)
	}
}
