// Command tanager-stand runs fakes of the platform services, workers and targets, and load tests
// against entry VMs.
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
