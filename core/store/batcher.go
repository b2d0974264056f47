package store

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
)

// SingleCommitService is a table service that takes one transaction per call.
type SingleCommitService interface {
	// Apply applies all changes or none and returns the version of the written rows. The
	// error is a *ConflictError with the present rows, or wraps ErrRejected, ErrUnavailable or
	// ErrOutcomeUnknown.
	Apply(ctx context.Context, changes []Change) (int64, error)
}

// Limits bound one call of a SingleCommitService.
type Limits struct {
	// Entries is the maximum number of version conditions and changes together.
	Entries int
	// Bytes is the maximum total size of the values.
	Bytes int
}

// Batcher commits groups of independent transactions through a service that takes one
// transaction per call. It merges the transactions of a partition into calls within the
// limits. If a call fails because of a version conflict, it sends the transactions without a
// conflict again. If the service rejects a call, it sends each transaction in a call of its own,
// so that one that the service never accepts fails alone. Transactions that write the same row
// never share a call, since each would see the version from before the other. Partitions do not
// wait for each other.
type Batcher struct {
	Service SingleCommitService
	Limits  Limits
	// PartitionOf returns the partition of a transaction; nil puts all into one partition.
	PartitionOf func(t Transaction) string
}

// Commit commits a group of transactions and returns the result of each, in their order.
func (b *Batcher) Commit(ctx context.Context, group []Transaction) []Result {
	results := make([]Result, len(group))
	partitions := make(map[string][]int)
	for i, t := range group {
		partition := ""
		if b.PartitionOf != nil {
			partition = b.PartitionOf(t)
		}
		partitions[partition] = append(partitions[partition], i)
	}
	var running sync.WaitGroup
	for _, remaining := range partitions {
		batch := &batch{Batcher: b, ctx: ctx, group: group, remaining: remaining, results: results, running: &running}
		running.Add(1)
		if len(partitions) == 1 {
			batch.run()
			continue
		}
		go batch.run()
	}
	running.Wait()
	return results
}

// batch commits the transactions of one partition. remaining, and all slices of ints below, have
// indexes into group. A batch writes only the results of its own transactions.
type batch struct {
	*Batcher
	ctx       context.Context
	group     []Transaction
	remaining []int
	results   []Result
	running   *sync.WaitGroup
}

func (b *batch) run() {
	defer b.running.Done()
	b.commit(b.remaining)
}

// commit commits transactions and sets their results.
func (b *batch) commit(remaining []int) {
	for len(remaining) > 0 {
		call, rest := selectIndependent(b.group, remaining, b.Limits)
		version, err := b.Service.Apply(b.ctx, mergeChanges(b.group, call))
		var conflict *ConflictError
		switch {
		case errors.As(err, &conflict):
			if failed, retry := splitConflicts(b.group, call, conflict, b.results); failed {
				remaining = slices.Concat(retry, rest)
				continue
			}
			err = fmt.Errorf("%w: conflict without a row of its own: %w", ErrUnavailable, err)
		case errors.Is(err, ErrRejected) && len(call) > 1:
			for _, i := range call {
				b.commit([]int{i})
			}
			remaining = rest
			continue
		}
		for _, i := range call {
			b.results[i] = Result{Version: version, Err: err}
		}
		remaining = rest
	}
}

// selectIndependent returns the transactions for the next call, which are within the limits
// and independent of each other, and the rest. A single transaction may exceed the limits.
func selectIndependent(group []Transaction, remaining []int, limits Limits) (call, rest []int) {
	taken := make(map[rowKey]bool)
	var used Limits
	for _, i := range remaining {
		size := sizeOf(group[i])
		full := used.Entries+size.Entries > limits.Entries || used.Bytes+size.Bytes > limits.Bytes
		if full && len(call) > 0 || sharesWrite(group[i], taken) {
			rest = append(rest, i)
			continue
		}
		for _, change := range group[i] {
			table, key, _ := condition(change)
			_, check := change.(Check)
			taken[rowKey{table, key}] = !check
		}
		used.Entries += size.Entries
		used.Bytes += size.Bytes
		call = append(call, i)
	}
	return call, rest
}

// sizeOf returns how much of the limits of a call a transaction uses. A version condition and a
// change count as one entry each.
func sizeOf(t Transaction) Limits {
	var size Limits
	for _, change := range t {
		_, _, expected := condition(change)
		if expected != nil {
			size.Entries++
		}
		switch c := change.(type) {
		case Put:
			size.Entries++
			size.Bytes += len(c.Value)
		case Delete:
			size.Entries++
		}
	}
	return size
}

// sharesWrite reports whether the transaction and the call, whose rows are in taken, have a row
// in common that at least one of them writes. The value in taken is true for written rows.
func sharesWrite(t Transaction, taken map[rowKey]bool) bool {
	for _, change := range t {
		table, key, _ := condition(change)
		written, in := taken[rowKey{table, key}]
		if _, check := change.(Check); in && (written || !check) {
			return true
		}
	}
	return false
}

// mergeChanges returns the changes of the transactions of a call, with each Check only once.
func mergeChanges(group []Transaction, call []int) []Change {
	var changes []Change
	checked := make(map[rowKey]bool)
	for _, i := range call {
		for _, change := range group[i] {
			if check, ok := change.(Check); ok {
				key := rowKey{check.Table, check.Key}
				if checked[key] {
					continue
				}
				checked[key] = true
			}
			changes = append(changes, change)
		}
	}
	return changes
}

// splitConflicts sets the results of the transactions of a call that are in conflict. It
// reports whether there are any, and returns the others, which are to be sent again.
func splitConflicts(group []Transaction, call []int, conflict *ConflictError, results []Result) (failed bool, retry []int) {
	present := make(map[rowKey]Row, len(conflict.Rows))
	for _, row := range conflict.Rows {
		present[rowKey{row.Table, row.Key}] = row
	}
	for _, i := range call {
		rows := conflictsOf(group[i], present)
		if len(rows) == 0 {
			retry = append(retry, i)
			continue
		}
		failed = true
		results[i] = Result{Err: &ConflictError{Rows: rows}}
	}
	return failed, retry
}

// conflictsOf returns the present rows that do not have the version that t expects.
func conflictsOf(t Transaction, present map[rowKey]Row) []Row {
	var rows []Row
	for _, change := range t {
		table, key, expected := condition(change)
		row, reported := present[rowKey{table, key}]
		if expected != nil && reported && row.Version != *expected {
			rows = append(rows, row)
		}
	}
	return rows
}
