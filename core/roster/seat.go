package roster

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// dropNoticeTimeout is how long a running VM that the list has dropped by mistake may take to
// read this in the stored roster and stop using its seat: the longest time between two
// refreshes plus the timeout of one call, rounded up.
const dropNoticeTimeout = 6 * time.Second

// seat is the right to a share of the slots of each target of a failure domain, as stored.
type seat struct {
	Seat int `json:"seat"`
	// VM is the holder. It keeps the seat across restarts, until the platform's list has
	// dropped it and another VM takes the seat.
	VM string `json:"vm"`
	// Instance is the process that may use the seat. It is empty after a graceful shutdown;
	// the last request of the VM ends at UsableAt then.
	Instance string    `json:"instance,omitempty"`
	TakenAt  time.Time `json:"taken-at"`
	// UsableAt is when the last request of any earlier instance has ended.
	UsableAt time.Time `json:"usable-at"`
	// FreeAt is set once the platform's list has dropped the VM; zero until then. Another VM
	// may take the seat from FreeAt on.
	FreeAt time.Time `json:"free-at,omitzero"`
	// DroppedAsOf is the time of the list from which the VM was missing. Only a later list
	// with the VM on it clears FreeAt.
	DroppedAsOf time.Time `json:"dropped-as-of,omitzero"`
}

// seatRow is the stored roster of one failure domain.
type seatRow struct {
	// Count is the number of seats that the slots of each target are divided among. VMs that
	// divide by different numbers would use overlapping slots.
	Count int    `json:"count"`
	Seats []seat `json:"seats"`
}

// SeatCountError reports that this VM is configured with a different number of seats than its
// failure domain uses. Domain and Setting are the two numbers.
type SeatCountError struct{ Domain, Setting int }

// Error describes the mismatch with both numbers.
func (e *SeatCountError) Error() string {
	return fmt.Sprintf("no seat for this VM: its failure domain has %d seats, but the VM is configured with %d", e.Domain, e.Setting)
}

func decodeSeats(value []byte) (seatRow, error) {
	var row seatRow
	if len(value) == 0 {
		return row, nil
	}
	if err := json.Unmarshal(value, &row); err != nil {
		return row, fmt.Errorf("decoding stored roster: %w", err)
	}
	return row, nil
}

// seatDecisionInput is the input of seatRow.desired.
type seatDecisionInput struct {
	now      time.Time
	vm       string
	instance string
	// seats is the number of seats that the VM is configured with.
	seats int
	// window is the longest time that a request may run; zero while no policy is known.
	window time.Duration
	skew   time.Duration
	// listed has the names of the entry VMs on the platform's list as of listedAt.
	listed   map[string]bool
	listedAt time.Time
}

// desired returns the row that the VM should write and reports whether it differs from r. In
// it the VM has a seat if one is available, and FreeAt is set for VMs that the list has
// dropped and cleared for those that are listed again. The error is a *SeatCountError if the
// VM may not have a seat; the returned row then only updates FreeAt of other VMs.
func (r seatRow) desired(in seatDecisionInput) (seatRow, bool, error) {
	row := seatRow{Count: r.Count, Seats: slices.Clone(r.Seats)}
	if !r.mayUseCount(in) {
		changed := false
		for i := range row.Seats {
			changed = row.Seats[i].VM != in.vm && row.Seats[i].updateFreeAt(in) || changed
		}
		return row, changed, &SeatCountError{Domain: r.Count, Setting: in.seats}
	}
	changed := row.changeCount(in)
	for i := range row.Seats {
		if row.Seats[i].VM == in.vm {
			changed = row.Seats[i].assignInstance(in) || changed
		} else {
			changed = row.Seats[i].updateFreeAt(in) || changed
		}
	}
	if row.seatOf(in.vm) == nil {
		changed = row.takeSeat(in) || changed
	}
	return row, changed, nil
}

// changeCount changes the number of seats to the one that the VM is configured with and
// reports whether it did. It drops the seats of other VMs. The VM keeps its own seat, now with
// number 0, and so still waits for the requests of its earlier instance.
func (r *seatRow) changeCount(in seatDecisionInput) bool {
	if r.Count == in.seats {
		return false
	}
	if r.Count != 0 {
		r.Seats = slices.DeleteFunc(r.Seats, func(s seat) bool { return s.VM != in.vm })
		for i := range r.Seats {
			r.Seats[i].Seat = 0
		}
	}
	r.Count = in.seats
	return true
}

// mayUseCount reports whether the VM may use the number of seats that it is configured with:
// the row has the same number or none, or no request of another VM can be running, so that
// the number may change.
func (r seatRow) mayUseCount(in seatDecisionInput) bool {
	if r.Count == 0 || r.Count == in.seats {
		return true
	}
	return !slices.ContainsFunc(r.Seats, func(s seat) bool { return s.VM != in.vm && !s.isIdle(in) && !s.isFree(in) })
}

// seatOf returns the seat of a VM, or nil if it has none.
func (r seatRow) seatOf(vm string) *seat {
	for i := range r.Seats {
		if r.Seats[i].VM == vm {
			return &r.Seats[i]
		}
	}
	return nil
}

// assignInstance assigns a seat that the VM holds to the VM's present instance and reports
// whether the seat changed. If an earlier instance may still have requests running, the seat
// becomes usable only after the longest request window. While that window is unknown, a seat
// with an earlier instance stays as it is.
func (s *seat) assignInstance(in seatDecisionInput) bool {
	cleared := s.clearFreeAt(in)
	if s.Instance == in.instance || !s.FreeAt.IsZero() {
		return cleared
	}
	if s.Instance != "" && in.window == 0 {
		return cleared
	}
	switch {
	case s.Instance == "":
		s.UsableAt = latest(in.now, s.UsableAt)
	case s.UsableAt.After(in.now.Add(in.skew)):
		// The earlier instance ended before it could use the seat.
	default:
		s.UsableAt = in.now.Add(in.window + in.skew)
	}
	s.Instance = in.instance
	s.TakenAt = in.now
	return true
}

// clearFreeAt clears FreeAt if a list later than DroppedAsOf shows the VM again, and reports
// whether it did.
func (s *seat) clearFreeAt(in seatDecisionInput) bool {
	if s.FreeAt.IsZero() || !in.listed[s.VM] || !in.listedAt.After(s.DroppedAsOf) {
		return false
	}
	s.FreeAt, s.DroppedAsOf = time.Time{}, time.Time{}
	return true
}

// updateFreeAt sets FreeAt if the list has dropped the holder, clears it if the holder is
// listed again, and reports whether the seat changed. A list from before the seat was taken is
// ignored: a VM takes its seat only after it was listed. FreeAt of a holder that was not shut
// down gracefully leaves time for it to read that it was dropped and for its requests to end.
func (s *seat) updateFreeAt(in seatDecisionInput) bool {
	switch {
	case !s.FreeAt.IsZero():
		return s.clearFreeAt(in)
	case in.listed[s.VM] || !in.listedAt.After(s.TakenAt.Add(in.skew)):
		return false
	case s.Instance == "":
		s.FreeAt = latest(in.now, s.UsableAt)
	case in.window == 0:
		return false
	default:
		s.FreeAt = in.now.Add(dropNoticeTimeout + in.window + in.skew)
	}
	s.DroppedAsOf = in.listedAt
	return true
}

// takeSeat assigns the VM the first seat that has no holder or is free, and reports whether
// there was one. A VM that is not on the platform's list gets none.
func (r *seatRow) takeSeat(in seatDecisionInput) bool {
	if !in.listed[in.vm] {
		return false
	}
	fresh := seat{VM: in.vm, Instance: in.instance, TakenAt: in.now, UsableAt: in.now}
	for number := range in.seats {
		at := slices.IndexFunc(r.Seats, func(s seat) bool { return s.Seat == number })
		fresh.Seat = number
		if at < 0 {
			r.Seats = append(r.Seats, fresh)
			slices.SortFunc(r.Seats, func(a, b seat) int { return a.Seat - b.Seat })
			return true
		}
		if r.Seats[at].isFree(in) {
			r.Seats[at] = fresh
			return true
		}
	}
	return false
}

// isIdle reports whether the holder was shut down gracefully and all its requests have ended.
func (s *seat) isIdle(in seatDecisionInput) bool {
	return s.Instance == "" && in.now.After(s.UsableAt.Add(in.skew))
}

// isFree reports whether another VM may take the seat.
func (s *seat) isFree(in seatDecisionInput) bool {
	return !s.FreeAt.IsZero() && in.now.After(s.FreeAt.Add(in.skew))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
