package object

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"

	api "tanagerstack.org/core/api/object"
	"tanagerstack.org/stand/faults"
	"tanagerstack.org/stand/reply"
)

// maxBytes is the largest object that is stored.
const maxBytes = 64 << 20

// Service is the object store with its records.
type Service struct {
	faults.Calls

	mu      sync.Mutex
	objects map[string][]byte
}

// NewService returns an object store without objects.
func NewService() *Service {
	return &Service{objects: make(map[string][]byte)}
}

// Handler returns the service's API.
func (s *Service) Handler() (http.Handler, error) {
	server, err := api.NewServer(s)
	if err != nil {
		return nil, fmt.Errorf("object API: %w", err)
	}
	return server, nil
}

// PutObject stores an object.
func (s *Service) PutObject(_ context.Context, req api.PutObjectReq, params api.PutObjectParams) error {
	s.CountWrite()
	body, err := io.ReadAll(io.LimitReader(req, maxBytes+1))
	if err != nil {
		return reply.New(http.StatusBadRequest, "short-body", "reading object %q: %v", params.Key, err)
	}
	if len(body) > maxBytes {
		return reply.New(http.StatusRequestEntityTooLarge, "too-large", "object %q has more than %d bytes", params.Key, maxBytes)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[params.Key] = body
	return nil
}

// GetObject reads an object.
func (s *Service) GetObject(_ context.Context, params api.GetObjectParams) (api.GetObjectOK, error) {
	s.CountRead()
	s.mu.Lock()
	defer s.mu.Unlock()
	body, found := s.objects[params.Key]
	if !found {
		return api.GetObjectOK{}, reply.New(http.StatusNotFound, "no-object", "there is no object %q", params.Key)
	}
	return api.GetObjectOK{Data: bytes.NewReader(body)}, nil
}

// DeleteObject deletes an object; one that does not exist is no error.
func (s *Service) DeleteObject(_ context.Context, params api.DeleteObjectParams) error {
	s.CountWrite()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, params.Key)
	return nil
}

// NewError turns an error into a problem document.
func (s *Service) NewError(_ context.Context, err error) *api.ProblemStatusCode {
	e := reply.From(err)
	return &api.ProblemStatusCode{StatusCode: e.Status, Response: api.Problem{
		Title: e.Title(), Status: e.Status, Detail: e.Detail, Reason: api.NewOptString(e.Reason),
	}}
}
