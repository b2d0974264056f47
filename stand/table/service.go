package table

import (
	"context"
	"fmt"
	"net/http"

	api "tanagerstack.org/core/api/tables"
	"tanagerstack.org/stand/faults"
	"tanagerstack.org/stand/reply"
)

// defaultScanLimit is the maximum number of rows that a scan without a limit returns.
const defaultScanLimit = 1000

// Service serves the table API from a Store and counts calls.
type Service struct {
	faults.Calls

	store *Store
}

// NewService returns a table service with no rows.
func NewService() *Service {
	return &Service{store: NewStore()}
}

// Handler returns the HTTP handler of the table API.
func (s *Service) Handler() (http.Handler, error) {
	server, err := api.NewServer(s)
	if err != nil {
		return nil, fmt.Errorf("table API: %w", err)
	}
	return server, nil
}

// Commit applies each transaction of the request in order. If any transaction is malformed, none is
// applied. The call counts as one write.
func (s *Service) Commit(_ context.Context, req *api.CommitRequest) (*api.CommitReply, error) {
	s.CountWrite()
	for i := range req.Transactions {
		if err := checkTransaction(i, req.Transactions[i].Operations); err != nil {
			return nil, err
		}
	}
	results := make([]api.TransactionResult, 0, len(req.Transactions))
	for i := range req.Transactions {
		results = append(results, s.store.Apply(req.Transactions[i].Operations))
	}
	return &api.CommitReply{Results: results}, nil
}

// Read returns the requested rows that exist. The call counts as one read.
func (s *Service) Read(_ context.Context, req *api.ReadRequest) (*api.RowList, error) {
	s.CountRead()
	rows := []api.Row{}
	for _, key := range req.Keys {
		if row, exists := s.store.Get(key.Table, key.Key); exists {
			rows = append(rows, row)
		}
	}
	return &api.RowList{Rows: rows}, nil
}

// Scan lists rows of a table in key order. The call counts as one read.
func (s *Service) Scan(_ context.Context, params api.ScanParams) (*api.RowList, error) {
	s.CountRead()
	rows, more := s.store.Scan(params.Table, params.Prefix.Or(""), params.After.Or(""), params.Limit.Or(defaultScanLimit))
	return &api.RowList{Rows: rows, More: more}, nil
}

// NewError converts an error to an RFC 9457 problem document.
func (s *Service) NewError(_ context.Context, err error) *api.ProblemStatusCode {
	e := reply.From(err)
	return &api.ProblemStatusCode{StatusCode: e.Status, Response: api.Problem{
		Title: e.Title(), Status: e.Status, Detail: e.Detail, Reason: api.NewOptString(e.Reason),
	}}
}

// checkTransaction rejects a transaction with an empty table or key, or with two writes to one row.
// index is the position of the transaction in the request.
func checkTransaction(index int, operations []api.Operation) error {
	written := make(map[api.RowKey]bool, len(operations))
	for _, operation := range operations {
		if operation.Table == "" || operation.Key == "" {
			return reply.New(http.StatusBadRequest, "empty-key", "transaction %d names a row without table or key", index)
		}
		if operation.Kind == api.OperationKindCheck {
			continue
		}
		key := api.RowKey{Table: operation.Table, Key: operation.Key}
		if written[key] {
			return reply.New(http.StatusBadRequest, "row-twice", "transaction %d writes row %s/%s twice", index, key.Table, key.Key)
		}
		written[key] = true
	}
	return nil
}
