package conf

import (
	"errors"
	"fmt"
	"net/netip"
	"sort"
	"strings"

	"github.com/spf13/pflag"
)

// variablePrefix is the prefix of the names of environment variables.
const variablePrefix = "TANAGER_"

// FieldError reports one invalid setting.
type FieldError struct {
	// Setting is the flag or the environment variable that has the invalid value.
	Setting string
	// Given describes the value, without the value itself for secret settings.
	Given string
	// Accepted describes the accepted values.
	Accepted string
}

// Error describes the setting, the given value and the accepted values.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s: accepted: %s", e.Setting, e.Given, e.Accepted)
}

// Load reads the settings from the flags that Bind added and from environment, a list of
// NAME=VALUE strings. The error joins one *FieldError per invalid setting.
func Load(flags *pflag.FlagSet, environment []string) (Settings, error) {
	variables, errs := readVariables(environment)
	var s Settings
	for _, f := range fields() {
		flag := flags.Lookup(f.name)
		if flag == nil {
			return s, fmt.Errorf("flag --%s is not defined", f.name)
		}
		text, source := flag.Value.String(), "--"+f.name
		if value, ok := variables[variableName(f.name)]; ok && !flag.Changed {
			text, source = value, variableName(f.name)
		}
		if err := f.read(&s, text, source); err != nil {
			errs = append(errs, err)
		}
	}
	return s, errors.Join(append(errs, s.checkAddresses()...)...)
}

// read sets the field of s from text. source is the flag or variable that text comes from.
func (f field) read(s *Settings, text, source string) error {
	if text == "" && f.optional || f.set(s, text) {
		return nil
	}
	given := fmt.Sprintf("invalid value %q", text)
	switch {
	case text == "":
		given = "not set"
	case f.name == "operator-tokens":
		given = "invalid value"
	}
	return &FieldError{Setting: source, Given: given, Accepted: f.accepted}
}

// checkAddresses returns an error for each HTTP listener whose address another one has.
func (s Settings) checkAddresses() []error {
	used := make(map[netip.AddrPort]string)
	var errs []error
	listeners := []struct {
		name string
		addr netip.AddrPort
	}{
		{"callers-address", s.CallersAddress},
		{"operators-address", s.OperatorsAddress},
		{"debug-address", s.DebugAddress},
	}
	for _, l := range listeners {
		if other, taken := used[l.addr]; taken && l.addr.IsValid() {
			errs = append(errs, &FieldError{
				Setting:  "--" + l.name,
				Given:    fmt.Sprintf("%s is already used by --%s", l.addr, other),
				Accepted: "a different address for each listener",
			})
		}
		used[l.addr] = l.name
	}
	return errs
}

// readVariables returns the TANAGER_ variables by name, and an error for each that matches no
// setting.
func readVariables(environment []string) (map[string]string, []error) {
	known := make(map[string]bool)
	for _, f := range fields() {
		known[variableName(f.name)] = true
	}
	variables := make(map[string]string)
	var errs []error
	for _, line := range environment {
		name, value, _ := strings.Cut(line, "=")
		if !strings.HasPrefix(name, variablePrefix) {
			continue
		}
		if !known[name] {
			errs = append(errs, &FieldError{Setting: name, Given: "unknown variable", Accepted: "one of " + sortedNames(known)})
		}
		variables[name] = value
	}
	return variables, errs
}

// sortedNames returns the names, sorted and separated by commas.
func sortedNames(known map[string]bool) string {
	list := make([]string, 0, len(known))
	for name := range known {
		list = append(list, name)
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}

// variableName returns the name of the environment variable of a setting.
func variableName(name string) string {
	return variablePrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}
