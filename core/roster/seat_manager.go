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
	// tableName is the table of the stored roster, with one row per failure domain.
	tableName = "roster"
	// PauseLimit is how long a VM's own loop may be paused before the VM must read its seat
	// again. It is far shorter than the wait before another VM may take the seat of a dropped
	// VM.
	PauseLimit = 2 * time.Second

	seatPeriod  = 3 * time.Second
	seatTimeout = 2 * time.Second
)

// cachedRow is the roster row of a failure domain as last read or written.
type cachedRow struct {
	version int64
	row     seatRow
}

// seatManager maintains the VM's own seat and caches the seats of all failure domains. Its
// callers supply the current time.
type seatManager struct {
	tables   store.Tables
	domain   string
	vm       string
	instance string

	mu   sync.Mutex
	rows map[string]cachedRow
	// confirmed is set while the cached row of the VM's own seat can be relied on: it was read
	// or written after the last pause.
	confirmed  bool
	lastTickAt time.Time
	// pausedAt is when a pause was last detected. A call that started before it does not set
	// confirmed.
	pausedAt time.Time
	// released is set when the seat is released, and never cleared.
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

// tick records that the VM is running at now. If more than PauseLimit has passed since the
// last tick, the seat is unconfirmed until it is read again.
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

// refresh reads the rows of all failure domains and updates the one of the VM's own failure
// domain if seatRow.desired differs from it. The error joins a *SeatCountError with the error
// of the write.
func (s *seatManager) refresh(ctx context.Context, in seatDecisionInput) error {
	s.tick(in.now)
	rows, err := s.tables.Scan(ctx, tableName, "")
	if err != nil {
		return fmt.Errorf("reading stored roster: %w", err)
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
	wanted, changed, countErr := present.desired(in)
	if changed {
		return errors.Join(countErr, s.write(ctx, own, wanted, in.now))
	}
	return countErr
}

// ownRow returns the row of the VM's failure domain, or an absent row.
func (s *seatManager) ownRow(rows []store.Row) store.Row {
	for _, row := range rows {
		if row.Key == s.domain {
			return row
		}
	}
	return store.Row{Table: tableName, Key: s.domain, Version: store.Absent}
}

// write replaces the row of the VM's failure domain. startedAt is when the refresh or release that
// led to the write started. A conflict is not an error: the row of the other VM is cached, and
// the next refresh starts from it.
func (s *seatManager) write(ctx context.Context, row store.Row, wanted seatRow, startedAt time.Time) error {
	value, err := json.Marshal(wanted)
	if err != nil {
		return fmt.Errorf("encoding stored roster: %w", err)
	}
	written, err := store.CompareAndSet(ctx, s.tables, row, value)
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		s.cacheRows(conflict.Rows, startedAt)
		return nil
	case err != nil:
		return fmt.Errorf("writing stored roster: %w", err)
	}
	s.cacheRows([]store.Row{written}, startedAt)
	return nil
}

// cacheRows caches rows that were read or written by a call that started at startedAt. Rows that
// are older than the cached ones or cannot be decoded are ignored.
func (s *seatManager) cacheRows(rows []store.Row, startedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range rows {
		decoded, err := decodeSeats(row.Value)
		if err != nil {
			klog.ErrorS(err, "stored roster ignored", "domain", row.Key)
			continue
		}
		if row.Version >= s.rows[row.Key].version {
			s.rows[row.Key] = cachedRow{version: row.Version, row: decoded}
		}
	}
	if !startedAt.Before(s.pausedAt) {
		s.confirmed = true
	}
}

// release ends this instance's use of the seat. The VM keeps the seat, and its next instance
// may use it from requestsEnd on, when the last request of this instance has ended.
func (s *seatManager) release(ctx context.Context, now, requestsEnd time.Time) error {
	s.mu.Lock()
	s.released = true
	s.mu.Unlock()
	row, err := s.tables.Read(ctx, tableName, s.domain)
	if err != nil {
		return fmt.Errorf("releasing seat: %w", err)
	}
	present, err := decodeSeats(row.Value)
	if err != nil {
		return err
	}
	own := present.seatOf(s.vm)
	if own == nil || own.Instance != s.instance {
		return nil
	}
	own.Instance, own.UsableAt = "", latest(own.UsableAt, latest(requestsEnd, now))
	return s.write(ctx, row, present, now)
}

func (s *seatManager) isReleased() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.released
}

// ownSeat returns the seat of this instance and the time until which it may be used without
// reading the row again. It returns nil if the instance has no confirmed seat.
func (s *seatManager) ownSeat() (*seat, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.confirmed || s.released {
		return nil, time.Time{}
	}
	own := s.rows[s.domain].row.seatOf(s.vm)
	if own == nil || own.Instance != s.instance || !own.FreeAt.IsZero() {
		return nil, time.Time{}
	}
	return own, s.lastTickAt.Add(PauseLimit)
}

// snapshot returns the seats of all failure domains and their generation, a number that
// increases with each change.
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

// seatRefresher refreshes the seats of a Tracker periodically.
type seatRefresher struct {
	tracker *Tracker
	// trigger starts a refresh at once.
	trigger chan struct{}
}

func (r *seatRefresher) loop(ctx context.Context) {
	for {
		refreshCtx, cancel := context.WithTimeout(ctx, seatTimeout)
		err := r.tracker.seats.refresh(refreshCtx, r.tracker.seatDecisionInput())
		cancel()
		r.report(ctx, err)
		r.tracker.publish()
		wait := jitter(seatPeriod)
		if r.tracker.View().Seat < 0 {
			wait = jitter(seatPeriod / 6)
		}
		if !r.wait(ctx, wait) {
			return
		}
	}
}

// report logs an error that an operator has to fix, and other errors only at verbosity 1 or
// higher.
func (r *seatRefresher) report(ctx context.Context, err error) {
	var wrongCount *SeatCountError
	switch {
	case err == nil || ctx.Err() != nil:
	case errors.As(err, &wrongCount):
		klog.ErrorS(err, "set --seats to the same number on all VMs")
	default:
		klog.V(1).ErrorS(err, "stored roster not refreshed")
	}
}

// wait waits for the given time or a trigger. It reports false if ctx ended first.
func (r *seatRefresher) wait(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.trigger:
		return true
	case <-ctx.Done():
		return false
	}
}

// jitter returns a random time within 20% of period, so that VMs that started at the same
// time do not make their calls at the same time.
func jitter(period time.Duration) time.Duration {
	return period*4/5 + time.Duration(rand.Int63n(int64(period)*2/5))
}
