package table

import (
	"slices"
	"strings"
	"sync"

	api "tanagerstack.org/core/api/tables"
)

// Store holds the rows of all tables in memory. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	version int64
	tables  map[string]*rowSet
}

// rowSet holds the rows of one table and their keys in sorted order.
type rowSet struct {
	rows map[string]row
	keys []string
}

type row struct {
	version int64
	value   []byte
}

// NewStore returns a Store with no rows.
func NewStore() *Store {
	return &Store{tables: make(map[string]*rowSet)}
}

// Apply applies one transaction atomically. If the expected version of any row does not match, it
// changes nothing and returns the current state of the rows in conflict.
func (s *Store) Apply(operations []api.Operation) api.TransactionResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if conflicts := s.findConflicts(operations); len(conflicts) > 0 {
		return api.TransactionResult{Conflicts: conflicts}
	}
	s.version++
	for i := range operations {
		s.applyOperation(&operations[i])
	}
	return api.TransactionResult{Applied: true, Version: s.version}
}

// Get returns a row and whether it exists.
func (s *Store) Get(table, key string) (api.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.get(table, key)
	return found, found.Version > 0
}

// Scan returns, in key order, up to limit rows whose key has the given prefix and is greater than
// after, and whether more rows follow. An empty after starts at the first key with the prefix.
func (s *Store) Scan(table, prefix, after string, limit int) ([]api.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []api.Row{}
	set := s.table(table)
	for _, key := range set.keys[set.firstIndex(prefix, after):] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if len(found) == limit {
			return found, true
		}
		found = append(found, s.get(table, key))
	}
	return found, false
}

func (s *Store) findConflicts(operations []api.Operation) []api.Row {
	var conflicts []api.Row
	for i := range operations {
		expected, set := operations[i].ExpectedVersion.Get()
		if !set {
			continue
		}
		current := s.get(operations[i].Table, operations[i].Key)
		if current.Version != expected {
			conflicts = append(conflicts, current)
		}
	}
	return conflicts
}

func (s *Store) applyOperation(operation *api.Operation) {
	set := s.table(operation.Table)
	switch operation.Kind {
	case api.OperationKindPut:
		set.put(operation.Key, row{version: s.version, value: slices.Clone(operation.Value)})
	case api.OperationKindDelete:
		set.remove(operation.Key)
	case api.OperationKindCheck:
	}
}

func (s *Store) table(name string) *rowSet {
	set, found := s.tables[name]
	if !found {
		set = &rowSet{rows: make(map[string]row)}
		s.tables[name] = set
	}
	return set
}

func (s *Store) get(table, key string) api.Row {
	current := s.table(table).rows[key]
	return api.Row{Table: table, Key: key, Version: current.version, Value: current.value}
}

// firstIndex returns the index of the first key that may have the prefix and is greater than after.
func (t *rowSet) firstIndex(prefix, after string) int {
	if after < prefix {
		at, _ := slices.BinarySearch(t.keys, prefix)
		return at
	}
	at, found := slices.BinarySearch(t.keys, after)
	if found && after != "" {
		return at + 1
	}
	return at
}

func (t *rowSet) put(key string, r row) {
	if _, current := t.rows[key]; !current {
		at, _ := slices.BinarySearch(t.keys, key)
		t.keys = slices.Insert(t.keys, at, key)
	}
	t.rows[key] = r
}

func (t *rowSet) remove(key string) {
	if _, current := t.rows[key]; !current {
		return
	}
	at, _ := slices.BinarySearch(t.keys, key)
	t.keys = slices.Delete(t.keys, at, at+1)
	delete(t.rows, key)
}
