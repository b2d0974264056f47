// Package flags fills command-line flags from the environment and checks them as
// a whole.
//
// The model: a flag --members-address of a command equals the environment
// variable TANAGER_STAND_MEMBERS_ADDRESS; the flag goes first. Values are typed:
// addresses are netip values, read by Address and Addresses. Fill reports every
// bad variable at once, and also variables with the prefix that no flag has.
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

// Prefix starts the environment variables of the stand-ins.
const EnvPrefix = "TANAGER_STAND_"

// Variable returns the environment variable of a flag.
func EnvName(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Fill sets the flags of cmd that were not given from the environment.
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

// unknown returns an error for each variable with the prefix that no flag of any command has.
func unknownVariables(root *cobra.Command, known map[string]bool, environment []string) []error {
	for _, command := range root.Commands() {
		command.Flags().VisitAll(func(flag *pflag.Flag) { known[EnvName(flag.Name)] = true })
	}
	var errs []error
	for _, setting := range environment {
		name, _, _ := strings.Cut(setting, "=")
		if strings.HasPrefix(name, EnvPrefix) && !known[name] {
			errs = append(errs, fmt.Errorf("%s: no such setting", name))
		}
	}
	return errs
}

// Address is a flag value of the form IP:PORT.
type Address struct{ netip.AddrPort }

// String returns the address, or nothing if it was not set.
func (a *Address) String() string {
	if !a.IsValid() {
		return ""
	}
	return a.AddrPort.String()
}

// Set reads the address.
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

// Addresses is a flag value with several addresses, divided by commas.
type Addresses []netip.AddrPort

// String returns the addresses.
func (a *Addresses) String() string {
	texts := make([]string, 0, len(*a))
	for _, address := range *a {
		texts = append(texts, address.String())
	}
	return strings.Join(texts, ",")
}

// Set reads the addresses in place of those before.
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

// Pairs is a flag value of the form NAME=VALUE,.. that keeps its order.
type Pairs []Pair

// Pair is one name with its value.
type Pair struct{ Name, Value string }

// String returns the pairs.
func (p *Pairs) String() string {
	texts := make([]string, 0, len(*p))
	for _, pair := range *p {
		texts = append(texts, pair.Name+"="+pair.Value)
	}
	return strings.Join(texts, ",")
}

// Set reads the pairs in place of those before.
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
