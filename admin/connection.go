package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	api "tanagerstack.org/core/api/oper"

	"context"
)

// environmentPrefix begins the variables that stand for flags.
const environmentPrefix = "TANAGER_"

// connection says which entry VM to ask, and as whom.
type connection struct {
	entries []string
	token   string
	author  string
	timeout time.Duration
}

func (c *connection) bind(flags *pflag.FlagSet) {
	flags.StringSliceVar(&c.entries, "entry", nil, "operators' address IP:PORT of an entry VM; of several, the first that is reached (TANAGER_ENTRY)")
	flags.StringVar(&c.token, "token", "", "operator token; better given as TANAGER_TOKEN, since other users of this machine see flags")
	flags.StringVar(&c.author, "author", "", "who answers for a change; the name of the token if empty (TANAGER_AUTHOR)")
	flags.DurationVar(&c.timeout, "timeout", 10*time.Second, "how long to wait for an answer (TANAGER_TIMEOUT)")
}

// fromEnvironment sets flags that were not given from variables of the same
// name, TANAGER_ENTRY for --entry.
func (c *connection) fromEnvironment(cmd *cobra.Command, _ []string) error {
	var faults []error
	cmd.Root().PersistentFlags().VisitAll(func(flag *pflag.Flag) {
		name := environmentPrefix + strings.ToUpper(strings.ReplaceAll(flag.Name, "-", "_"))
		text := os.Getenv(name)
		if text == "" || flag.Changed {
			return
		}
		if err := flag.Value.Set(text); err != nil {
			faults = append(faults, fmt.Errorf("%s: %w", name, err))
		}
	})
	return errors.Join(faults...)
}

// client returns a client of the first entry VM that is reached.
func (c *connection) client() (*api.Client, error) {
	addresses, err := c.check()
	if err != nil {
		return nil, err
	}
	dialer := &firstDialer{addresses: addresses}
	transport := &http.Transport{DialContext: dialer.dial}
	client := &http.Client{Transport: transport, Timeout: c.timeout}
	return api.NewClient("http://"+addresses[0].String(), bearer(c.token), api.WithClient(client))
}

// check reports all faults of the flags at once.
func (c *connection) check() ([]netip.AddrPort, error) {
	var faults []error
	if len(c.entries) == 0 {
		faults = append(faults, errors.New("no entry VM is named: set --entry IP:PORT or TANAGER_ENTRY"))
	}
	addresses := make([]netip.AddrPort, 0, len(c.entries))
	for _, text := range c.entries {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			faults = append(faults, fmt.Errorf("--entry %q is not an IP number and port, such as 127.0.1.1:7001", text))
		}
		addresses = append(addresses, address)
	}
	if c.token == "" {
		faults = append(faults, errors.New("no operator token is given: set TANAGER_TOKEN or --token"))
	}
	if c.timeout <= 0 {
		faults = append(faults, fmt.Errorf("--timeout %v is not positive", c.timeout))
	}
	return addresses, errors.Join(faults...)
}

// bearer is an operator token.
type bearer string

// Token gives the token to a call.
func (b bearer) Token(context.Context, api.OperationName) (api.Token, error) {
	return api.Token{Token: string(b)}, nil
}

// firstDialer connects to the first of several addresses that accepts. No call
// is sent twice, since the choice is made before anything is sent.
type firstDialer struct {
	addresses []netip.AddrPort
}

func (d *firstDialer) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	const patience = 2 * time.Second
	dialer := net.Dialer{Timeout: patience}
	var faults []error
	for _, address := range d.addresses {
		conn, err := dialer.DialContext(ctx, network, address.String())
		if err == nil {
			return conn, nil
		}
		faults = append(faults, err)
	}
	return nil, errors.Join(faults...)
}
