// Package enroll registers stand-ins with the platform's membership list.
//
// The model: a Registrar holds a client of the list. Register is repeated until
// the list takes it, because processes start in any order.
package enroll

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/cenkalti/backoff/v5"

	api "tanagerstack.org/core/api/member"
)

const (
	// patience bounds how long a registration is repeated.
	retryTimeout = 20 * time.Second
	// callTimeout bounds one call.
	callTimeout = 3 * time.Second
)

// Registrar registers VMs.
type Registrar struct {
	client *api.Client
}

// NewRegistrar returns a Registrar for the list at address.
func NewRegistrar(address netip.AddrPort) (*Registrar, error) {
	httpClient := &http.Client{Timeout: callTimeout}
	client, err := api.NewClient("http://"+address.String(), api.WithClient(httpClient))
	if err != nil {
		return nil, fmt.Errorf("client of the membership list at %s: %w", address, err)
	}
	return &Registrar{client: client}, nil
}

// Register registers the VM or changes it, and repeats the call until it worked.
func (r *Registrar) Register(ctx context.Context, m *api.Member) error {
	put := func() (struct{}, error) {
		return struct{}{}, r.client.PutMember(ctx, m, api.PutMemberParams{Name: m.Name})
	}
	if _, err := backoff.Retry(ctx, put, backoff.WithMaxElapsedTime(retryTimeout)); err != nil {
		return fmt.Errorf("registering %s: %w", m.Name, err)
	}
	return nil
}
