// Package ctl implements the commands of burdockctl, the operators' tool.
//
// It writes profiles and quotas to the platform's table service, and reads the
// admin ports of the entry VMs. The exit code tells whether a change was
// accepted, refused or of unknown outcome. No command starts, stops or moves a
// task. docs/CONFIGURATION.md describes the commands.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/burdockward/burdockward/configuration"
	"github.com/burdockward/burdockward/tableservice"
)

// Exit codes.
const (
	// ExitOK: the command succeeded.
	ExitOK = 0
	// ExitUsage: wrong arguments or a file with faults; nothing was changed.
	ExitUsage = 1
	// ExitConflict: another operator's change took effect first; nothing was
	// changed.
	ExitConflict = 2
	// ExitUnavailable: the platform or the VMs asked can't be reached; nothing
	// was changed.
	ExitUnavailable = 3
	// ExitUnknown: the answer of a change was lost and reading back didn't show
	// whether it took effect.
	ExitUnknown = 4
	// ExitNotInForce: the version is not yet in force at every reachable VM. A
	// change made by the command was accepted.
	ExitNotInForce = 5
)

// Names of flags.
const (
	flagPlatform      = "platform"
	flagDomains       = "domains"
	flagVMs           = "vms"
	flagAdminPort     = "admin-port"
	flagOperator      = "operator"
	flagTimeout       = "timeout"
	flagOutput        = "output"
	flagWait          = "wait"
	flagNote          = "note"
	flagExpectVersion = "expect-version"
	flagTo            = "to"
	flagVersion       = "version"
	flagTeams         = "teams"
	flagSince         = "since"
)

// Values of flagOutput.
const (
	outputText = "text"
	outputJSON = "json"
)

const (
	// defaultAdminPort is the port of a daemon's admin interface.
	defaultAdminPort = 7102
	// defaultTimeout bounds a command; the time of --wait is added to it.
	defaultTimeout = 20 * time.Second
)

// errUsage matches, with errors.Is, wrong arguments and faulty files.
var errUsage = errors.New("usage")

// usageError is a wrong argument or a faulty file.
type usageError struct{ text string }

func (e *usageError) Error() string        { return e.text }
func (e *usageError) Is(target error) bool { return target == errUsage }

func usagef(format string, args ...any) error {
	return &usageError{fmt.Sprintf(format, args...)}
}

// errNotInForce says that a reachable VM holds an older version or that no VM
// answered.
var errNotInForce = errors.New("not in force at every reachable VM yet: run in-force with --wait, and look at the VMs named above")

// Platform is the part of the platform that the tool uses.
type Platform interface {
	tableservice.Tables
	tableservice.VMList
}

// App is the tool with its dependencies.
type App struct {
	Stdout, Stderr io.Writer
	// Open connects to the platform at a URL.
	Open func(url string) (Platform, error)
	// Now is the wall clock, for the times of changes.
	Now func() time.Time
	// NewID makes a unique id for a change.
	NewID func() string
	// Wait waits between two polls of the VMs and fails when the context ends.
	Wait func(ctx context.Context, d time.Duration) error
	// Admin reads the admin ports.
	Admin AdminClient
}

// Run runs one command, given without the program's name, and returns the exit
// code.
func (a *App) Run(ctx context.Context, args []string) int {
	err := a.command().Run(ctx, append([]string{"burdockctl"}, args...))
	if err != nil {
		fmt.Fprintln(a.Stderr, "burdockctl:", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var conflict *configuration.Conflict
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.Is(err, configuration.ErrOutcomeUnknown):
		return ExitUnknown
	case errors.Is(err, errNotInForce):
		return ExitNotInForce
	case errors.Is(err, tableservice.ErrUnavailable):
		return ExitUnavailable
	}
	// All other errors are wrong input, among them the library's errors about
	// flags.
	return ExitUsage
}

func (a *App) command() *cli.Command {
	return &cli.Command{
		Name:  "burdockctl",
		Usage: "manage profiles and quotas, and show the state of the entry VMs",
		Description: "Exit codes: 0 done; 1 wrong arguments or faulty file; 2 another operator's change won; " +
			"3 platform unavailable, nothing was changed; 4 outcome unknown; 5 accepted but not in force everywhere yet.",
		Writer:         a.Stdout,
		ErrWriter:      a.Stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Flags:          globalFlags(),
		Commands: []*cli.Command{
			a.profileCommand(),
			a.teamCommand(),
			a.inForceCommand(),
			a.statusCommand(),
			a.explainCommand(),
			a.eventsCommand(),
			a.checkCommand(),
		},
		Action: noSubcommand,
	}
}

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagPlatform, Usage: "base `URL` of the platform's table service and VM list, http://IP:port; no default", Sources: cli.EnvVars("BURDOCKCTL_PLATFORM")},
		&cli.StringSliceFlag{Name: flagDomains, Usage: "failure `DOMAINS` whose entry VMs are asked, separated by commas; no default", Sources: cli.EnvVars("BURDOCKCTL_DOMAINS")},
		&cli.StringSliceFlag{Name: flagVMs, Usage: "admin `ADDRESSES` IP:port of the entry VMs to ask, separated by commas; without it, those of the platform's VM list", Sources: cli.EnvVars("BURDOCKCTL_VMS")},
		&cli.Uint16Flag{Name: flagAdminPort, Usage: "admin `PORT` of the entry VMs of the platform's VM list", Value: defaultAdminPort, Sources: cli.EnvVars("BURDOCKCTL_ADMIN_PORT")},
		&cli.StringFlag{Name: flagOperator, Usage: "`NAME` recorded as the author of a change; without it, the user's name", Sources: cli.EnvVars("BURDOCKCTL_OPERATOR", "USER")},
		&cli.DurationFlag{Name: flagTimeout, Usage: "longest `TIME` that the command may take, such as 20s; the time of --wait is added", Value: defaultTimeout, Sources: cli.EnvVars("BURDOCKCTL_TIMEOUT")},
		&cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Usage: "`FORMAT` of the output: text or json", Value: outputText, Sources: cli.EnvVars("BURDOCKCTL_OUTPUT")},
	}
}

// action wraps a command: it checks the output format, which may stand anywhere
// on the line, and bounds the time of the command.
func (a *App) action(run cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if o := c.String(flagOutput); o != outputText && o != outputJSON {
			return usagef("output format %q is unknown: use text or json", o)
		}
		ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout)+c.Duration(flagWait))
		defer cancel()
		return run(ctx, c)
	}
}

// noSubcommand returns the error for a missing or unknown subcommand.
func noSubcommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usagef("%s has no command %q: run %s --help", c.FullName(), c.Args().First(), c.FullName())
	}
	return usagef("%s needs a command: run %s --help", c.FullName(), c.FullName())
}

// open connects to the platform.
func (a *App) open(c *cli.Command) (Platform, error) {
	url := c.String(flagPlatform)
	if url == "" {
		return nil, usagef("the platform is not known: give --platform or set BURDOCKCTL_PLATFORM")
	}
	p, err := a.Open(url)
	if err != nil {
		return nil, usagef("%v", err)
	}
	return p, nil
}

// editor connects to the platform for reading and changing the configuration.
func (a *App) editor(c *cli.Command) (*configuration.Editor, error) {
	p, err := a.open(c)
	if err != nil {
		return nil, err
	}
	return &configuration.Editor{Tables: p, Wait: a.Wait}, nil
}

// onlyArgument returns the argument of a command that takes exactly one.
func onlyArgument(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", usagef("%s needs exactly one %s, got %d arguments: give one", c.FullName(), what, c.Args().Len())
	}
	return c.Args().First(), nil
}
