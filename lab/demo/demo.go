// Package demo runs three failure domains on one machine under the load of two services, injects a
// fault mid-way (by default the loss of an entry VM), and reports the outcomes. The command fails
// when a submission was lost or started twice, or an answer was wrong.
package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/burdockward/burdockward/lab/deploy"
	"github.com/burdockward/burdockward/lab/experiment"
	"github.com/burdockward/burdockward/lab/load"
	"github.com/burdockward/burdockward/lab/report"
)

// Size of the demo.
const (
	vmsOfDomain     = 3
	targetsOfDomain = 16
	slotsOfTarget   = 8
	defaultLength   = 20 * time.Second
	defaultLoad     = 0.7
	duplicates      = 0.02
	// longest bounds the whole demo.
	longest = 2 * time.Minute
)

// Command returns the command that runs the demo.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run three failure domains under load, kill an entry VM, and check every outcome",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "daemon", Usage: "`PATH` of the burdockward binary; empty is beside this one"},
			&cli.DurationFlag{Name: "length", Value: defaultLength, Usage: "time over which jobs arrive"},
			&cli.FloatFlag{Name: "load", Value: defaultLoad, Usage: "share of the slots that the load keeps busy"},
			&cli.StringFlag{Name: "mix", Value: load.Both().Name, Usage: "load: kasa, thapa or both"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load"},
			&cli.StringFlag{Name: "fault", Value: string(experiment.FaultKill), Usage: fmt.Sprintf("what goes wrong mid-way, one of %v", experiment.Faults())},
			&cli.BoolFlag{Name: "json", Usage: "print the report as JSON"},
		},
		Action: run,
	}
}

// errViolations is the error of a demo whose report is not good.
var errViolations = errors.New("the demo found broken promises: see the report above")

func run(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	options, err := optionsOf(c)
	if err != nil {
		return err
	}
	began := time.Now()
	options.Log = func(format string, args ...any) {
		fmt.Fprintf(c.Root().ErrWriter, "%5.1fs  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
	rep, err := experiment.Run(ctx, options)
	if rep == nil {
		return err
	}
	if writeErr := write(c.Root().Writer, rep, c.Bool("json")); writeErr != nil {
		return writeErr
	}
	if err == nil && !rep.Good() {
		return errViolations
	}
	return err
}

func optionsOf(c *cli.Command) (experiment.Options, error) {
	mix, err := load.MixByName(c.String("mix"))
	if err != nil {
		return experiment.Options{}, err
	}
	binaries, err := deploy.FindBinaries(c.String("daemon"))
	if err != nil {
		return experiment.Options{}, err
	}
	return experiment.Options{
		Deploy: deploy.Options{
			Binaries: binaries,
			Domains:  []string{"hall-a", "hall-b", "hall-c"},
			VMs:      vmsOfDomain,
			Targets:  targetsOfDomain,
			Slots:    slotsOfTarget,
			LogLevel: "warn",
		},
		Mix:        mix,
		Seed:       c.Uint64("seed"),
		Load:       c.Float("load"),
		Length:     c.Duration("length"),
		Duplicates: duplicates,
		Retry:      load.RetryHonour,
		Deadline:   experiment.DefaultDeadline,
		Fault:      experiment.Fault(c.String("fault")),
		FaultAfter: c.Duration("length") / 2,
	}, nil
}

// write writes the report as text or JSON.
func write(w io.Writer, rep *report.Report, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(rep)
	}
	return rep.Write(w)
}
