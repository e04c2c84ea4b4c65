package target

import (
	"context"
	"encoding/json"
	"os"

	"github.com/urfave/cli/v3"
)

// Defaults of the command's flags.
const (
	defaultCount    = 16
	defaultRackSize = 8
)

// Command returns the command that serves a group of targets until its context ends.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "serve targets; prints one JSON line with their addresses",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "count", Value: defaultCount, Usage: "number of targets"},
			&cli.IntFlag{Name: "slots", Value: DefaultSlots, Usage: "slots of each target"},
			&cli.DurationFlag{Name: "ttl", Value: DefaultTTL, Usage: "time to live of leases"},
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`IP:port` of the first target, the others take the next ports; port 0 takes free ones"},
			&cli.StringFlag{Name: "control", Value: "127.0.0.1:0", Usage: "`IP:port` of the control interface"},
			&cli.StringFlag{Name: "platform", Usage: "`URL` of the platform's stand-in to register at"},
			&cli.StringFlag{Name: "domain", Value: "a", Usage: "failure domain"},
			&cli.IntFlag{Name: "rack-size", Value: defaultRackSize, Usage: "targets of one rack"},
			&cli.StringFlag{Name: "id-prefix", Value: "target", Usage: "start of ids and rack names"},
		},
		Action: runCommand,
	}
}

func runCommand(ctx context.Context, command *cli.Command) error {
	group, err := NewGroup(GroupOptions{
		Count:    command.Int("count"),
		Slots:    command.Int("slots"),
		TTL:      command.Duration("ttl"),
		Listen:   command.String("listen"),
		Control:  command.String("control"),
		Platform: command.String("platform"),
		Domain:   command.String("domain"),
		RackSize: command.Int("rack-size"),
		IDPrefix: command.String("id-prefix"),
	})
	if err != nil {
		return err
	}
	return group.Run(ctx, func() error { return json.NewEncoder(os.Stdout).Encode(group) })
}
