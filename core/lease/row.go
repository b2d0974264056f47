package lease

import (
	"encoding/json"
	"fmt"
	"time"
)

// Table is the platform's table with one lease row for each failure domain.
const Table = "lease"

// row is the lease as the platform's tables keep it.
type row struct {
	Holder string `json:"holder"`
	// Instance tells a process from an earlier one of the same name.
	Instance string    `json:"instance"`
	Epoch    int64     `json:"epoch"`
	Deadline time.Time `json:"deadline"`
	// TasksUntil is the latest deadline that any holder may have given to a task.
	TasksUntil time.Time `json:"tasks-until"`
	// Released says that the holder gave the lease up and sends nothing more.
	Released bool `json:"released,omitempty"`
	// Voters are the entry VMs of the domain's stored roster, as the holder saw it.
	// The holder may go on past its deadline only with a promise of each, so a VM
	// that is not among them must not take the lease while one of them is listed.
	Voters []string `json:"voters,omitempty"`
	// Former are earlier holders that never released the lease and may still
	// renew tasks while they are cut off from the platform.
	Former []PreviousHolder `json:"former,omitempty"`
}

// Former is an earlier holder whose end is not proved yet.
type PreviousHolder struct {
	Name     string `json:"name"`
	Instance string `json:"instance"`
	Epoch    int64  `json:"epoch"`
}

func decodeRow(data []byte) (row, error) {
	var r row
	if len(data) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return row{}, fmt.Errorf("decode lease row: %w", err)
	}
	return r, nil
}

// freeAt is the first instant at which another VM may take the lease.
func (r row) freeAt(skew time.Duration) time.Time {
	if r.Epoch == 0 || r.Released {
		return time.Time{}
	}
	return r.Deadline.Add(skew)
}

// successor is the row that the next holder writes.
func (r row) successor(name, instance string) row {
	next := row{
		Holder:     name,
		Instance:   instance,
		Epoch:      r.Epoch + 1,
		TasksUntil: r.TasksUntil,
		Voters:     r.Voters,
		Former:     r.Former,
	}
	if r.Epoch > 0 && !r.Released {
		next.Former = append(append([]PreviousHolder(nil), r.Former...), PreviousHolder{Name: r.Holder, Instance: r.Instance, Epoch: r.Epoch})
	}
	return next
}
