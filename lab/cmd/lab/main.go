// Command lab runs the stand-ins, the demo and the measurements of burdockward's test bench, one
// per subcommand. It is not shipped.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/burdockward/burdockward/lab/compare"
	"github.com/burdockward/burdockward/lab/demo"
	"github.com/burdockward/burdockward/lab/experiment"
	"github.com/burdockward/burdockward/lab/losses"
	"github.com/burdockward/burdockward/lab/orders"
	"github.com/burdockward/burdockward/lab/prepared"
	"github.com/burdockward/burdockward/lab/replay"
	"github.com/burdockward/burdockward/lab/slopes"
	"github.com/burdockward/burdockward/lab/standin/platform"
	"github.com/burdockward/burdockward/lab/standin/target"
	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "lab",
		Usage: "run stand-ins of the outside systems, the demo and measurements",
		Commands: []*cli.Command{
			platform.Command(),
			target.Command(),
			demo.Command(),
			slopes.Command(),
			compare.Command(),
			orders.Command(),
			prepared.Command(),
			prepared.SoakCommand(),
			prepared.RecoverCommand(),
			experiment.LoadCommand(),
			replay.Command(),
			replay.RoundsCommand(),
			losses.Command(),
		},
	}
}
