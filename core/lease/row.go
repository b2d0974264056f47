package lease

import (
	"encoding/json"
	"fmt"
	"time"
)

// Table is the name of the platform's table that has one lease row for each failure domain.
const Table = "lease"

// row is the stored form of a lease.
type row struct {
	Holder string `json:"holder"`
	// Instance is a random ID that distinguishes the holder's process from others of the
	// same VM.
	Instance string    `json:"instance"`
	Epoch    int64     `json:"epoch"`
	Deadline time.Time `json:"deadline"`
	// MaxTaskDeadline is the latest deadline that any holder may have given to a task.
	MaxTaskDeadline time.Time `json:"tasks-until"`
	// Released is set once the holder has given up the lease and sends no more commands.
	Released bool `json:"released,omitempty"`
	// Voters are the entry VMs in the domain's stored roster, as last seen by the holder. The
	// holder may keep the lease past its deadline only if each of them promises it, so a VM
	// that is not a voter must not acquire the lease while a voter is in the roster.
	Voters []string `json:"voters,omitempty"`
	// PreviousHolders are holders that did not release the lease and may still renew task
	// leases while they are cut off from the platform.
	PreviousHolders []PreviousHolder `json:"former,omitempty"`
}

// PreviousHolder is a holder that is not yet proved to have ended.
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

// freeAt returns the time after which another VM may acquire the lease. It is the zero time
// if the lease was never held or is released.
func (r row) freeAt(skew time.Duration) time.Time {
	if r.Epoch == 0 || r.Released {
		return time.Time{}
	}
	return r.Deadline.Add(skew)
}

// successor returns the row of the next holder, without its deadline.
func (r row) successor(name, instance string) row {
	next := row{
		Holder:          name,
		Instance:        instance,
		Epoch:           r.Epoch + 1,
		MaxTaskDeadline: r.MaxTaskDeadline,
		Voters:          r.Voters,
		PreviousHolders: r.PreviousHolders,
	}
	if r.Epoch > 0 && !r.Released {
		next.PreviousHolders = append(append([]PreviousHolder(nil), r.PreviousHolders...), PreviousHolder{Name: r.Holder, Instance: r.Instance, Epoch: r.Epoch})
	}
	return next
}
