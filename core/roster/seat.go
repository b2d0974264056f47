package roster

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// noticeFor is how long a VM that the list dropped by mistake may take to read
// so in the stored roster and to stop using its seat: one refresh at its latest
// and one call, rounded up.
const dropNoticeTimeout = 6 * time.Second

// seat is a share of the slots of each target of a failure domain.
type seat struct {
	Seat int `json:"seat"`
	// VM keeps the seat over restarts, until the platform's list drops it.
	VM string `json:"vm"`
	// Instance is the process that may use the seat. It is empty after a
	// graceful shutdown, when no request of the VM is in flight.
	Instance string    `json:"instance,omitempty"`
	TakenAt  time.Time `json:"taken-at"`
	// UsableAt is when the last request of an earlier instance must have ended.
	UsableAt time.Time `json:"usable-at"`
	// FreeAt is set once the list has dropped the VM. Another VM may take the
	// seat from then on.
	FreeAt time.Time `json:"free-at,omitzero"`
	// DroppedAsOf is the instant of the list that lacked the VM. Only a younger
	// list that shows the VM again takes FreeAt back.
	DroppedAsOf time.Time `json:"dropped-as-of,omitzero"`
}

// seatRow is the stored roster of one failure domain.
type seatRow struct {
	// Count is the number of seats that the slots of targets are divided among.
	// VMs that divide by different numbers would overlap.
	Count int    `json:"count"`
	Seats []seat `json:"seats"`
}

// CountError reports a VM whose setting differs from that of its failure domain.
type SeatCountError struct{ Domain, Setting int }

// Error names both numbers.
func (e *SeatCountError) Error() string {
	return fmt.Sprintf("the failure domain is divided into %d seats, but this VM is set to %d: it gets no seat", e.Domain, e.Setting)
}

func decodeSeats(value []byte) (seatRow, error) {
	var row seatRow
	if len(value) == 0 {
		return row, nil
	}
	if err := json.Unmarshal(value, &row); err != nil {
		return row, fmt.Errorf("stored roster: %w", err)
	}
	return row, nil
}

// seatInput is what the decision about a row of seats rests on.
type seatDecisionInput struct {
	now      time.Time
	vm       string
	instance string
	// seats is the number of seats of the failure domain.
	seats int
	// window is the longest window of a request; it is zero while no policy is known.
	window time.Duration
	skew   time.Duration
	// listed has the names on the platform's list, as it was at listedAt.
	listed   map[string]bool
	listedAt time.Time
}

// next returns the row as the VM wants it, and whether that differs from r. It
// takes or keeps the VM's own seat, and starts or ends the wait for the seats of
// VMs that the list has dropped. The error is a *CountError where the VM may not
// have a seat; the row it comes with only ages the seats of others.
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

// recount divides the failure domain anew, if the VM's setting asks for it. The
// VM keeps a seat, and with it the wait for its earlier instance.
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

// fits reports whether the VM divides targets as its failure domain does. A
// domain in which no request of another VM can run may be divided anew.
func (r seatRow) mayUseCount(in seatDecisionInput) bool {
	if r.Count == 0 || r.Count == in.seats {
		return true
	}
	return !slices.ContainsFunc(r.Seats, func(s seat) bool { return s.VM != in.vm && !s.isIdle(in) && !s.isFree(in) })
}

// of returns the seat of a VM, or nil.
func (r seatRow) seatOf(vm string) *seat {
	for i := range r.Seats {
		if r.Seats[i].VM == vm {
			return &r.Seats[i]
		}
	}
	return nil
}

// keep makes a seat that the VM has the seat of its present instance.
func (s *seat) assignInstance(in seatDecisionInput) bool {
	relisted := s.clearFreeAt(in)
	if s.Instance == in.instance || !s.FreeAt.IsZero() {
		return relisted
	}
	if s.Instance != "" && in.window == 0 {
		return relisted
	}
	switch {
	case s.Instance == "":
		s.UsableAt = latest(in.now, s.UsableAt)
	case s.UsableAt.After(in.now.Add(in.skew)):
		// The earlier instance ended before it used the seat.
	default:
		s.UsableAt = in.now.Add(in.window + in.skew)
	}
	s.Instance = in.instance
	s.TakenAt = in.now
	return true
}

// relist takes FreeAt back where the list shows the VM again.
func (s *seat) clearFreeAt(in seatDecisionInput) bool {
	if s.FreeAt.IsZero() || !in.listed[s.VM] || !in.listedAt.After(s.DroppedAsOf) {
		return false
	}
	s.FreeAt, s.DroppedAsOf = time.Time{}, time.Time{}
	return true
}

// age starts the wait for the seat of a VM that the list has dropped, and ends
// it for one that is listed again. A list from before the seat was taken proves
// nothing, since a VM takes its seat only after it was listed.
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

// take gives the VM a seat that nobody has, or one whose wait has ended.
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

// idle reports whether the holder was shut down gracefully.
func (s *seat) isIdle(in seatDecisionInput) bool {
	return s.Instance == "" && in.now.After(s.UsableAt.Add(in.skew))
}

func (s *seat) isFree(in seatDecisionInput) bool {
	return !s.FreeAt.IsZero() && in.now.After(s.FreeAt.Add(in.skew))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
