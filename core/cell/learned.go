package cell

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"tanagerstack.org/core/store"
)

// learnedTable holds what was learned about durations, one row per queue. Only the leader writes it.
const learnedTable = "learned"

const (
	// learnedInterval is the time between two rounds of writing learned durations. What a takeover
	// loses is learned again in about that time.
	learnedInterval = 5 * time.Second
	// learnedRowBytes is the largest row of learned durations.
	learnedRowBytes = 64 << 10
	// learnedRoundBytes bounds what a round writes, so that the smallest link, 10 Mbit/s, is busy
	// with it for at most a quarter of a second. Queues that did not fit come first in the next.
	learnedRoundBytes = 256 << 10
	// learnedReadPause is the wait before learned durations are read again after a failure.
	learnedReadPause = time.Second
)

// learnedStore reads learned durations once after a takeover, and then writes those that changed. What
// fails there costs only knowledge: neither the takeover nor the engine waits for it.
type learnedStore struct {
	leader *leader
	// epochVersion is the version of the epoch row as this leader last saw it.
	epochVersion int64
	// written has the revision of each queue that is stored, or was read.
	written map[string]int64
	// next is the index of the queue at which the next round begins.
	next int
}

func newLearnedStore(l *leader) *learnedStore {
	return &learnedStore{leader: l, epochVersion: l.version, written: make(map[string]int64)}
}

// run reads and writes learned durations until ctx ends. While the engine does not use them, it does
// nothing.
func (s *learnedStore) run(ctx context.Context) {
	read := false
	for ctx.Err() == nil {
		pause := learnedInterval
		switch {
		case !s.inUse():
		case !read:
			read = s.read(ctx)
			if !read {
				pause = learnedReadPause
			}
		default:
			s.write(ctx)
		}
		store.Sleep(ctx, pause)
	}
}

func (s *learnedStore) inUse() bool {
	s.leader.mu.Lock()
	defer s.leader.mu.Unlock()
	return s.leader.engine.Learned() != nil
}

// read adds the stored durations to the engine. It reports false if the store gave no answer: until
// it has, nothing is written, so that what an earlier leader learned is not lost.
func (s *learnedStore) read(ctx context.Context) bool {
	n := s.leader.node
	began := time.Now()
	rows, err := n.opts.Store.Scan(ctx, learnedTable, "")
	if err != nil {
		n.metrics.learnedRows.WithLabelValues("read-failed").Inc()
		n.opts.Logger.Warn("learned durations not read", "error", err)
		return false
	}
	for _, row := range rows {
		if err := s.add(row); err != nil {
			n.noteUnreadableRow("durations", row, err)
			continue
		}
		n.metrics.learnedRows.WithLabelValues("read").Inc()
	}
	n.opts.Logger.Info("learned durations read", "epoch", s.leader.epoch, "rows", len(rows), "took", time.Since(began))
	return true
}

// add adds a stored row to the engine. A row that is too large is not one of ours.
func (s *learnedStore) add(row store.Row) error {
	if len(row.Value) > learnedRowBytes {
		return fmt.Errorf("%d bytes exceed the limit of %d", len(row.Value), learnedRowBytes)
	}
	s.leader.mu.Lock()
	defer s.leader.mu.Unlock()
	model := s.leader.engine.Learned()
	if model == nil {
		return nil
	}
	if err := model.Decode(row.Key, row.Value); err != nil {
		return err
	}
	s.written[row.Key] = model.Revision(row.Key)
	return nil
}

// write writes the queues that have changed, as many as fit in a round.
func (s *learnedStore) write(ctx context.Context) {
	queues := s.queues()
	size := 0
	for i := range queues {
		queue := queues[(s.next+i)%len(queues)]
		data, revision := s.encode(queue)
		if data == nil {
			continue
		}
		if size += len(data); size > learnedRoundBytes {
			s.next = (s.next + i) % len(queues)
			return
		}
		if err := s.put(ctx, queue, data); err != nil && !errors.Is(err, store.ErrRejected) {
			return
		}
		// A row that the store never accepts must not hold up the others.
		s.written[queue] = revision
	}
	s.next = 0
}

func (s *learnedStore) queues() []string {
	s.leader.mu.Lock()
	defer s.leader.mu.Unlock()
	model := s.leader.engine.Learned()
	if model == nil {
		return nil
	}
	return model.Queues()
}

// encode returns the row of a queue, or nil if it has not changed or cannot be encoded.
func (s *learnedStore) encode(queue string) (data []byte, revision int64) {
	limit := learnedRowBytes
	if row := s.leader.node.opts.MaxRowBytes; row > 0 {
		limit = min(limit, row)
	}
	s.leader.mu.Lock()
	defer s.leader.mu.Unlock()
	model := s.leader.engine.Learned()
	if model == nil {
		return nil, 0
	}
	revision = model.Revision(queue)
	if revision == s.written[queue] {
		return nil, revision
	}
	data, err := model.Encode(queue, limit)
	if err != nil {
		s.leader.node.opts.Logger.Warn("learned durations not encoded", "queue", queue, "error", err)
		s.written[queue] = revision
		return nil, revision
	}
	return data, revision
}

// put writes a row under the epoch.
func (s *learnedStore) put(ctx context.Context, queue string, data []byte) error {
	n := s.leader.node
	_, err := n.opts.Store.Commit(ctx,
		store.Check{Table: LeaderTable, Key: epochKey, Expected: s.epochVersion},
		store.Put{Table: learnedTable, Key: queue, Value: data})
	if err == nil {
		n.metrics.learnedRows.WithLabelValues("written").Inc()
		return nil
	}
	n.metrics.learnedRows.WithLabelValues("write-failed").Inc()
	n.opts.Logger.Warn("learned durations not written", "queue", queue, "bytes", len(data), "error", err)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		s.correctEpoch(conflict)
	}
	return err
}

// correctEpoch takes over the version of the epoch row if the row still has this leader's epoch: the
// answer to the write of the row may have given a later version. A later leader ends this one in
// other ways.
func (s *learnedStore) correctEpoch(conflict *store.ConflictError) {
	for _, row := range conflict.Rows {
		if row.Table == LeaderTable && string(row.Value) == strconv.FormatInt(s.leader.epoch, 10) {
			s.epochVersion = row.Version
		}
	}
}
