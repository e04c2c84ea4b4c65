package compare

import (
	"context"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/urfave/cli/v3"

	"github.com/burdockward/burdockward/lab/experiment"
	"github.com/burdockward/burdockward/lab/report"
)

// cellsFor returns the cells that a command line selects.
func cellsFor(t *testing.T, args ...string) (cells []Cell, err error) {
	command := Command()
	command.Action = func(_ context.Context, c *cli.Command) error {
		cells, err = cellsFromFlags(c)
		return nil
	}
	must.NoError(t, command.Run(t.Context(), append([]string{"compare"}, args...)))
	return cells, err
}

func TestCellsCombineAllChoices(t *testing.T) {
	cells, err := cellsFor(t, "--policy", "shared,random", "--load", "0.5,1.2", "--spread", "even,uneven", "--fault", "none,kill")
	must.NoError(t, err)
	must.Len(t, 16, cells)
	must.Eq(t, Cell{Policy: "shared", Load: 0.5, Spread: "even", Fault: experiment.FaultNone}, cells[0])
	must.Eq(t, Cell{Policy: "random", Load: 0.5, Spread: "even", Fault: experiment.FaultNone}, cells[1])
	must.Eq(t, Cell{Policy: "random", Load: 1.2, Spread: "uneven", Fault: experiment.FaultKill}, cells[15])
	must.True(t, cells[15].options(experiment.Options{}).Uneven)

	for _, args := range [][]string{{"--policy", "best"}, {"--fault", "fire"}, {"--spread", "odd"}} {
		_, err = cellsFor(t, args...)
		must.ErrorContains(t, err, "unknown choice")
	}
}

func TestTableHasEachRowInEachFormat(t *testing.T) {
	cell := Cell{Policy: "shared", Load: 0.8, Spread: "even", Fault: experiment.FaultNone}
	rep := &report.Report{Jobs: 10, Answered: 6, NotRun: 3, Started: 4, RefusedStarts: map[string]uint64{"full": 1, "leaving": 1}}
	rep.Total.Ratio.P99 = 1.5
	for format, want := range map[string]string{
		formatMarkdown: "| none | even | 80% | shared | 10 | 6 | 3 | 1 | 0.000 | 1.500 | 0.000 | 0.000 | 0.500 | 0 | 0 | 0 |",
		formatText:     "shared  10",
		formatJSON:     `"not_run": 3`,
	} {
		var out strings.Builder
		table, err := newTable(&out, format)
		must.NoError(t, err)
		table.add(Row{Cell: cell, Report: rep})
		table.add(Row{Cell: cell, Err: "no\nport"})
		must.NoError(t, table.write())
		must.StrContains(t, out.String(), want)
		must.StrContains(t, strings.ReplaceAll(out.String(), `\n`, " "), "no port")
	}
	_, err := newTable(&strings.Builder{}, "csv")
	must.ErrorContains(t, err, "unknown format")
}
