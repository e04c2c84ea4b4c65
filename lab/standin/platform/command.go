package platform

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"
)

const (
	// Limits when no flag sets them, in calls a second.
	defaultReadsPerSecond  = 2000
	defaultWritesPerSecond = 400
	// defaultCommitTime is how long a commit takes when no flag sets it.
	defaultCommitTime = 5 * time.Millisecond
	readHeaderTimeout = 10 * time.Second
)

// ready is the JSON line that the command prints once it serves.
type ready struct {
	// URL is the base of all calls.
	URL string `json:"url"`
}

// Command returns the command that serves the stand-in until its context ends.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve a table service and a VM list in memory; prints one JSON line with its URL",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`IP:port` to serve on; port 0 takes a free one"},
			&cli.FloatFlag{Name: "reads", Value: defaultReadsPerSecond, Usage: "reads a second; 0 is no limit"},
			&cli.FloatFlag{Name: "writes", Value: defaultWritesPerSecond, Usage: "commits a second; 0 is no limit"},
			&cli.BoolFlag{Name: "delay-reads", Usage: "delay reads beyond the limit instead of refusing them"},
			&cli.DurationFlag{Name: "commit-time", Value: defaultCommitTime, Usage: "how long a commit takes"},
		},
		Action: run,
	}
}

func run(ctx context.Context, command *cli.Command) error {
	listener, err := net.Listen("tcp", command.String("listen"))
	if err != nil {
		return err
	}
	handler := New(Options{
		ReadsPerSecond:  command.Float("reads"),
		WritesPerSecond: command.Float("writes"),
		DelayReads:      command.Bool("delay-reads"),
		CommitTime:      command.Duration("commit-time"),
	})
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err = json.NewEncoder(os.Stdout).Encode(ready{URL: "http://" + listener.Addr().String()})
	if err != nil {
		return err
	}
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}
