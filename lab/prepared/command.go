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

// The demo's size and times.
const (
	demoDomains, demoVMs, demoTargets = 3, 3, 4
	demoLoad                          = 60
	demoStart                         = 5 * time.Second
	demoStep                          = 3 * time.Second
	demoLost                          = 20
)

// Command runs the demo.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "prepared",
		Usage: "run burdockward on a stand-in of the prepared machines, under load and faults",
		Flags: []cli.Flag{&cli.StringFlag{Name: "binary", Usage: "the daemon's program", Value: "bin/burdockward"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return demo(ctx, cmd.String("binary"))
		},
	}
}

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
	if !d.WaitReady(demoStart) {
		return errors.New("not all VMs were ready in time: see whether the loopback addresses are free")
	}
	fmt.Printf("%d VMs in %d failure domains with %d targets are ready\n", len(d.VMs), demoDomains, len(d.Targets))
	load, stop := context.WithCancel(ctx)
	defer stop()
	tally := make(chan *Tally, 1)
	go func() { tally <- d.Load(load, demoLoad) }()
	d.trouble(ctx)
	stop()
	return d.report(<-tally)
}

// trouble plays a planned stop, a killed owner and an outage of the store.
func (d *Deployment) trouble(ctx context.Context) {
	pause(ctx, demoStep)
	if owner := d.Owner(0); owner != nil {
		fmt.Println("planned stop of the owner", owner.Name)
		owner.Signal(syscall.SIGTERM)
		_ = owner.Wait(ctx)
		_ = owner.Start()
	}
	pause(ctx, demoStep)
	if owner := d.Owner(1); owner != nil {
		fmt.Println("kill of the owner", owner.Name)
		owner.Kill()
		_ = owner.Start()
	}
	pause(ctx, demoStep)
	fmt.Println("cordon of", domainName(2))
	d.Cordon(domainName(2), true)
	pause(ctx, demoStep)
	d.Cordon(domainName(2), false)
	pause(ctx, demoStep)
	fmt.Println("the store is away")
	d.Store.Away("", true)
	pause(ctx, demoStep)
	d.Store.Away("", false)
	pause(ctx, demoStep)
}

func pause(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

func (d *Deployment) report(tally *Tally) error {
	fmt.Println(tally)
	doubled := d.Recorder.Doubled()
	switch {
	case len(doubled) > 0:
		return fmt.Errorf("tasks ran twice at one time: %v", doubled)
	case len(tally.Untrue) > 0:
		return fmt.Errorf("jobs were refused though they had begun: %v", tally.Untrue)
	case tally.Lost > demoLost:
		return fmt.Errorf("%d jobs were lost", tally.Lost)
	}
	fmt.Println("nothing ran twice, no refusal was untrue")
	return nil
}
