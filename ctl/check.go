package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

// CheckResult is the output of check.
type CheckResult struct {
	Objects int            `json:"objects"`
	Faulty  []fileProblems `json:"faulty"`
}

func (a *App) checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		ArgsUsage: "FILE...",
		Usage:     "check profile files without the platform; every fault is reported at once",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: flagTeams, Usage: "check the files as teams; without it, as profiles"}},
		Action:    a.action(a.check),
	}
}

func (a *App) check(_ context.Context, c *cli.Command) error {
	read := profileEdits
	if c.Bool(flagTeams) {
		read = teamEdits
	}
	edits, err := read(c.Args().Slice())
	result := CheckResult{Objects: len(edits), Faulty: []fileProblems{}}
	var faults faultyFiles
	if err != nil && !errors.As(err, &faults) {
		return err
	}
	result.Faulty = append(result.Faulty, faults...)
	if printErr := a.print(c, result, func(w io.Writer) { printCheck(w, result) }); printErr != nil {
		return printErr
	}
	if len(faults) > 0 {
		return usagef("%d of %d files have faults: correct what is listed above", len(faults), c.Args().Len())
	}
	return nil
}

func printCheck(w io.Writer, r CheckResult) {
	for _, f := range r.Faulty {
		fmt.Fprintln(w, f.String())
	}
	if len(r.Faulty) == 0 {
		fmt.Fprintf(w, "%d objects, no faults\n", r.Objects)
	}
}
