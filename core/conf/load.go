package conf

import (
	"errors"
	"fmt"
	"net/netip"
	"sort"
	"strings"

	"github.com/spf13/pflag"
)

// prefix starts the name of each environment variable.
const variablePrefix = "TANAGER_"

// FieldError is one fault of the settings.
type FieldError struct {
	// Setting is the flag's name, or the variable's if no flag belongs to it.
	Setting string
	// Given is the value; secret settings leave it out.
	Given string
	// Accepted says which values are accepted.
	Accepted string
}

// Error names the setting, the value and what is accepted.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s: accepted: %s", e.Setting, e.Given, e.Accepted)
}

// Load reads the settings from flags that Bind added and from the environment,
// given as NAME=VALUE lines. The error joins a *FieldError for each fault.
func Load(flags *pflag.FlagSet, environment []string) (Settings, error) {
	variables, faults := readVariables(environment)
	var s Settings
	for _, f := range fields() {
		flag := flags.Lookup(f.name)
		if flag == nil {
			return s, fmt.Errorf("flag --%s was not bound", f.name)
		}
		text, source := flag.Value.String(), "--"+f.name
		if value, ok := variables[variableName(f.name)]; ok && !flag.Changed {
			text, source = value, variableName(f.name)
		}
		if err := f.read(&s, text, source); err != nil {
			faults = append(faults, err)
		}
	}
	return s, errors.Join(append(faults, s.checkAddresses()...)...)
}

func (f field) read(s *Settings, text, source string) error {
	if text == "" && f.optional || f.set(s, text) {
		return nil
	}
	given := fmt.Sprintf("%q is not accepted", text)
	switch {
	case text == "":
		given = "not set"
	case f.name == "operator-tokens":
		given = "the value is not accepted"
	}
	return &FieldError{Setting: source, Given: given, Accepted: f.accepted}
}

// check finds faults between settings.
func (s Settings) checkAddresses() []error {
	used := make(map[netip.AddrPort]string)
	var faults []error
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
			faults = append(faults, &FieldError{
				Setting:  "--" + l.name,
				Given:    fmt.Sprintf("%s is taken by --%s", l.addr, other),
				Accepted: "an address of its own for each listener",
			})
		}
		used[l.addr] = l.name
	}
	return faults
}

// readVariables picks the TANAGER_ variables and finds those that name no setting.
func readVariables(environment []string) (map[string]string, []error) {
	known := make(map[string]bool)
	for _, f := range fields() {
		known[variableName(f.name)] = true
	}
	variables := make(map[string]string)
	var faults []error
	for _, line := range environment {
		name, value, _ := strings.Cut(line, "=")
		if !strings.HasPrefix(name, variablePrefix) {
			continue
		}
		if !known[name] {
			faults = append(faults, &FieldError{Setting: name, Given: "unknown variable", Accepted: "one of " + sortedNames(known)})
		}
		variables[name] = value
	}
	return variables, faults
}

func sortedNames(known map[string]bool) string {
	list := make([]string, 0, len(known))
	for name := range known {
		list = append(list, name)
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}

// variable is the name of the environment variable of a setting.
func variableName(name string) string {
	return variablePrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}
