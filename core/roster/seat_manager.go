package roster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"tanagerstack.org/core/store"
)

const (
	// tableName is the table with a row for each failure domain.
	tableName = "roster"
	// PauseLimit is how long a VM's own loop may stand still before the VM must
	// read its seat again. It is far below the wait for a dropped VM's seat.
	PauseLimit = 2 * time.Second

	seatPeriod  = 3 * time.Second
	seatTimeout = 2 * time.Second
)

// stored is the roster row of a failure domain as last read.
type cachedRow struct {
	version int64
	row     seatRow
}

// seater keeps the VM's seat and knows those of all failure domains. Instants
// are given by its caller.
type seatManager struct {
	tables   store.Tables
	domain   string
	vm       string
	instance string

	mu   sync.Mutex
	rows map[string]cachedRow
	// confirmed is set while the VM knows its own seat: it has read the row and
	// has not been paused since.
	confirmed  bool
	lastTickAt time.Time
	// pausedAt is when a pause was last noticed. A read that began before it
	// confirms nothing.
	pausedAt time.Time
	// released is set for good once the seat was given up.
	released bool
}

func newSeatManager(opts Options, instance string) *seatManager {
	return &seatManager{
		tables:   opts.Tables,
		domain:   opts.Domain,
		vm:       opts.Name,
		instance: instance,
		rows:     make(map[string]cachedRow),
	}
}

// tick notes that the VM is running at now. After a pause the seat counts as
// unknown until it is read again.
func (s *seatManager) tick(now time.Time) {
	now = now.Round(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastTickAt) > PauseLimit && !s.lastTickAt.IsZero() {
		s.confirmed = false
		s.pausedAt = now
	}
	s.lastTickAt = now
}

// refresh reads the rows of all failure domains and changes that of its own
// where the VM's seat or the seats of dropped VMs ask for it.
func (s *seatManager) refresh(ctx context.Context, in seatDecisionInput) error {
	s.tick(in.now)
	rows, err := s.tables.Scan(ctx, tableName, "")
	if err != nil {
		return fmt.Errorf("seats: %w", err)
	}
	s.cacheRows(rows, in.now)
	if s.isReleased() {
		return nil
	}
	own := s.ownRow(rows)
	present, err := decodeSeats(own.Value)
	if err != nil {
		return err
	}
	in.vm, in.instance = s.vm, s.instance
	wanted, changed, fault := present.desired(in)
	if changed {
		return errors.Join(fault, s.write(ctx, own, wanted, in.now))
	}
	return fault
}

// own picks the row of the VM's failure domain.
func (s *seatManager) ownRow(rows []store.Row) store.Row {
	for _, row := range rows {
		if row.Key == s.domain {
			return row
		}
	}
	return store.Row{Table: tableName, Key: s.domain, Version: store.Absent}
}

// write replaces the VM's own row. A conflict is no error: the row that another
// VM has written is read with the next refresh.
func (s *seatManager) write(ctx context.Context, row store.Row, wanted seatRow, began time.Time) error {
	value, err := json.Marshal(wanted)
	if err != nil {
		return fmt.Errorf("seats: %w", err)
	}
	written, err := store.CompareAndSet(ctx, s.tables, row, value)
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		s.cacheRows(conflict.Rows, began)
		return nil
	case err != nil:
		return fmt.Errorf("seats: %w", err)
	}
	s.cacheRows([]store.Row{written}, began)
	return nil
}

// learn takes in rows that were read or written by a call that began at began.
func (s *seatManager) cacheRows(rows []store.Row, began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range rows {
		decoded, err := decodeSeats(row.Value)
		if err != nil {
			klog.ErrorS(err, "Ignored a stored roster", "domain", row.Key)
			continue
		}
		if row.Version >= s.rows[row.Key].version {
			s.rows[row.Key] = cachedRow{version: row.Version, row: decoded}
		}
	}
	if !began.Before(s.pausedAt) {
		s.confirmed = true
	}
}

// release gives up the use of the seat. The VM's last request ends at ended; the
// VM keeps the seat, and its next instance may use it from then on.
func (s *seatManager) release(ctx context.Context, now, ended time.Time) error {
	s.mu.Lock()
	s.released = true
	s.mu.Unlock()
	row, err := s.tables.Read(ctx, tableName, s.domain)
	if err != nil {
		return fmt.Errorf("releasing the seat: %w", err)
	}
	present, err := decodeSeats(row.Value)
	if err != nil {
		return err
	}
	mine := present.seatOf(s.vm)
	if mine == nil || mine.Instance != s.instance {
		return nil
	}
	mine.Instance, mine.UsableAt = "", latest(mine.UsableAt, latest(ended, now))
	return s.write(ctx, row, present, now)
}

func (s *seatManager) isReleased() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.released
}

// ownSeat returns the seat of this instance and the instant until which it may
// be used without reading the row again, or nil.
func (s *seatManager) ownSeat() (*seat, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.confirmed || s.released {
		return nil, time.Time{}
	}
	mine := s.rows[s.domain].row.seatOf(s.vm)
	if mine == nil || mine.Instance != s.instance || !mine.FreeAt.IsZero() {
		return nil, time.Time{}
	}
	return mine, s.lastTickAt.Add(PauseLimit)
}

// snapshot returns the seats of all failure domains and a number that grows
// with each change of them.
func (s *seatManager) snapshot() (map[string][]seat, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	generation := int64(0)
	seats := make(map[string][]seat, len(s.rows))
	for domain, row := range s.rows {
		seats[domain] = row.row.Seats
		generation += row.version
	}
	return seats, generation
}

// keeper refreshes the seats of a Tracker again and again.
type seatRefresher struct {
	tracker *Tracker
	// kick asks for a refresh before the next is due.
	trigger chan struct{}
}

func (k *seatRefresher) loop(ctx context.Context) {
	for {
		refreshing, cancel := context.WithTimeout(ctx, seatTimeout)
		err := k.tracker.seats.refresh(refreshing, k.tracker.seatDecisionInput())
		cancel()
		k.report(ctx, err)
		k.tracker.publish()
		wait := jitter(seatPeriod)
		if k.tracker.View().Seat < 0 {
			wait = jitter(seatPeriod / 6)
		}
		if !k.wait(ctx, wait) {
			return
		}
	}
}

// report logs what an operator has to mend, and the rest only where asked for.
func (k *seatRefresher) report(ctx context.Context, err error) {
	var wrongCount *SeatCountError
	switch {
	case err == nil || ctx.Err() != nil:
	case errors.As(err, &wrongCount):
		klog.ErrorS(err, "Set --seats to the same number on all VMs")
	default:
		klog.V(1).ErrorS(err, "Stored roster not refreshed")
	}
}

// wait reports whether ctx still holds when the next refresh is due.
func (k *seatRefresher) wait(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-k.trigger:
		return true
	case <-ctx.Done():
		return false
	}
}

// jitter spreads a period by a fifth to both sides, so that VMs which started
// together do not call together.
func jitter(period time.Duration) time.Duration {
	return period*4/5 + time.Duration(rand.Int63n(int64(period)*2/5))
}
