// Command burdockward is the daemon on the entry VMs.
//
// Its exit status is 0 after a planned stop, 1 for bad usage or settings, 2
// when it can't listen on its addresses, and 3 for a failure at run time.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	// The platform says with SIGHUP that the settings file has changed.
	signal.Ignore(syscall.SIGHUP)
	// A second signal ends the process at once, as it would without a handler.
	context.AfterFunc(ctx, stop)
	a := &app{run: runDaemon, stdout: os.Stdout, stderr: os.Stderr}
	os.Exit(a.main(ctx, os.Args))
}
