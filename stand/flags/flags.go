// Package flags sets command-line flags from environment variables and defines flag types.
//
// A flag such as --members-address can also be set by the environment variable
// TANAGER_STAND_MEMBERS_ADDRESS; the flag takes precedence. Address and Addresses
// parse into netip values. ApplyEnvironment reports all invalid variables in one
// error, including variables with the prefix that match no flag.
package flags

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// EnvPrefix is the prefix of the environment variables of tanager-stand.
const EnvPrefix = "TANAGER_STAND_"

// EnvName returns the name of the environment variable that sets a flag.
func EnvName(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// ApplyEnvironment sets the flags of cmd that were not given on the command line from environment
// variables of the process. It returns an error for each invalid value, and for each NAME=VALUE in
// environment whose name has EnvPrefix but matches no flag of any command.
func ApplyEnvironment(cmd *cobra.Command, environment []string) error {
	var errs []error
	known := make(map[string]bool)
	cmd.Flags().VisitAll(func(flag *pflag.Flag) {
		known[EnvName(flag.Name)] = true
		text, found := os.LookupEnv(EnvName(flag.Name))
		if !found || flag.Changed {
			return
		}
		if err := cmd.Flags().Set(flag.Name, text); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", EnvName(flag.Name), err))
		}
	})
	return errors.Join(append(errs, unknownVariables(cmd.Root(), known, environment)...)...)
}

// unknownVariables returns an error for each variable that has EnvPrefix but is neither in known nor
// matches a flag of any command. It adds the flags of all commands to known.
func unknownVariables(root *cobra.Command, known map[string]bool, environment []string) []error {
	for _, command := range root.Commands() {
		command.Flags().VisitAll(func(flag *pflag.Flag) { known[EnvName(flag.Name)] = true })
	}
	var errs []error
	for _, setting := range environment {
		name, _, _ := strings.Cut(setting, "=")
		if strings.HasPrefix(name, EnvPrefix) && !known[name] {
			errs = append(errs, fmt.Errorf("%s: no flag has this environment variable", name))
		}
	}
	return errs
}

// Address is a flag value of the form IP:PORT. The zero value is not set.
type Address struct{ netip.AddrPort }

// String returns the address, or an empty string if it is not set.
func (a *Address) String() string {
	if !a.IsValid() {
		return ""
	}
	return a.AddrPort.String()
}

// Set parses the address.
func (a *Address) Set(text string) error {
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return fmt.Errorf("%q is not IP:PORT, such as 127.0.0.1:7001", text)
	}
	a.AddrPort = parsed
	return nil
}

// Type names the form in the help.
func (a *Address) Type() string { return "IP:PORT" }

// Addresses is a flag value with a comma-separated list of addresses.
type Addresses []netip.AddrPort

// String returns the addresses, separated by commas.
func (a *Addresses) String() string {
	texts := make([]string, 0, len(*a))
	for _, address := range *a {
		texts = append(texts, address.String())
	}
	return strings.Join(texts, ",")
}

// Set parses the addresses and replaces any previous value.
func (a *Addresses) Set(text string) error {
	var all []netip.AddrPort
	for _, part := range strings.Split(text, ",") {
		var one Address
		if err := one.Set(strings.TrimSpace(part)); err != nil {
			return err
		}
		all = append(all, one.AddrPort)
	}
	*a = all
	return nil
}

// Type names the form in the help.
func (a *Addresses) Type() string { return "IP:PORT,.." }

// Pairs is a flag value with a comma-separated list of NAME=VALUE pairs, in the given order.
type Pairs []Pair

// Pair is a name and its value.
type Pair struct{ Name, Value string }

// String returns the pairs, separated by commas.
func (p *Pairs) String() string {
	texts := make([]string, 0, len(*p))
	for _, pair := range *p {
		texts = append(texts, pair.Name+"="+pair.Value)
	}
	return strings.Join(texts, ",")
}

// Set parses the pairs and replaces any previous value. Names and values must not be empty.
func (p *Pairs) Set(text string) error {
	var all []Pair
	for _, part := range strings.Split(text, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found || name == "" || value == "" {
			return fmt.Errorf("%q is not NAME=VALUE", part)
		}
		all = append(all, Pair{Name: name, Value: value})
	}
	*p = all
	return nil
}

// Type names the form in the help.
func (p *Pairs) Type() string { return "NAME=VALUE,.." }
