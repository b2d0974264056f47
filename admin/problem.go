package main

import (
	"errors"
	"fmt"
	"net"
	"strings"

	api "tanagerstack.org/core/api/oper"
	"tanagerstack.org/core/policy"
)

// conflictError reports that the policy was changed since the expected version.
type conflictError struct {
	*api.PolicyConflict
}

// Error describes the version that was applied first and the difference that it made.
func (e *conflictError) Error() string {
	return fmt.Sprintf(`version %d was applied first, by %s: %s
%s
nothing was changed; merge the difference into your document and apply it again`,
		e.Current.Version, e.Current.Author, e.Current.Reason, e.Difference)
}

// describeError formats an error for the terminal.
func describeError(err error) string {
	var (
		problem *api.ProblemStatusCode
		invalid *policy.InvalidError
		network *net.OpError
	)
	switch {
	case errors.As(err, &problem):
		return describeProblem(&problem.Response)
	case errors.As(err, &invalid):
		return describeFaults(invalid)
	case errors.As(err, &network) && network.Op == "dial":
		return fmt.Sprintf("no entry VM was reached, so nothing was sent: %v", network)
	default:
		return err.Error()
	}
}

// describeProblem formats a problem document with its faults, or with its field and accepted values
// if it lists no faults.
func describeProblem(p *api.Problem) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s (%s)", p.Title, p.Reason.Or(fmt.Sprint(p.Status)))
	if len(p.Faults) == 0 {
		fmt.Fprintf(&text, ": %s", p.Detail)
		writeField(&text, p.Field.Value, p.Accepted.Value)
	}
	for _, fault := range p.Faults {
		writeFault(&text, policy.Fault{Field: fault.Field.Value, Detail: fault.Detail, Accepted: fault.Accepted.Value})
	}
	if outcome, ok := p.Outcome.Get(); ok {
		fmt.Fprintf(&text, "\n  outcome:  %s", outcome)
	}
	return text.String()
}

func describeFaults(e *policy.InvalidError) string {
	var text strings.Builder
	text.WriteString("invalid policy")
	for _, fault := range e.Faults {
		writeFault(&text, fault)
	}
	return text.String()
}

func writeFault(text *strings.Builder, f policy.Fault) {
	if f.Field == "" {
		fmt.Fprintf(text, "\n  %s", f.Detail)
		return
	}
	fmt.Fprintf(text, "\n  %s: %s", f.Field, f.Detail)
	if f.Accepted != "" {
		fmt.Fprintf(text, "\n      accepted: %s", f.Accepted)
	}
}

func writeField(text *strings.Builder, field, accepted string) {
	if field != "" {
		fmt.Fprintf(text, "\n  field:    %s", field)
	}
	if accepted != "" {
		fmt.Fprintf(text, "\n  accepted: %s", accepted)
	}
}
