package store

import (
	"context"
	"math/rand"
	"sort"
	"strings"
	"sync"
	"time"
)

// Faults are the ways in which a Memory misbehaves. The zero value has none.
type Faults struct {
	// Down makes all calls fail with ErrUnavailable.
	Down bool
	// Delay is how long each call takes.
	Delay time.Duration
	// LostAnswers is the share of commits, from 0 to 1, that end as
	// ErrUnsettled. The fault's seed decides which of these took effect.
	LostAnswers float64
	// LostWrites is the share of the lost answers whose write is lost too.
	LostWrites float64
	// Seed seeds the choice of what is lost.
	Seed int64
}

// Memory keeps tables in memory. It is meant for tests and for trials without a
// platform; nothing of it lasts. It is safe for concurrent use.
type Memory struct {
	mu      sync.Mutex
	rows    map[rowKey]Row
	version int64
	faults  Faults
	random  *rand.Rand
}

type rowKey struct{ table, key string }

var _ Tables = (*Memory)(nil)

// NewMemory returns tables without rows and without faults.
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

// Reachable reports whether the tables are not down.
func (m *Memory) Reachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.faults.Down
}

// Commit applies the changes as one transaction.
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

// Read returns a row.
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

// wait applies the faults that come before a call takes effect.
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

// apply runs a transaction under the lock.
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

// conflicts returns the present rows whose condition does not hold.
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

// condition returns the row of a change and the version that it demands, if any.
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
