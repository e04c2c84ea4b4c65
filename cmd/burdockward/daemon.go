package main

import (
	"context"

	"github.com/burdockward/burdockward/daemon"
	"github.com/burdockward/burdockward/settings"
	"github.com/burdockward/burdockward/telemetry"
)

// runDaemon runs the daemon until the context ends.
func runDaemon(ctx context.Context, s *settings.Settings, tel *telemetry.Telemetry) error {
	return daemon.Run(ctx, s, tel)
}
