// Command burdockward is the daemon of the entry VMs. Its input is the command line and a settings
// file; SIGTERM and SIGINT start a planned stop, and a second one ends the process at once.
//
// The exit status is 0 after a planned stop, 1 for bad usage or settings, 2 if the daemon can't
// listen on its addresses, and 3 for a failure at run time.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	// The platform sends SIGHUP when the settings file has changed. Only serve reads it again.
	signal.Ignore(syscall.SIGHUP)
	// After the first signal the handlers are removed, so that a second one ends the process.
	context.AfterFunc(ctx, stop)
	a := &app{run: runDaemon, stdout: os.Stdout, stderr: os.Stderr}
	os.Exit(a.execute(ctx, os.Args))
}
