package flags_test

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"tanagerstack.org/stand/flags"
)

func ExampleEnvName() {
	fmt.Println(flags.EnvName("members-address"))
	// Output: TANAGER_STAND_MEMBERS_ADDRESS
}

// TestApplyEnvironment checks the flag values and errors that result from arguments and variables.
func TestApplyEnvironment(t *testing.T) {
	tests := map[string]struct {
		arguments []string
		variables map[string]string
		address   string
		callers   string
		// errors are substrings of the expected error, which reports all problems at once.
		errors []string
	}{
		"defaults":                {},
		"from the environment":    {variables: map[string]string{"TANAGER_STAND_ADDRESS": "127.0.0.1:1"}, address: "127.0.0.1:1"},
		"a flag takes precedence": {arguments: []string{"--address", "127.0.0.1:2"}, variables: map[string]string{"TANAGER_STAND_ADDRESS": "127.0.0.1:1"}, address: "127.0.0.1:2"},
		"pairs keep order":        {arguments: []string{"--callers", "b=2, a=1"}, callers: "b=2,a=1"},
		"an address with a name":  {arguments: []string{"--address", "localhost:1"}, errors: []string{"not IP:PORT"}},
		"all errors at once": {
			variables: map[string]string{
				"TANAGER_STAND_ADDRESS": "x", "TANAGER_STAND_CALLERS": "y", "TANAGER_STAND_PLACE": "127.0.0.1:1",
			},
			errors: []string{"TANAGER_STAND_ADDRESS", "TANAGER_STAND_CALLERS", "TANAGER_STAND_PLACE: no flag has this environment variable"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var address flags.Address
			var callers flags.Pairs
			var environment []string
			for variable, value := range test.variables {
				t.Setenv(variable, value)
				environment = append(environment, variable+"="+value)
			}
			cmd := &cobra.Command{RunE: func(cmd *cobra.Command, _ []string) error { return flags.ApplyEnvironment(cmd, environment) }}
			cmd.Flags().Var(&address, "address", "")
			cmd.Flags().Var(&callers, "callers", "")
			cmd.SetArgs(test.arguments)
			cmd.SetErr(io.Discard)
			cmd.SetOut(io.Discard)
			err := cmd.Execute()
			if (err != nil) != (len(test.errors) > 0) {
				t.Fatalf("error %v, want %q", err, test.errors)
			}
			for _, part := range test.errors {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("error %q does not contain %q", err, part)
				}
			}
			if err == nil && (address.String() != test.address || callers.String() != test.callers) {
				t.Errorf("unexpected values: address %q, callers %q", address.String(), callers.String())
			}
		})
	}
}
