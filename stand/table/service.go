package table

import (
	"context"
	"fmt"
	"net/http"

	api "tanagerstack.org/core/api/tables"
	"tanagerstack.org/stand/faults"
	"tanagerstack.org/stand/reply"
)

// scanLimit is the number of rows of a scan that names no limit.
const scanLimit = 1000

// Service is the table service with its records.
type Service struct {
	faults.Calls

	store *Store
}

// NewService returns a table service without rows.
func NewService() *Service {
	return &Service{store: NewStore()}
}

// Handler returns the service's API.
func (s *Service) Handler() (http.Handler, error) {
	server, err := api.NewServer(s)
	if err != nil {
		return nil, fmt.Errorf("table API: %w", err)
	}
	return server, nil
}

// Commit applies each transaction of one call; the call counts as one write.
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

// Read returns the rows that exist; the call counts as one read.
func (s *Service) Read(_ context.Context, req *api.ReadRequest) (*api.RowList, error) {
	s.CountRead()
	rows := []api.Row{}
	for _, key := range req.Keys {
		if found, exists := s.store.Get(key.Table, key.Key); exists {
			rows = append(rows, found)
		}
	}
	return &api.RowList{Rows: rows}, nil
}

// Scan lists rows in key order; the call counts as one read.
func (s *Service) Scan(_ context.Context, params api.ScanParams) (*api.RowList, error) {
	s.CountRead()
	rows, more := s.store.Scan(params.Table, params.Prefix.Or(""), params.After.Or(""), params.Limit.Or(scanLimit))
	return &api.RowList{Rows: rows, More: more}, nil
}

// NewError turns an error into a problem document.
func (s *Service) NewError(_ context.Context, err error) *api.ProblemStatusCode {
	e := reply.From(err)
	return &api.ProblemStatusCode{StatusCode: e.Status, Response: api.Problem{
		Title: e.Title(), Status: e.Status, Detail: e.Detail, Reason: api.NewOptString(e.Reason),
	}}
}

// checkTransaction refuses what could not be applied whole.
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
