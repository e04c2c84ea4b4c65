package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"path/filepath"
	"runtime/debug"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/settings"
	"github.com/burdockward/burdockward/telemetry"
)

const goodFile = "../../examples/reference.jsonc"

func TestCommandLineExitStatusAndOutput(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.jsonc")
	must.NoError(t, os.WriteFile(bad, []byte(`{"vm_id": 1, "other": 2}`), 0o600))
	cases := map[string]struct {
		args   []string
		runErr error
		status int
		out    string
	}{
		"run":                 {args: []string{"run", "--settings", goodFile}, out: "ran vm-1"},
		"run by default":      {args: []string{"--settings", goodFile}, out: "ran vm-1"},
		"flag before command": {args: []string{"--settings", goodFile, "run"}, out: "ran vm-1"},
		"no settings":         {args: nil, status: exitUsage, out: "give one with --settings"},
		"missing file":        {args: []string{"run", "--settings", bad + "x"}, status: exitUsage, out: "no such file"},
		"bad settings":        {args: []string{"run", "--settings", bad}, status: exitUsage, out: "line 1: vm_id = 1: is not a string"},
		"unknown flag":        {args: []string{"run", "--setings", goodFile}, status: exitUsage, out: "setings"},
		"unknown command":     {args: []string{"rum"}, status: exitUsage, out: `unknown command or argument "rum"`},
		"extra argument":      {args: []string{"run", "--settings", goodFile, "x"}, status: exitUsage, out: `argument "x"`},
		"check":               {args: []string{"check-config", goodFile}, out: goodFile + ": ok"},
		"share too large":     {args: []string{"serve", "--request-memory-share", "0.9"}, status: exitUsage, out: "0.9 is out of range: give a number from 0.05 to 0.25"},
		"check bad":           {args: []string{"check-config", bad}, status: exitUsage, out: "other = 2: is not a known key"},
		"check nothing":       {args: []string{"check-config"}, status: exitUsage, out: "needs one settings file"},
		"version":             {args: []string{"--version"}, out: "burdockward version"},
		"help":                {args: []string{"--help"}, out: "2 failed to listen, 3 failed at run time"},
		"help by one dash":    {args: []string{"-help"}, out: "check-config"},
		"failed to listen":    {args: []string{"--settings", goodFile}, runErr: fmt.Errorf("callers: %w", &net.OpError{Op: "listen", Err: errors.New("in use")}), status: exitListen, out: "in use"},
		"failed dial":         {args: []string{"--settings", goodFile}, runErr: &net.OpError{Op: "dial", Err: errors.New("refused")}, status: exitFailed, out: "refused"},
		"failed at run time":  {args: []string{"--settings", goodFile}, runErr: errors.New("broken"), status: exitFailed, out: "burdockward: broken"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			run := func(_ context.Context, s *settings.Settings, _ *telemetry.Telemetry) error {
				fmt.Fprintln(&out, "ran", s.VMID)
				return tc.runErr
			}
			a := &app{run: run, stdout: &out, stderr: &out}
			status := a.execute(t.Context(), append([]string{"burdockward"}, tc.args...))
			must.Eq(t, tc.status, status, must.Sprint(out.String()))
			must.StrContains(t, out.String(), tc.out)
		})
	}
}

func TestPlannedStopExitsWithoutOutput(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	run := func(ctx context.Context, _ *settings.Settings, _ *telemetry.Telemetry) error {
		cancel()
		<-ctx.Done()
		return nil
	}
	var out bytes.Buffer
	a := &app{run: run, stdout: &out, stderr: &out}
	must.Eq(t, exitOK, a.execute(ctx, []string{"burdockward", "--settings", goodFile}))
	must.Eq(t, "", out.String())
}

// The soft memory limit of the settings is in force while the daemon runs; 0 means no limit.
func TestMemoryLimitOfSettingsIsInForce(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(before) })
	reference, err := os.ReadFile(goodFile)
	must.NoError(t, err)
	for text, want := range map[string]int64{"100663296": 96 << 20, "80000000": 80_000_000, "0": math.MaxInt64} {
		path := filepath.Join(t.TempDir(), "settings.jsonc")
		changed := bytes.Replace(reference, []byte(`"memory_bytes": 100663296`), []byte(`"memory_bytes": `+text), 1)
		must.NoError(t, os.WriteFile(path, changed, 0o600))
		var limit int64
		run := func(context.Context, *settings.Settings, *telemetry.Telemetry) error {
			limit = debug.SetMemoryLimit(-1)
			return nil
		}
		a := &app{run: run, stdout: io.Discard, stderr: io.Discard}
		must.Eq(t, exitOK, a.execute(t.Context(), []string{"burdockward", "--settings", path}))
		must.Eq(t, want, limit)
	}
}
