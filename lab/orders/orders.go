// Package orders compares the orders in which one profile's submissions can be served, and measures
// how a burst of one profile delays another. It simulates admission's decisions over a number of
// slots, without network, overhead or clock, so that the same seed gives the same figures on every
// machine.
package orders

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/burdockward/burdockward/admission"
)

// Command returns the command that compares orders, with a subcommand that measures a burst.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "orders",
		Usage: "measure the orders inside a profile; flags that take lists take them with commas",
		Flags: []cli.Flag{
			&cli.FloatSliceFlag{Name: "load", Value: []float64{0.5, 0.8, 0.95, 1.2}, Usage: "shares of the slots that the load keeps busy"},
			&cli.BoolFlag{Name: "deadlines", Usage: "give submissions deadlines of 5, 10 or 30 s instead of an hour"},
			&cli.IntFlag{Name: "jobs", Value: 4000, Usage: "jobs of a trace"},
			&cli.IntFlag{Name: "traces", Value: 3, Usage: "traces of each load"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the first trace, the others take the next ones"},
			formatFlag(),
		},
		Action: runOrders,
		Commands: []*cli.Command{{
			Name:  "burst",
			Usage: "measure how long a burst of another profile delays one within its guarantee",
			Flags: []cli.Flag{
				&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the trace"},
				formatFlag(),
			},
			Action: runBurst,
		}},
	}
}

func formatFlag() cli.Flag {
	return &cli.StringFlag{Name: "format", Value: formatText, Usage: "text or markdown"}
}

func runOrders(ctx context.Context, c *cli.Command) error {
	e := experiment{deadlines: c.Bool("deadlines"), jobs: c.Int("jobs"), seed: c.Uint64("seed"), traces: c.Int("traces")}
	loads := c.FloatSlice("load")
	if e.jobs < 1 || e.traces < 1 || slices.Min(loads) <= 0 {
		return errors.New("nothing to measure: set jobs and traces to at least 1, and loads above 0, such as 0.8")
	}
	table, err := newTable(c.Root().Writer, c.String("format"), orderHeadings(e.deadlines))
	if err != nil {
		return err
	}
	for _, e.load = range loads {
		for _, order := range candidates() {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			table.add(orderRow(e, order))
		}
	}
	return table.write()
}

// orderHeadings returns the names of the columns. Ratio is the response time divided by that with
// one FIFO queue over the same slots, and slowdown the response time divided by the job's longest
// task.
func orderHeadings(deadlines bool) []string {
	if deadlines {
		return []string{"load", "order", "in time", "refused at once", "given up later", "slowdown p50", "p99", "mean ms"}
	}
	return []string{"load", "order", "ratio p50", "p99", "p99.9", "slowdown p50", "p99", "p99.9", "mean ms", "unanswered"}
}

// orderRow returns the row of one order, in the columns of orderHeadings.
func orderRow(e experiment, order admission.Order) []string {
	res := e.measure(order)
	name := []string{fmt.Sprintf("%.0f%%", 100*e.load), fmt.Sprintf("%s%v", order.Name(), order)}
	mean := fmt.Sprintf("%.0f", 1000*res.mean)
	if e.deadlines {
		return append(name,
			res.percentage(res.inTime),
			res.percentage(res.refused),
			res.percentage(res.expired),
			fmt.Sprintf("%.2f", quantile(res.slowdown, .5)),
			fmt.Sprintf("%.1f", quantile(res.slowdown, .99)),
			mean,
		)
	}
	return append(name,
		fmt.Sprintf("%.2f", quantile(res.ratio, .5)),
		fmt.Sprintf("%.2f", quantile(res.ratio, .99)),
		fmt.Sprintf("%.2f", quantile(res.ratio, .999)),
		fmt.Sprintf("%.2f", quantile(res.slowdown, .5)),
		fmt.Sprintf("%.1f", quantile(res.slowdown, .99)),
		fmt.Sprintf("%.1f", quantile(res.slowdown, .999)),
		mean,
		fmt.Sprint(res.refused+res.expired),
	)
}

// percentage formats a number of submissions as a percentage of all.
func (r *result) percentage(n int) string {
	return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(r.submitted))
}

func runBurst(_ context.Context, c *cli.Command) error {
	table, err := newTable(c.Root().Writer, c.String("format"), []string{"delay in ms", "p50", "p99", "p99.9"})
	if err != nil {
		return err
	}
	for _, each := range []burstCase{caseAlone, caseBeside, caseShared} {
		delays := each.delays(c.Uint64("seed"))
		table.add([]string{
			each.name,
			fmt.Sprintf("%.0f", quantile(delays, .5)),
			fmt.Sprintf("%.0f", quantile(delays, .99)),
			fmt.Sprintf("%.0f", quantile(delays, .999)),
		})
	}
	return table.write()
}
