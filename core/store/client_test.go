package store

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tanagerstack.org/core/api/tables"
)

// service is a table service over a Memory that can lose replies.
type service struct {
	*Memory
	server *httptest.Server
	// dropReply reports whether to close the connection instead of replying, after the commit
	// with the given number took effect. Nil means never.
	dropReply func(call int64) bool
	// calls counts commit calls.
	calls atomic.Int64
}

func newService(t testing.TB, dropReply func(int64) bool) *service {
	t.Helper()
	s := &service{Memory: NewMemory(), dropReply: dropReply}
	handler, err := tables.NewServer(s)
	if err != nil {
		t.Fatal(err)
	}
	s.server = httptest.NewServer(handler)
	t.Cleanup(s.server.Close)
	return s
}

func (s *service) client(t testing.TB, opts Options) *Client {
	t.Helper()
	opts.Address = netip.MustParseAddrPort(strings.TrimPrefix(s.server.URL, "http://"))
	c, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func (s *service) Commit(ctx context.Context, request *tables.CommitRequest) (*tables.CommitReply, error) {
	reply := &tables.CommitReply{}
	for _, transaction := range request.Transactions {
		reply.Results = append(reply.Results, s.apply(ctx, transaction))
	}
	if s.dropReply != nil && s.dropReply(s.calls.Add(1)) {
		panic(http.ErrAbortHandler)
	}
	return reply, nil
}

func (s *service) apply(ctx context.Context, transaction tables.Transaction) tables.TransactionResult {
	var changes []Change
	for _, o := range transaction.Operations {
		var expected *int64
		if version, ok := o.ExpectedVersion.Get(); ok {
			expected = &version
		}
		switch o.Kind {
		case tables.OperationKindPut:
			changes = append(changes, Put{Table: o.Table, Key: o.Key, Value: o.Value, Expected: expected})
		case tables.OperationKindDelete:
			changes = append(changes, Delete{Table: o.Table, Key: o.Key, Expected: expected})
		default:
			changes = append(changes, Check{Table: o.Table, Key: o.Key, Expected: *expected})
		}
	}
	version, err := s.Memory.Commit(ctx, changes...)
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		result := tables.TransactionResult{}
		for _, row := range conflict.Rows {
			result.Conflicts = append(result.Conflicts, tables.Row(row))
		}
		return result
	}
	return tables.TransactionResult{Applied: true, Version: version}
}

func (s *service) Read(ctx context.Context, request *tables.ReadRequest) (*tables.RowList, error) {
	list := &tables.RowList{}
	for _, key := range request.Keys {
		if row, _ := s.Memory.Read(ctx, key.Table, key.Key); row.Version != Absent {
			list.Rows = append(list.Rows, tables.Row(row))
		}
	}
	return list, nil
}

func (s *service) Scan(ctx context.Context, params tables.ScanParams) (*tables.RowList, error) {
	rows, _ := s.Memory.Scan(ctx, params.Table, params.Prefix.Value)
	list := &tables.RowList{}
	for _, row := range rows {
		if row.Key <= params.After.Value {
			continue
		}
		if len(list.Rows) == params.Limit.Value {
			list.More = true
			break
		}
		list.Rows = append(list.Rows, tables.Row(row))
	}
	return list, nil
}

func (s *service) NewError(_ context.Context, err error) *tables.ProblemStatusCode {
	return &tables.ProblemStatusCode{StatusCode: http.StatusInternalServerError, Response: tables.Problem{Detail: err.Error()}}
}

// TestClientOutcomes checks the error of a commit for each kind of failure, and whether the row
// was written.
func TestClientOutcomes(t *testing.T) {
	never := func(int64) bool { return false }
	always := func(int64) bool { return true }
	cases := map[string]struct {
		dropReply func(int64) bool
		stopped   bool
		expected  int64
		want      error
		written   bool
	}{
		"applied":            {dropReply: never, written: true},
		"conflict":           {dropReply: never, expected: 99, want: &ConflictError{}},
		"answer lost":        {dropReply: always, want: ErrOutcomeUnknown, written: true},
		"connection refused": {stopped: true, want: ErrUnavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newService(t, c.dropReply)
			client := s.client(t, Options{})
			if c.stopped {
				s.server.Close()
			}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err := client.Commit(ctx, Put{Table: "t", Key: "k", Value: []byte("v"), Expected: Expect(c.expected)})
			var conflict *ConflictError
			if errors.As(c.want, &conflict) != errors.As(err, &conflict) || conflict == nil && !errors.Is(err, c.want) {
				t.Fatalf("commit returned error %v, want %v", err, c.want)
			}
			row, _ := s.Memory.Read(ctx, "t", "k")
			if (row.Version != Absent) != c.written {
				t.Fatalf("row is %+v", row)
			}
		})
	}
}

// TestClientGroupsCommits checks that concurrent commits share calls: 200 commits must take at most
// 50 calls.
func TestClientGroupsCommits(t *testing.T) {
	s := newService(t, nil)
	client := s.client(t, Options{GroupWindow: 20 * time.Millisecond, CommitsInFlight: 1})
	const writers = 200
	writes := make(chan error, writers)
	for i := range writers {
		go (&writer{client: client, key: strings.Repeat("k", i+1)}).run(writes)
	}
	for range writers {
		if err := <-writes; err != nil {
			t.Fatal(err)
		}
	}
	rows, err := client.Scan(context.Background(), "t", "k")
	if err != nil || len(rows) != writers {
		t.Fatalf("%d rows, error %v", len(rows), err)
	}
	if calls := client.Stats().Commits.Load(); calls > writers/4 {
		t.Fatalf("%d commits took %d calls", writers, calls)
	}
}

// writer commits one row.
type writer struct {
	client *Client
	key    string
}

func (w *writer) run(writes chan<- error) {
	_, err := w.client.Commit(context.Background(), Put{Table: "t", Key: w.key})
	writes <- err
}

// rowCommitter commits rows one after the other.
type rowCommitter struct {
	client *Client
	table  string
	rows   int
	t      *testing.T
}

func (c *rowCommitter) run() {
	for i := range c.rows {
		if _, err := c.client.Commit(context.Background(), Put{Table: c.table, Key: strconv.Itoa(i)}); err != nil {
			c.t.Error(err)
		}
	}
}

// TestClientCommitRateLimit checks that the client keeps to CommitsPerSecond. The number of calls
// is compared with the time that has passed, so that the test holds on a machine of any speed.
func TestClientCommitRateLimit(t *testing.T) {
	const commitsPerSecond, writers, rows = 50, 16, 20
	s := newService(t, func(int64) bool { return false })
	client := s.client(t, Options{CommitsPerSecond: func() float64 { return commitsPerSecond }})
	start := time.Now()
	var done sync.WaitGroup
	for w := range writers {
		done.Go((&rowCommitter{client: client, table: "table-" + strconv.Itoa(w), rows: rows, t: t}).run)
	}
	done.Wait()
	allowed := commitBurst + DefaultCommitsInFlight + commitsPerSecond*time.Since(start).Seconds()
	if calls := s.calls.Load(); float64(calls) > allowed {
		t.Errorf("%d calls for %d commits; the rate limit allows %.0f", calls, writers*rows, allowed)
	}
}
