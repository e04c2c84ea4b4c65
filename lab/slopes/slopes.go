// Package slopes measures on one machine how the costs of burdockward grow. Costs are the processor
// time, memory, bytes and messages of a daemon, the load on the table service, and the time of one
// decision. They grow with the number of entry VMs, targets, slots, profiles, jobs, tasks and
// records.
//
// Each experiment varies one number, measures every cost several times at each of several values,
// and fits a line to each cost. docs/CAPACITY.md uses these lines for sizes that the machine can't
// hold.
package slopes

import (
	"context"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/burdockward/burdockward/lab/deploy"
)

const (
	defaultOut   = "out/slopes"
	fullRepeats  = 3
	shortRepeats = 1
	fullWindow   = 10 * time.Second
	shortWindow  = 2 * time.Second
	// fullSettle and shortSettle are the time from ready to the first measurement.
	fullSettle  = 3 * time.Second
	shortSettle = time.Second
	// fullBench and shortBench are the least time of one benchmark.
	fullBench     = "1s"
	shortBench    = "100ms"
	shortLongest  = 5 * time.Minute
	fullLongest   = 45 * time.Minute
	resultSuffix  = ".json"
	pointsOfShort = 4
)

// Command returns the command that measures slopes, with a subcommand that draws stored results.
func Command() *cli.Command {
	return &cli.Command{
		Name:      "slopes",
		Usage:     "measure how the cost of each role grows with VMs, targets, profiles, jobs and records",
		ArgsUsage: " ",
		Description: "Starts small deployments on the loopback interface, one after the other, measures the costs of\n" +
			"their daemons, fits a line to each and ends them. Writes one JSON and CSV file and one plot for\n" +
			"each experiment. Rates are per daemon. The experiments:\n" + listing(),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "daemon", Usage: "`PATH` of the burdockward binary; empty is beside this one"},
			&cli.StringFlag{Name: "out", Value: defaultOut, Usage: "`DIRECTORY` of the results"},
			&cli.StringFlag{Name: "only", Usage: "`NAMES` of the experiments to run, separated by commas; empty is all"},
			&cli.BoolFlag{Name: "short", Usage: "short windows and one run at each of four points, which run at the same time; within five minutes for all experiments but loss-records and full-answers, which are run when named"},
			&cli.IntFlag{Name: "repeats", Usage: "runs of each point; 0 takes 3, or 1 with --short"},
			&cli.DurationFlag{Name: "window", Usage: "time over which one run is measured; 0 takes 10s, or 2s with --short"},
		},
		Action:   run,
		Commands: []*cli.Command{reportCommand()},
	}
}

// listing returns the names and titles of all experiments, one a line.
func listing() string {
	var b strings.Builder
	for _, e := range experiments() {
		fmt.Fprintf(&b, "  %-18s %s\n", e.name, e.title)
	}
	return b.String()
}

// run runs the chosen experiments. It continues after one that fails, and returns all errors.
func run(ctx context.Context, c *cli.Command) error {
	chosen, err := choose(c.String("only"))
	if err != nil {
		return err
	}
	binaries, err := deploy.FindBinaries(c.String("daemon"))
	if err != nil {
		return err
	}
	longest := fullLongest
	if c.Bool("short") {
		longest = shortLongest
	}
	if c.Bool("short") && c.String("only") == "" {
		chosen = slices.DeleteFunc(chosen, func(e experiment) bool { return e.long })
	}
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	r := newRunner(c, binaries)
	var failed error
	for _, e := range chosen {
		if ctx.Err() != nil {
			return errors.Join(failed, fmt.Errorf("%s and later ones not run: %w", e.name, ctx.Err()))
		}
		if err := r.runAndSave(ctx, e, c.String("out"), c.Root().Writer); err != nil {
			r.log("experiment %s failed: %v", e.name, err)
			failed = errors.Join(failed, fmt.Errorf("experiment %s: %w", e.name, err))
		}
	}
	return failed
}

// runAndSave runs one experiment and writes its files.
func (r *runner) runAndSave(ctx context.Context, e experiment, dir string, w io.Writer) error {
	result, err := r.run(ctx, e)
	if err != nil {
		return err
	}
	path := filepath.Join(dir, e.name+resultSuffix)
	if err := result.save(path); err != nil {
		return err
	}
	return result.render(w, path)
}

// choose returns the experiments with the names in a comma-separated list, or all when it is empty.
func choose(names string) ([]experiment, error) {
	all := experiments()
	if names == "" {
		return all, nil
	}
	var chosen []experiment
	for name := range strings.SplitSeq(names, ",") {
		i := slices.IndexFunc(all, func(e experiment) bool { return e.name == strings.TrimSpace(name) })
		if i < 0 {
			return nil, fmt.Errorf("unknown experiment %q: lab slopes --help lists them", name)
		}
		chosen = append(chosen, all[i])
	}
	return chosen, nil
}

func newRunner(c *cli.Command, binaries deploy.Binaries) *runner {
	began := time.Now()
	r := &runner{
		binaries: binaries,
		short:    c.Bool("short"),
		repeats:  fullRepeats,
		window:   fullWindow,
		settle:   fullSettle,
		log: func(format string, args ...any) {
			fmt.Fprintf(c.Root().ErrWriter, "%6.1fs  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
		},
	}
	if r.short {
		r.repeats, r.window, r.settle = shortRepeats, shortWindow, shortSettle
	}
	if n := c.Int("repeats"); n > 0 {
		r.repeats = n
	}
	if w := c.Duration("window"); w > 0 {
		r.window = w
	}
	return r
}

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:      "report",
		Usage:     "fit and draw stored results again",
		ArgsUsage: "FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() == 0 {
				return fmt.Errorf("name the JSON files of results to draw")
			}
			for _, path := range c.Args().Slice() {
				result, err := readResult(path)
				if err != nil {
					return err
				}
				if err := result.render(c.Root().Writer, path); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
