package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/burdockward/burdockward/lab/load"
	"github.com/burdockward/burdockward/lab/report"
)

// errViolations is the error of a load whose report is not good.
var errViolations = errors.New("callers saw broken promises: see the report above")

// LoadCommand returns the command that sends a load to a running deployment.
func LoadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send a load to running entry VMs and check what callers get; the targets must be the lab's",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "domain", Required: true, Usage: "failure domain and its entry VMs as `NAME=IP:PORT+IP:PORT`; give one for each"},
			&cli.IntFlag{Name: "slots", Required: true, Usage: "slots of all targets of one failure domain"},
			&cli.FloatFlag{Name: "load", Value: 0.5, Usage: "share of the slots that the load keeps busy"},
			&cli.DurationFlag{Name: "length", Value: 10 * time.Second, Usage: "time over which jobs arrive"},
			&cli.DurationFlag{Name: "deadline", Value: DefaultDeadline, Usage: "deadline of every submission"},
			&cli.StringFlag{Name: "mix", Value: load.Both().Name, Usage: "load: kasa, thapa or both; the profiles of that name must be in force"},
			&cli.StringFlag{Name: "retry", Value: string(load.RetryHonour), Usage: "callers after a refusal: never, honour or impatient"},
			&cli.FloatFlag{Name: "duplicates", Usage: "share of jobs that are sent to two VMs at once"},
			&cli.BoolFlag{Name: "uneven", Usage: "send most jobs to the first entry VM"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load"},
			&cli.BoolFlag{Name: "json", Usage: "print the report as JSON"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	domains, err := parseDomains(c.StringSlice("domain"))
	if err != nil {
		return err
	}
	retry, err := load.RetryModeByName(c.String("retry"))
	if err != nil {
		return err
	}
	jobs, err := tracesOf(c, domains)
	if err != nil {
		return err
	}
	result, err := load.Run(ctx, load.Config{
		Run:         fmt.Sprintf("%08x", rand.Uint32()),
		Domains:     domains,
		Deadline:    c.Duration("deadline"),
		Margin:      margin,
		Retry:       retry,
		MaxInFlight: maxInFlight,
	}, jobs)
	if err != nil {
		return err
	}
	rep := report.New(report.Input{Result: result, Slots: c.Int("slots"), StartsUnknown: true})
	if c.Bool("json") {
		err = json.NewEncoder(c.Root().Writer).Encode(rep)
	} else {
		err = rep.Write(c.Root().Writer)
	}
	if err == nil && !rep.Good() {
		return errViolations
	}
	return err
}

// tracesOf draws the jobs that the flags describe, for all failure domains.
func tracesOf(c *cli.Command, domains []load.Domain) ([]load.Job, error) {
	mix, err := load.MixByName(c.String("mix"))
	if err != nil {
		return nil, err
	}
	return load.Traces(load.TraceParams{
		Seed:       c.Uint64("seed"),
		Mix:        mix,
		VMs:        len(domains[0].Entries),
		Slots:      c.Int("slots"),
		Load:       c.Float("load"),
		Length:     c.Duration("length"),
		Uneven:     c.Bool("uneven"),
		Duplicates: c.Float("duplicates"),
		MaxJobs:    maxJobs,
	}, len(domains))
}

// parseDomains parses failure domains of the form NAME=IP:PORT+IP:PORT. All must have the same
// number of entry VMs.
func parseDomains(texts []string) ([]load.Domain, error) {
	var domains []load.Domain
	for _, text := range texts {
		name, addresses, found := strings.Cut(text, "=")
		if !found || name == "" || addresses == "" {
			return nil, fmt.Errorf("failure domain %q must have the form NAME=IP:PORT+IP:PORT", text)
		}
		d := load.Domain{Name: name}
		for address := range strings.SplitSeq(addresses, "+") {
			d.Entries = append(d.Entries, "http://"+address)
		}
		domains = append(domains, d)
		if len(d.Entries) != len(domains[0].Entries) {
			return nil, fmt.Errorf("failure domain %s has %d entry VMs and %s has %d: name as many of each", d.Name, len(d.Entries), domains[0].Name, len(domains[0].Entries))
		}
	}
	return domains, nil
}
