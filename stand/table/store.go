package table

import (
	"slices"
	"strings"
	"sync"

	api "tanagerstack.org/core/api/tables"
)

// Store holds the rows of all tables.
type Store struct {
	mu      sync.Mutex
	version int64
	tables  map[string]*rowSet
}

// rowSet is one table: its rows, and their keys in order.
type rowSet struct {
	rows map[string]row
	keys []string
}

type row struct {
	version int64
	value   []byte
}

// NewStore returns a Store without rows.
func NewStore() *Store {
	return &Store{tables: make(map[string]*rowSet)}
}

// Apply applies one transaction whole, or reports the rows whose condition did not hold.
func (s *Store) Apply(operations []api.Operation) api.TransactionResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if conflicts := s.conflicts(operations); len(conflicts) > 0 {
		return api.TransactionResult{Conflicts: conflicts}
	}
	s.version++
	for i := range operations {
		s.change(&operations[i])
	}
	return api.TransactionResult{Applied: true, Version: s.version}
}

// Get returns a row, if it exists.
func (s *Store) Get(table, key string) (api.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.get(table, key)
	return found, found.Version > 0
}

// Scan returns up to limit rows whose key has the prefix and comes after the
// key after, and whether there are more.
func (s *Store) Scan(table, prefix, after string, limit int) ([]api.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []api.Row{}
	set := s.table(table)
	for _, key := range set.keys[set.first(prefix, after):] {
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

func (s *Store) conflicts(operations []api.Operation) []api.Row {
	var conflicts []api.Row
	for i := range operations {
		expected, set := operations[i].ExpectedVersion.Get()
		if !set {
			continue
		}
		present := s.get(operations[i].Table, operations[i].Key)
		if present.Version != expected {
			conflicts = append(conflicts, present)
		}
	}
	return conflicts
}

func (s *Store) change(operation *api.Operation) {
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
	present := s.table(table).rows[key]
	return api.Row{Table: table, Key: key, Version: present.version, Value: present.value}
}

// first returns the index of the first key that may match.
func (t *rowSet) first(prefix, after string) int {
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
	if _, present := t.rows[key]; !present {
		at, _ := slices.BinarySearch(t.keys, key)
		t.keys = slices.Insert(t.keys, at, key)
	}
	t.rows[key] = r
}

func (t *rowSet) remove(key string) {
	if _, present := t.rows[key]; !present {
		return
	}
	at, _ := slices.BinarySearch(t.keys, key)
	t.keys = slices.Delete(t.keys, at, at+1)
	delete(t.rows, key)
}
