package store

import (
	"context"
	"math/rand"
	"sort"
	"strings"
	"sync"
	"time"
)

// Faults are the faults that a Memory simulates. The zero value has none.
type Faults struct {
	// Down makes all calls fail with ErrUnavailable.
	Down bool
	// Delay is how long each call takes.
	Delay time.Duration
	// LostAnswers is the fraction of commits, from 0 to 1, that fail with ErrOutcomeUnknown.
	LostAnswers float64
	// LostWrites is the fraction of these commits, from 0 to 1, that are not applied.
	LostWrites float64
	// Seed seeds the random choice of both.
	Seed int64
}

// Memory is an in-memory implementation of Tables, for tests and for use without a platform. It
// is safe for concurrent use.
type Memory struct {
	mu      sync.Mutex
	rows    map[rowKey]Row
	version int64
	faults  Faults
	random  *rand.Rand
}

type rowKey struct{ table, key string }

var _ Tables = (*Memory)(nil)

// NewMemory returns a Memory without rows and faults.
func NewMemory() *Memory {
	return &Memory{rows: make(map[rowKey]Row), random: rand.New(rand.NewSource(0))}
}

// SetFaults replaces the faults. It does not change rows.
func (m *Memory) SetFaults(faults Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = faults
	m.random = rand.New(rand.NewSource(faults.Seed))
}

// Reachable reports whether the faults leave the tables reachable.
func (m *Memory) Reachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.faults.Down
}

// Commit applies the changes as one transaction, as Tables.Commit does.
func (m *Memory) Commit(ctx context.Context, changes ...Change) (int64, error) {
	if err := m.delayOrFail(ctx); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	lost := m.random.Float64() < m.faults.LostAnswers
	if lost && m.random.Float64() < m.faults.LostWrites {
		return 0, ErrOutcomeUnknown
	}
	version, err := m.apply(changes)
	if lost {
		return 0, ErrOutcomeUnknown
	}
	return version, err
}

// Read returns a row, with version Absent if it does not exist.
func (m *Memory) Read(ctx context.Context, table, key string) (Row, error) {
	if err := m.delayOrFail(ctx); err != nil {
		return Row{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.row(table, key), nil
}

// Scan returns the rows of a table whose key has the prefix, in key order.
func (m *Memory) Scan(ctx context.Context, table, prefix string) ([]Row, error) {
	if err := m.delayOrFail(ctx); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []Row
	for key, row := range m.rows {
		if key.table == table && strings.HasPrefix(key.key, prefix) {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, nil
}

// delayOrFail applies the faults Delay and Down, which come before a call takes effect. It
// returns ErrUnavailable also if ctx has ended.
func (m *Memory) delayOrFail(ctx context.Context) error {
	m.mu.Lock()
	faults := m.faults
	m.mu.Unlock()
	if faults.Delay > 0 {
		timer := time.NewTimer(faults.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	if faults.Down || ctx.Err() != nil {
		return ErrUnavailable
	}
	return nil
}

func (m *Memory) row(table, key string) Row {
	if row, ok := m.rows[rowKey{table, key}]; ok {
		return row
	}
	return Row{Table: table, Key: key, Version: Absent}
}

// apply applies a transaction. The caller must hold m.mu.
func (m *Memory) apply(changes []Change) (int64, error) {
	if conflicts := m.conflicts(changes); len(conflicts) > 0 {
		return 0, &ConflictError{Rows: conflicts}
	}
	m.version++
	for _, change := range changes {
		switch c := change.(type) {
		case Put:
			m.rows[rowKey{c.Table, c.Key}] = Row{
				Table:   c.Table,
				Key:     c.Key,
				Version: m.version,
				Value:   append([]byte(nil), c.Value...),
			}
		case Delete:
			delete(m.rows, rowKey{c.Table, c.Key})
		case Check:
		}
	}
	return m.version, nil
}

// conflicts returns the present rows that do not have the expected version.
func (m *Memory) conflicts(changes []Change) []Row {
	var conflicts []Row
	for _, change := range changes {
		table, key, expected := condition(change)
		if expected == nil {
			continue
		}
		if present := m.row(table, key); present.Version != *expected {
			conflicts = append(conflicts, present)
		}
	}
	return conflicts
}

// condition returns the row of a change and the version that it expects, or nil if it expects
// none.
func condition(change Change) (table, key string, expected *int64) {
	switch c := change.(type) {
	case Put:
		return c.Table, c.Key, c.Expected
	case Delete:
		return c.Table, c.Key, c.Expected
	case Check:
		return c.Table, c.Key, &c.Expected
	default:
		return "", "", nil
	}
}
