package main

import (
	"bytes"
	"strings"
	"testing"

	"tanagerstack.org/core/policy"
)

// TestInvalidCommandsReportEveryError checks that invalid commands fail before anything is sent,
// with an error that names every fault.
func TestInvalidCommandsReportEveryError(t *testing.T) {
	const entry, token = "--entry=127.0.0.1:1", "--token=x"
	tests := map[string]struct {
		arguments   []string
		environment map[string]string
		wants       []string
	}{
		"nothing set":      {arguments: []string{"status"}, wants: []string{"TANAGER_ENTRY", "TANAGER_TOKEN"}},
		"bad addresses":    {arguments: []string{"status", "--entry=localhost:1,127.0.0.1", token, "--timeout=-1s"}, wants: []string{"localhost:1", `"127.0.0.1"`, "--timeout"}},
		"bad variable":     {arguments: []string{"status", entry, token}, environment: map[string]string{"TANAGER_TIMEOUT": "soon"}, wants: []string{"TANAGER_TIMEOUT"}},
		"VM not reachable": {arguments: []string{"status", entry, token}, wants: []string{"no entry VM was reached"}},
		"no reason":        {arguments: []string{"policy", "apply", "-", entry, token}, wants: []string{"--reason", "at least three words"}},
		"no author":        {arguments: []string{"exception", "add", "x", entry, token, "--reason=The archive is moved now."}, wants: []string{"TANAGER_AUTHOR"}},
		"end in the past":  {arguments: []string{"exception", "add", "x", entry, token, "--author=a", "--until=2001-01-01T00:00:00Z"}, wants: []string{"--until", "past"}},
		"unknown format":   {arguments: []string{"burn", "--format=pdf"}, wants: []string{"text, json, html"}},
		"two VMs to drain": {arguments: []string{"drain", "--entry=127.0.0.1:1,127.0.0.2:1", token}, wants: []string{"--entry", "one VM"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for _, variable := range []string{"TANAGER_ENTRY", "TANAGER_TOKEN", "TANAGER_AUTHOR", "TANAGER_TIMEOUT"} {
				t.Setenv(variable, tt.environment[variable])
			}
			root := rootCommand()
			root.SetArgs(tt.arguments)
			root.SetIn(strings.NewReader(policy.SampleText()))
			root.SetOut(new(bytes.Buffer))
			err := root.Execute()
			if err == nil {
				t.Fatal("command succeeded, want an error")
			}
			for _, want := range tt.wants {
				if got := describeError(err); !strings.Contains(got, want) {
					t.Errorf("error %q does not contain %q", got, want)
				}
			}
		})
	}
}
