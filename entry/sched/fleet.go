package sched

import (
	"encoding/json"
	"fmt"
	"sort"

	"tanagerstack.org/core/roster"
	"tanagerstack.org/core/store"
)

// membership is what the platform's list says of a worker.
type membership int

const (
	// gone: the list does not have the worker.
	gone membership = iota
	member
	leavingMember
)

// fleet is the row of the workers that may have tasks of the domain. A worker is
// in the row before the first task is sent to it, so that a new holder knows
// whom to ask even when the platform's list has changed.
type fleet struct {
	version int64
	workers map[string]fleetWorker
}

// fleetWorker is a worker in the row.
type fleetWorker struct {
	Name         string `json:"name"`
	Rack         string `json:"rack"`
	Address      string `json:"address"`
	Millicores   int64  `json:"millicores"`
	MemoryBytes  int64  `json:"memory-bytes"`
	Accelerators int    `json:"accelerators"`
}

func fleetWorkerOf(w roster.Worker) fleetWorker {
	return fleetWorker{
		Name:         w.Name,
		Rack:         w.Rack,
		Address:      w.Address.String(),
		Millicores:   w.Capacity.Millicores,
		MemoryBytes:  w.Capacity.MemoryBytes,
		Accelerators: w.Capacity.Accelerators,
	}
}

func (w fleetWorker) capacity() roster.Resources {
	return roster.Resources{Millicores: w.Millicores, MemoryBytes: w.MemoryBytes, Accelerators: w.Accelerators}
}

func (f *fleet) decode(row store.Row) error {
	f.version = row.Version
	f.workers = make(map[string]fleetWorker)
	if row.Version == store.Absent {
		return nil
	}
	var workers []fleetWorker
	if err := json.Unmarshal(row.Value, &workers); err != nil {
		return fmt.Errorf("decode the fleet's row: %w", err)
	}
	for _, w := range workers {
		f.workers[w.Name] = w
	}
	return nil
}

func encodeFleet(workers map[string]fleetWorker) ([]byte, error) {
	sorted := make([]fleetWorker, 0, len(workers))
	for _, w := range workers {
		sorted = append(sorted, w)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	return json.Marshal(sorted)
}
