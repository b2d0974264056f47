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

// environmentPrefix is the prefix of the environment variables that set flags.
const environmentPrefix = "TANAGER_"

// clientOptions holds the flags that say which entry VM to call, and with which token.
type clientOptions struct {
	entries []string
	token   string
	author  string
	timeout time.Duration
}

func (c *clientOptions) bind(flags *pflag.FlagSet) {
	flags.StringSliceVar(&c.entries, "entry", nil, "operators' address IP:PORT of an entry VM; if several are given, the first reachable one is used (TANAGER_ENTRY)")
	flags.StringVar(&c.token, "token", "", "operator token; prefer TANAGER_TOKEN, since other users of this machine can see flags")
	flags.StringVar(&c.author, "author", "", "person responsible for a change; defaults to the name of the token (TANAGER_AUTHOR)")
	flags.DurationVar(&c.timeout, "timeout", 10*time.Second, "timeout of a request (TANAGER_TIMEOUT)")
}

// setFromEnvironment sets each flag that is not on the command line from its environment variable,
// such as TANAGER_ENTRY for --entry.
func (c *clientOptions) setFromEnvironment(cmd *cobra.Command, _ []string) error {
	var errs []error
	cmd.Root().PersistentFlags().VisitAll(func(flag *pflag.Flag) {
		name := environmentPrefix + strings.ToUpper(strings.ReplaceAll(flag.Name, "-", "_"))
		text := os.Getenv(name)
		if text == "" || flag.Changed {
			return
		}
		if err := flag.Value.Set(text); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", name, err))
		}
	})
	return errors.Join(errs...)
}

// client returns a client that connects to the first reachable entry VM.
func (c *clientOptions) client() (*api.Client, error) {
	addresses, err := c.validate()
	if err != nil {
		return nil, err
	}
	dialer := &fallbackDialer{addresses: addresses}
	transport := &http.Transport{DialContext: dialer.dial}
	client := &http.Client{Transport: transport, Timeout: c.timeout}
	return api.NewClient("http://"+addresses[0].String(), operatorToken(c.token), api.WithClient(client))
}

// validate returns the addresses of the entry VMs. The error joins all faults of the flags.
func (c *clientOptions) validate() ([]netip.AddrPort, error) {
	var errs []error
	if len(c.entries) == 0 {
		errs = append(errs, errors.New("no entry VM given: set --entry IP:PORT or TANAGER_ENTRY"))
	}
	addresses := make([]netip.AddrPort, 0, len(c.entries))
	for _, text := range c.entries {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			errs = append(errs, fmt.Errorf("--entry %q is not an IP address with a port, such as 127.0.1.1:7001", text))
		}
		addresses = append(addresses, address)
	}
	if c.token == "" {
		errs = append(errs, errors.New("no operator token given: set TANAGER_TOKEN or --token"))
	}
	if c.timeout <= 0 {
		errs = append(errs, fmt.Errorf("--timeout %v is not positive", c.timeout))
	}
	return addresses, errors.Join(errs...)
}

// operatorToken authenticates calls to an entry VM. It implements api.SecuritySource.
type operatorToken string

// Token returns the token for any operation.
func (b operatorToken) Token(context.Context, api.OperationName) (api.Token, error) {
	return api.Token{Token: string(b)}, nil
}

// fallbackDialer connects to the first of several addresses that accepts a connection. It falls
// back only before a connection exists, so that no request is sent twice.
type fallbackDialer struct {
	addresses []netip.AddrPort
}

// dial ignores the address that it is asked for and tries d.addresses in order, each with its own
// timeout. The error joins those of all addresses.
func (d *fallbackDialer) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	const dialTimeout = 2 * time.Second
	dialer := net.Dialer{Timeout: dialTimeout}
	var errs []error
	for _, address := range d.addresses {
		conn, err := dialer.DialContext(ctx, network, address.String())
		if err == nil {
			return conn, nil
		}
		errs = append(errs, err)
	}
	return nil, errors.Join(errs...)
}
