package cmds

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"tanagerstack.org/stand/flags"
	"tanagerstack.org/stand/slope"
)

// newWatch returns the command watch, which measures running processes.
func newWatch() *cobra.Command {
	var processes flags.Pairs
	var role string
	var size float64
	var duration time.Duration
	cmd := &cobra.Command{
		Use:   "watch",
		Short: "Measure the resource usage of running processes, as points for the fit command",
		Long: `Measures processes over a period and writes one line of JSON for each, with its role,
its size, and its processor time, memory and traffic. Used by make slopes; the results
are in docs/CAPACITY.md.`,
		Example: "  tanager-stand watch --process 4711=127.0.1.1:8082 --role peers --size 9 --duration 10s >> points",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			parsed, err := parseProcesses(processes)
			if err != nil {
				return err
			}
			usages, err := slope.Watch(cmd.Context(), parsed, duration)
			if err != nil {
				return err
			}
			encoder := json.NewEncoder(cmd.OutOrStdout())
			for _, usage := range usages {
				if err := encoder.Encode(slope.Point{Role: role, Size: size, Usage: usage}); err != nil {
					return err
				}
			}
			return nil
		},
	}
	cmd.Flags().Var(&processes, "process", "process IDs and the addresses that serve their /debug/vars, as PID=IP:PORT,..; PID=none if there is none")
	cmd.Flags().StringVar(&role, "role", "", "role of the processes")
	cmd.Flags().Float64Var(&size, "size", 0, "size of the role at which the processes run")
	cmd.Flags().DurationVar(&duration, "duration", 10*time.Second, "how long to measure")
	return cmd
}

func parseProcesses(pairs flags.Pairs) ([]slope.Process, error) {
	processes := make([]slope.Process, 0, len(pairs))
	var errs []error
	for _, pair := range pairs {
		p := slope.Process{}
		var err error
		if p.PID, err = strconv.Atoi(pair.Name); err != nil || p.PID < 1 {
			errs = append(errs, fmt.Errorf("--process: %q is not a process ID", pair.Name))
		}
		if pair.Value != "none" {
			if p.DebugAddress, err = netip.ParseAddrPort(pair.Value); err != nil {
				errs = append(errs, fmt.Errorf("--process: %q is not IP:PORT or none", pair.Value))
			}
		}
		processes = append(processes, p)
	}
	if len(pairs) == 0 {
		errs = append(errs, errors.New("--process: at least one process is required"))
	}
	return processes, errors.Join(errs...)
}

// newFit returns the command fit, which extrapolates usage to a larger size.
func newFit() *cobra.Command {
	var projections flags.Pairs
	cmd := &cobra.Command{
		Use:     "fit",
		Short:   "Fit lines to measured points and extrapolate the usage to a target size",
		Long:    "Reads the output of watch from standard input and prints a Markdown table.",
		Example: "  tanager-stand fit --target peers=20 < points",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			parsed, err := parseProjections(projections)
			if err != nil {
				return err
			}
			points, err := readPoints(cmd.InOrStdin())
			if err != nil {
				return err
			}
			return slope.WriteTable(cmd.OutOrStdout(), points, parsed)
		},
	}
	cmd.Flags().Var(&projections, "target", "roles and the sizes to extrapolate to, as ROLE=SIZE,..")
	return cmd
}

func parseProjections(pairs flags.Pairs) ([]slope.Projection, error) {
	projections := make([]slope.Projection, 0, len(pairs))
	for _, pair := range pairs {
		size, err := strconv.ParseFloat(pair.Value, 64)
		if err != nil || size <= 0 {
			return nil, fmt.Errorf("--target: %q is not a number greater than 0", pair.Value)
		}
		projections = append(projections, slope.Projection{Role: pair.Name, Size: size})
	}
	return projections, nil
}

func readPoints(in io.Reader) ([]slope.Point, error) {
	var points []slope.Point
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		var p slope.Point
		if err := json.Unmarshal(lines.Bytes(), &p); err != nil {
			return nil, fmt.Errorf("parsing line %d of the points: %w", len(points)+1, err)
		}
		points = append(points, p)
	}
	return points, lines.Err()
}
