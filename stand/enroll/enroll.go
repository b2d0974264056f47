// Package enroll registers VMs with the platform's membership list.
//
// A Registrar retries each registration, because processes start in any order and
// the membership list may not be up yet.
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
	// retryTimeout limits how long a registration is retried.
	retryTimeout = 20 * time.Second
	// callTimeout limits a single call.
	callTimeout = 3 * time.Second
)

// Registrar registers VMs with one membership list.
type Registrar struct {
	client *api.Client
}

// NewRegistrar returns a Registrar for the membership list at address.
func NewRegistrar(address netip.AddrPort) (*Registrar, error) {
	httpClient := &http.Client{Timeout: callTimeout}
	client, err := api.NewClient("http://"+address.String(), api.WithClient(httpClient))
	if err != nil {
		return nil, fmt.Errorf("client of the membership list at %s: %w", address, err)
	}
	return &Registrar{client: client}, nil
}

// Register registers or updates a VM. It retries with backoff for up to retryTimeout.
func (r *Registrar) Register(ctx context.Context, m *api.Member) error {
	put := func() (struct{}, error) {
		return struct{}{}, r.client.PutMember(ctx, m, api.PutMemberParams{Name: m.Name})
	}
	if _, err := backoff.Retry(ctx, put, backoff.WithMaxElapsedTime(retryTimeout)); err != nil {
		return fmt.Errorf("registering %s: %w", m.Name, err)
	}
	return nil
}
