// Command tanager-stand runs small stand-ins for the platform, workers and targets.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"tanagerstack.org/stand/cmds"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cmds.Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
