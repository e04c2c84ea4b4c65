package prepared

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
)

// Size and times of the demo.
const (
	// demoVMs and demoTargets are numbers in each failure domain.
	demoDomains, demoVMs, demoTargets = 3, 3, 4
	// demoJobsPerSecond is the rate of jobs.
	demoJobsPerSecond = 60
	// demoStartTimeout is how long the VMs have to become ready.
	demoStartTimeout = 5 * time.Second
	// demoStepTime is the time between two faults.
	demoStepTime = 3 * time.Second
	// demoMaxLost is how many jobs may stay without an answer.
	demoMaxLost = 20
)

// Command is the command that runs the demo: load under a fixed sequence of faults.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "prepared",
		Usage: "run burdockward on simulated machines of the platform, under load and a sequence of faults",
		Flags: []cli.Flag{&cli.StringFlag{Name: "binary", Usage: "`PATH` of the daemon's binary", Value: "bin/burdockward"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return demo(ctx, cmd.String("binary"))
		},
	}
}

// demo starts a deployment, runs load and faults on it and checks the result.
func demo(ctx context.Context, binary string) error {
	binary, err := filepath.Abs(binary)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "burdockward-prepared")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d, err := Start(Options{Binary: binary, Dir: dir, Domains: demoDomains, VMs: demoVMs, Targets: demoTargets})
	if err != nil {
		return err
	}
	defer d.Stop()
	if !d.WaitReady(demoStartTimeout) {
		return errors.New("not all VMs are ready in time: check that their loopback addresses are free")
	}
	fmt.Printf("%d VMs in %d failure domains with %d targets are ready\n", len(d.VMs), demoDomains, len(d.Targets))
	load, stop := context.WithCancel(ctx)
	defer stop()
	tally := make(chan *Tally, 1)
	go func() { tally <- d.Load(load, demoJobsPerSecond) }()
	d.injectFaults(ctx)
	stop()
	return d.report(<-tally)
}

// injectFaults plays a planned stop of an owner, a killed owner, a cordon and an outage of the
// store, one after the other.
func (d *Deployment) injectFaults(ctx context.Context) {
	pause(ctx, demoStepTime)
	if owner := d.Owner(0); owner != nil {
		fmt.Println("planned stop of the owner", owner.Name)
		owner.Signal(syscall.SIGTERM)
		_ = owner.Wait(ctx)
		_ = owner.Start()
	}
	pause(ctx, demoStepTime)
	if owner := d.Owner(1); owner != nil {
		fmt.Println("kill of the owner", owner.Name)
		owner.Kill()
		_ = owner.Start()
	}
	pause(ctx, demoStepTime)
	fmt.Println("cordon of", domainName(2))
	d.SetCordon(domainName(2), true)
	pause(ctx, demoStepTime)
	d.SetCordon(domainName(2), false)
	pause(ctx, demoStepTime)
	fmt.Println("outage of the store")
	d.Store.SetUnavailable("", true)
	pause(ctx, demoStepTime)
	d.Store.SetUnavailable("", false)
	pause(ctx, demoStepTime)
}

// pause waits for a time or the end of the context.
func pause(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

// report prints the counts and returns an error for each outcome that must not occur.
func (d *Deployment) report(tally *Tally) error {
	fmt.Println(tally)
	doubled := d.Recorder.Doubled()
	switch {
	case len(doubled) > 0:
		return fmt.Errorf("tasks ran twice at the same time: %v", doubled)
	case len(tally.FalseRefusals) > 0:
		return fmt.Errorf("jobs were refused although they had started: %v", tally.FalseRefusals)
	case tally.Lost > demoMaxLost:
		return fmt.Errorf("%d jobs had no answer", tally.Lost)
	}
	fmt.Println("no task ran twice at the same time, no refused job had started")
	return nil
}
