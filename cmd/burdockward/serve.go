package main

import (
	"context"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"github.com/burdockward/burdockward/node"
	"github.com/burdockward/burdockward/platform"
)

// memoryShare of a VM's memory is the soft limit of the Go runtime; the rest holds
// what has arrived and isn't read yet.
const memoryShare = 0.6

// serve runs an entry VM on prepared machines, whose settings the platform gives.
func (a *app) serve(ctx context.Context, cmd *cli.Command) error {
	s, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB<<20)))
	log := slog.New(slog.NewJSONHandler(a.stdout, &slog.HandlerOptions{Level: slog.LevelInfo}))
	n, err := node.New(node.Options{Settings: s, Log: log, Count: func(string, string) {}})
	if err != nil {
		return &exitError{status: runStatus(err), err: err}
	}
	if err := n.Run(ctx); err != nil {
		return &exitError{status: runStatus(err), err: err}
	}
	return nil
}
