package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"runtime/debug"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/burdockward/burdockward/settings"
	"github.com/burdockward/burdockward/telemetry"
)

// The exit statuses of the process.
const (
	exitOK     = 0
	exitUsage  = 1
	exitListen = 2
	exitFailed = 3
)

// flushTimeout bounds the export of the last spans at the end of the process.
const flushTimeout = 2 * time.Second

// version is set by the linker. Without it the version of the module is shown.
var version string

// runFunc runs the daemon until the context ends and then returns nil.
type runFunc func(ctx context.Context, s *settings.Settings, tel *telemetry.Telemetry) error

// app is the command line with its output streams and the daemon that it runs.
type app struct {
	run            runFunc
	stdout, stderr io.Writer
}

// exitError is a failure with its exit status.
type exitError struct {
	status int
	err    error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// execute runs the command line and returns the exit status.
func (a *app) execute(ctx context.Context, args []string) int {
	err := a.command().Run(ctx, args)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(a.stderr, "burdockward:", err)
	if failed, ok := errors.AsType[*exitError](err); ok {
		return failed.status
	}
	return exitUsage
}

// command defines the commands and flags. Errors are printed by execute, not by package cli.
func (a *app) command() *cli.Command {
	return &cli.Command{
		Name:      "burdockward",
		Usage:     "dispatch sub-second tasks of callers from an entry VM to targets",
		UsageText: "burdockward [run] --settings FILE\nburdockward check-config FILE",
		Description: "Exit status: 0 planned stop, 1 bad usage or settings,\n" +
			"2 failed to listen, 3 failed at run time.\n" +
			"SIGTERM and SIGINT start a planned stop; a second one ends the process at once.",
		Version: versionText(),
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "settings", Aliases: []string{"s"}, Usage: "read the daemon's settings from `FILE`, JSON with comments; required for run, no default",
		}},
		Action: a.runDaemon,
		Commands: []*cli.Command{
			{Name: "run", Usage: "run the daemon under the settings of --settings; this is the default command", Action: a.runDaemon},
			a.serveCommand(),
			{Name: "check-config", Usage: "check a settings file and list all its faults, without running the daemon", ArgsUsage: "FILE", Action: a.checkConfig},
		},
		Writer:         a.stdout,
		ErrWriter:      a.stderr,
		OnUsageError:   func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err },
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

// runDaemon runs the daemon with the settings file of --settings.
func (a *app) runDaemon(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return fmt.Errorf("unknown command or argument %q: see burdockward --help for the known ones", cmd.Args().First())
	}
	path := cmd.String("settings")
	if path == "" {
		return errors.New("no settings file: give one with --settings FILE")
	}
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	tel, err := telemetry.New(s, telemetry.Outputs{Log: a.stderr, Spans: a.stdout})
	if err != nil {
		return err
	}
	defer closeTelemetry(tel)
	limitMemory(s.Limits.MemoryBytes)
	if err := a.run(ctx, s, tel); err != nil {
		return &exitError{status: exitStatus(err), err: err}
	}
	return nil
}

// limitMemory sets the soft memory limit of the Go runtime; 0 means no limit.
func limitMemory(bytes int64) {
	if bytes == 0 {
		bytes = math.MaxInt64
	}
	debug.SetMemoryLimit(bytes)
}

// exitStatus returns the exit status of a failed run: a failure to listen has its own.
func exitStatus(err error) int {
	if op, ok := errors.AsType[*net.OpError](err); ok && op.Op == "listen" {
		return exitListen
	}
	return exitFailed
}

// closeTelemetry writes out the remaining telemetry. A failure is only logged, as the process ends
// anyway.
func closeTelemetry(tel *telemetry.Telemetry) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := tel.Close(ctx); err != nil {
		tel.Log().Warn("telemetry not written out", "error", err)
	}
}

// checkConfig checks the settings file that the command line names.
func (a *app) checkConfig(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return errors.New("check-config needs one settings file: run burdockward check-config FILE")
	}
	path := cmd.Args().First()
	if _, err := settings.Load(path); err != nil {
		return err
	}
	fmt.Fprintf(a.stdout, "%s: ok\n", path)
	return nil
}

func versionText() string {
	if version != "" {
		return version
	}
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}
