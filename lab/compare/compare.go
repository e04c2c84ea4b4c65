// Package compare runs experiments with the daemon's policies under the same traces and
// tabulates the outcomes.
//
// Its input is lists of policies, loads, spreads and faults; each combination is a cell, and the
// cells run one after the other. Its output is a table with a row for each cell, as text, markdown
// or JSON. Cells that differ in the policy alone get the same trace.
package compare

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/burdockward/burdockward/lab/deploy"
	"github.com/burdockward/burdockward/lab/experiment"
	"github.com/burdockward/burdockward/lab/load"
)

// Defaults of a comparison.
const (
	domain         = "hall-a"
	defaultVMs     = 3
	defaultTargets = 16
	defaultSlots   = 8
	defaultLength  = 8 * time.Second
	// faultStartDivisor divides the length of a cell into the time at which its fault begins.
	faultStartDivisor = 4
)

// The names of the spreads of load over entry VMs.
const (
	spreadEven   = "even"
	spreadUneven = "uneven"
)

// Policies lists the policies that can be compared. The first is the one that is used in
// production.
func Policies() []string {
	return []string{"shared", "random", "round_robin", "least_outstanding"}
}

// Command is the command that compares policies.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "compare",
		Usage: "compare the daemon's policies under the same traces; lists are separated by commas",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "daemon", Usage: "`PATH` of the burdockward binary; empty stands for the one in this program's folder"},
			&cli.StringSliceFlag{Name: "policy", Value: Policies(), Usage: "list of policies to compare"},
			&cli.FloatSliceFlag{Name: "load", Value: []float64{0.8}, Usage: "list of loads, as shares of all slots, such as 0.5,0.8,0.95,1.2"},
			&cli.StringSliceFlag{Name: "spread", Value: []string{spreadEven}, Usage: "list of spreads of load over entry VMs: even, uneven"},
			&cli.StringSliceFlag{Name: "fault", Value: []string{string(experiment.FaultNone)}, Usage: fmt.Sprintf("list of faults: %v", experiment.Faults())},
			&cli.StringFlag{Name: "mix", Value: load.Both().Name, Usage: "mix of jobs: kasa, thapa or both"},
			&cli.StringFlag{Name: "retry", Value: string(load.RetryNever), Usage: "how callers retry after a refusal: never, honour or impatient"},
			&cli.DurationFlag{Name: "deadline", Value: experiment.DefaultDeadline, Usage: "deadline of every submission"},
			&cli.DurationFlag{Name: "length", Value: defaultLength, Usage: "time during which jobs arrive in each cell"},
			&cli.IntFlag{Name: "vms", Value: defaultVMs, Usage: "number of entry VMs"},
			&cli.IntFlag{Name: "targets", Value: defaultTargets, Usage: "number of targets"},
			&cli.IntFlag{Name: "slots", Value: defaultSlots, Usage: "number of slots of each target"},
			&cli.FloatFlag{Name: "duplicates", Usage: "share of jobs that are sent to two VMs at once, from 0 to 1"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the traces"},
			&cli.StringFlag{Name: "format", Value: formatText, Usage: "format of the table: text, markdown or json"},
		},
		Action: runCells,
	}
}

// Cell names one run of a comparison.
type Cell struct {
	Policy string           `json:"policy"`
	Load   float64          `json:"load"`
	Spread string           `json:"spread"`
	Fault  experiment.Fault `json:"fault"`
}

// runCells runs the cells that the flags select and writes the table, also of the cells before
// a cancellation.
func runCells(ctx context.Context, c *cli.Command) error {
	base, err := baseOptions(c)
	if err != nil {
		return err
	}
	cells, err := cellsFromFlags(c)
	if err != nil {
		return err
	}
	table, err := newTable(c.Root().Writer, c.String("format"))
	if err != nil {
		return err
	}
	for i, cell := range cells {
		fmt.Fprintf(c.Root().ErrWriter, "%d/%d %+v\n", i+1, len(cells), cell)
		row := Row{Cell: cell}
		row.Report, err = experiment.Run(ctx, cell.options(base))
		if row.Report == nil {
			row.Err = err.Error()
		}
		table.add(row)
		if ctx.Err() != nil {
			break
		}
	}
	return table.write()
}

// baseOptions returns the options that all cells share.
func baseOptions(c *cli.Command) (experiment.Options, error) {
	mix, err := load.MixByName(c.String("mix"))
	if err != nil {
		return experiment.Options{}, err
	}
	binaries, err := deploy.FindBinaries(c.String("daemon"))
	if err != nil {
		return experiment.Options{}, err
	}
	retry, err := load.RetryModeByName(c.String("retry"))
	if err != nil {
		return experiment.Options{}, err
	}
	return experiment.Options{
		Deploy: deploy.Options{
			Binaries: binaries,
			Domains:  []string{domain},
			VMs:      c.Int("vms"),
			Targets:  c.Int("targets"),
			Slots:    c.Int("slots"),
			LogLevel: "error",
		},
		Mix:        mix,
		Seed:       c.Uint64("seed"),
		Length:     c.Duration("length"),
		Duplicates: c.Float("duplicates"),
		Retry:      retry,
		Deadline:   c.Duration("deadline"),
		FaultAfter: c.Duration("length") / faultStartDivisor,
	}, nil
}

// options returns the base options with the choices of the cell.
func (cell Cell) options(base experiment.Options) experiment.Options {
	base.Deploy.Policy = cell.Policy
	base.Load = cell.Load
	base.Uneven = cell.Spread == spreadUneven
	base.Fault = cell.Fault
	return base
}

// cellsFromFlags returns a cell for each combination of choices. Policies vary fastest, so that
// the cells of one trace run one after the other.
func cellsFromFlags(c *cli.Command) ([]Cell, error) {
	var cells []Cell
	for _, fault := range c.StringSlice("fault") {
		for _, spread := range c.StringSlice("spread") {
			for _, load := range c.FloatSlice("load") {
				for _, policy := range c.StringSlice("policy") {
					cells = append(cells, Cell{Policy: policy, Load: load, Spread: spread, Fault: experiment.Fault(fault)})
				}
			}
		}
	}
	return cells, checkCells(cells)
}

// checkCells returns an error for an unknown choice, so that it is found before the first run.
func checkCells(cells []Cell) error {
	for _, cell := range cells {
		if !slices.Contains(Policies(), cell.Policy) || !slices.Contains(experiment.Faults(), cell.Fault) || !slices.Contains([]string{spreadEven, spreadUneven}, cell.Spread) {
			return fmt.Errorf("unknown choice in %+v: take policies of %v, faults of %v, the spread %s or %s",
				cell, Policies(), experiment.Faults(), spreadEven, spreadUneven)
		}
	}
	return nil
}
