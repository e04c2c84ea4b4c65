package losses

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
)

// Command is the command that prints the counts of losses that it finds in logs.
func Command() *cli.Command {
	return &cli.Command{
		Name:      "losses",
		Usage:     "count the jobs that were not answered in time by cause, from the daemons' logs",
		ArgsUsage: "LOG (- for standard input)",
		Flags:     []cli.Flag{&cli.DurationFlag{Name: "window", Usage: "length of the windows of time in which losses are counted", Value: 2 * time.Second}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			logs := io.Reader(os.Stdin)
			switch name := cmd.Args().First(); name {
			case "":
				return fmt.Errorf("missing argument: give a log file, or - for standard input")
			case "-":
			default:
				file, err := os.Open(name)
				if err != nil {
					return err
				}
				defer func() { _ = file.Close() }()
				logs = file
			}
			found, err := Read(logs)
			if err != nil {
				return err
			}
			if err := writeTable(os.Stdout, "queue", found, ByQueue); err != nil {
				return err
			}
			fmt.Println()
			return writeTable(os.Stdout, "ended", found, ByWindow(cmd.Duration("window")))
		},
	}
}

// writeTable writes a row for each cause that occurs, and a column for each group, headed by
// head and the group's name.
func writeTable(to io.Writer, head string, found []Loss, groupOf func(Loss) string) error {
	counts := Count(found, groupOf)
	groups, causes := map[string]int{}, map[Cause]int{}
	for cell, n := range counts {
		groups[cell.Group] += n
		causes[cell.Cause] += n
	}
	out := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(out, "cause\tall\t")
	names := slices.Sorted(maps.Keys(groups))
	for _, name := range names {
		fmt.Fprintf(out, "%s %s\t", head, name)
	}
	fmt.Fprintln(out)
	for _, cause := range Causes() {
		if causes[cause] == 0 {
			continue
		}
		fmt.Fprintf(out, "%s\t%d\t", cause, causes[cause])
		for _, name := range names {
			fmt.Fprintf(out, "%d\t", counts[Cell{cause, name}])
		}
		fmt.Fprintln(out)
	}
	return out.Flush()
}
