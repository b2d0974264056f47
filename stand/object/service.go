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

// maxObjectBytes is the maximum size of an object.
const maxObjectBytes = 64 << 20

// Service serves the object API from memory and counts calls.
type Service struct {
	faults.Calls

	mu      sync.Mutex
	objects map[string][]byte
}

// NewService returns an object store with no objects.
func NewService() *Service {
	return &Service{objects: make(map[string][]byte)}
}

// Handler returns the HTTP handler of the object API.
func (s *Service) Handler() (http.Handler, error) {
	server, err := api.NewServer(s)
	if err != nil {
		return nil, fmt.Errorf("object API: %w", err)
	}
	return server, nil
}

// PutObject stores an object under a key. It fails if the body exceeds maxObjectBytes.
func (s *Service) PutObject(_ context.Context, req api.PutObjectReq, params api.PutObjectParams) error {
	s.CountWrite()
	body, err := io.ReadAll(io.LimitReader(req, maxObjectBytes+1))
	if err != nil {
		return reply.New(http.StatusBadRequest, "short-body", "reading object %q: %v", params.Key, err)
	}
	if len(body) > maxObjectBytes {
		return reply.New(http.StatusRequestEntityTooLarge, "too-large", "object %q has more than %d bytes", params.Key, maxObjectBytes)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[params.Key] = body
	return nil
}

// GetObject returns an object, or a 404 error if there is none with that key.
func (s *Service) GetObject(_ context.Context, params api.GetObjectParams) (api.GetObjectOK, error) {
	s.CountRead()
	s.mu.Lock()
	defer s.mu.Unlock()
	body, exists := s.objects[params.Key]
	if !exists {
		return api.GetObjectOK{}, reply.New(http.StatusNotFound, "no-object", "there is no object %q", params.Key)
	}
	return api.GetObjectOK{Data: bytes.NewReader(body)}, nil
}

// DeleteObject deletes an object. Deleting an object that does not exist succeeds.
func (s *Service) DeleteObject(_ context.Context, params api.DeleteObjectParams) error {
	s.CountWrite()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, params.Key)
	return nil
}

// NewError converts an error to an RFC 9457 problem document.
func (s *Service) NewError(_ context.Context, err error) *api.ProblemStatusCode {
	e := reply.From(err)
	return &api.ProblemStatusCode{StatusCode: e.Status, Response: api.Problem{
		Title: e.Title(), Status: e.Status, Detail: e.Detail, Reason: api.NewOptString(e.Reason),
	}}
}
