package member

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/jx"

	api "tanagerstack.org/core/api/member"
	"tanagerstack.org/stand/faults"
	"tanagerstack.org/stand/reply"
)

// Service serves the member API from a List and counts calls.
type Service struct {
	faults.Calls

	list *List
}

// NewService returns a service with an empty list that serves changes after lag.
func NewService(lag time.Duration) *Service {
	return &Service{list: NewList(lag)}
}

// Handler returns the HTTP handler of the member API.
func (s *Service) Handler() (http.Handler, error) {
	server, err := api.NewServer(s)
	if err != nil {
		return nil, fmt.Errorf("members API: %w", err)
	}
	return server, nil
}

// ListMembers returns the list as of the lag ago. The call counts as one read.
func (s *Service) ListMembers(context.Context) (*api.MemberList, error) {
	s.CountRead()
	members, asOf := s.list.At(time.Now())
	list := &api.MemberList{AsOf: asOf, Members: make([]jx.Raw, 0, len(members))}
	for _, m := range members {
		data, err := m.MarshalJSON()
		if err != nil {
			return nil, fmt.Errorf("encode member %s: %w", m.Name, err)
		}
		list.Members = append(list.Members, data)
	}
	return list, nil
}

// PutMember registers or updates a VM. The call counts as one write.
func (s *Service) PutMember(_ context.Context, req *api.Member, params api.PutMemberParams) error {
	s.CountWrite()
	if req.Name != params.Name {
		return reply.New(http.StatusBadRequest, "wrong-name", "the body names %q, the path %q", req.Name, params.Name)
	}
	if _, err := netip.ParseAddrPort(req.Address); err != nil {
		return reply.New(http.StatusBadRequest, "wrong-address", "address %q is not IP:PORT", req.Address)
	}
	s.list.Put(*req, time.Now())
	return nil
}

// DeleteMember removes a VM. Removing a VM that is not listed succeeds. The call counts as one write.
func (s *Service) DeleteMember(_ context.Context, params api.DeleteMemberParams) error {
	s.CountWrite()
	s.list.Remove(params.Name, time.Now())
	return nil
}

// NewError converts an error to an RFC 9457 problem document.
func (s *Service) NewError(_ context.Context, err error) *api.ProblemStatusCode {
	e := reply.From(err)
	return &api.ProblemStatusCode{StatusCode: e.Status, Response: api.Problem{
		Title: e.Title(), Status: e.Status, Detail: e.Detail, Reason: api.NewOptString(e.Reason),
	}}
}
