// Command tanager-entry is the daemon of an entry VM.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"tanagerstack.org/core/conf"
	"tanagerstack.org/entry/node"
)

const longHelp = `tanager-entry is the daemon of an entry VM.

Every entry VM runs the same daemon. It accepts requests and jobs from callers,
serves operators, and shares the work with the other entry VMs, which it discovers
through --seeds and the platform's membership list. It stores nothing on disk.

Each flag can also be set by an environment variable, for example --callers-address
by TANAGER_CALLERS_ADDRESS. A flag takes precedence over its variable.

The daemon is ready (GET /readyz on the debug address) once it holds a seat in its
failure domain and a policy is in force. Apply the first policy with "tanager policy
apply". On SIGTERM the daemon completes the requests in flight, hands over its roles
and exits with status 0.`

const exampleHelp = `  tanager keys --out keys --names zurich-a-1
  tanager-entry --name zurich-a-1 --domain zurich-a --region zurich \
    --callers-address 127.0.1.1:8080 --operators-address 127.0.1.1:8081 \
    --debug-address 127.0.1.1:8082 --peers-address 127.0.1.1:8083 \
    --tables-address 127.0.0.1:7001 --objects-address 127.0.0.1:7002 --members-address 127.0.0.1:7003 \
    --ca-file keys/ca.pem --cert-file keys/zurich-a-1.pem --key-file keys/zurich-a-1-key.pem \
    --operator-tokens alice=$(printf %s dev-alice | sha256sum | cut -d' ' -f1)`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err := rootCommand().ExecuteContext(ctx)
	stop()
	if err != nil {
		printError(err)
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "tanager-entry",
		Short:         "Run the daemon of an entry VM",
		Long:          longHelp,
		Example:       exampleHelp,
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE:          run,
	}
	conf.Bind(root.Flags())
	root.AddCommand(versionCommand())
	return root
}

func run(cmd *cobra.Command, _ []string) error {
	settings, err := conf.Load(cmd.Flags(), os.Environ())
	if err != nil {
		return err
	}
	if err := setVerbosity(settings.Verbosity); err != nil {
		return err
	}
	n, err := node.New(settings)
	if err != nil {
		return err
	}
	return n.Run(cmd.Context())
}

func setVerbosity(verbosity int) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	return flags.Set("v", strconv.Itoa(verbosity))
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of this program",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "tanager-entry", version())
			return err
		},
	}
}

// version returns the VCS revision that the program was built from. Without one it returns the
// module version, or "unknown" if the binary has no build information.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return info.Main.Version
}

// printError prints err to standard error. Each invalid setting gets its own line; other errors are
// printed on one line.
func printError(err error) {
	var fieldErr *conf.FieldError
	lines := strings.Split(err.Error(), "\n")
	if errors.As(err, &fieldErr) {
		fmt.Fprintf(os.Stderr, "tanager-entry: %d invalid settings:\n  %s\n", len(lines), strings.Join(lines, "\n  "))
		return
	}
	fmt.Fprintln(os.Stderr, "tanager-entry:", strings.Join(lines, "; "))
}
