package replay

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/burdockward/burdockward/shares"
)

// Times of the burst and of the hung targets, from the first arrival.
const (
	burstFrom, burstTo = 8 * time.Second, 14 * time.Second
	hungFrom, hungTo   = 6 * time.Second, 16 * time.Second
)

// Command is the command that simulates one day with a burst and hung targets, and compares
// burdockward with an ideal scheduler and with simple policies.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "replay",
		Usage: "simulate a site's load and compare burdockward's scheduling with simple policies and with an ideal scheduler",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "site", Usage: "name of the site: kasa, thapa or one of those of rounds", Value: "kasa"},
			&cli.StringFlag{Name: "day", Usage: "kind of day, as for rounds; empty takes the burst and the hung targets of the other flags"},
			&cli.FloatFlag{Name: "burst", Usage: "factor of the load during 6 of 30 s", Value: 1.5},
			&cli.FloatFlag{Name: "hung", Usage: "share of targets that hang during 10 of 30 s, from 0 to 1", Value: 0.1},
			&cli.BoolFlag{Name: "balance-domains", Usage: "have entry VMs balance load between failure domains"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the jobs and of the hung targets"},
			&cli.StringMapFlag{Name: "guarantee", Usage: "guaranteed share of the capacity of a queue, from 0 to 1, as `QUEUE=SHARE`; each queue has a profile of its own"},
			correctAdmissionFlag(), placeByEndFlag(),
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			site, err := siteByName(cmd.String("site"))
			if err != nil {
				return err
			}
			profiles, err := profilesOf(cmd.StringMap("guarantee"))
			if err != nil {
				return err
			}
			parts := Options{Profiles: profiles, CorrectAdmission: cmd.Bool(correctAdmission), PlaceByEnd: cmd.Bool(placeByEnd), BalanceDomains: cmd.Bool("balance-domains")}
			if name := cmd.String("day"); name != "" {
				at := slices.IndexFunc(Days, func(d Day) bool { return d.Name == name })
				if at < 0 {
					return fmt.Errorf("unknown day %q: choose one that rounds lists", name)
				}
				return comparePolicies(os.Stdout, Days[at].apply(site), cmd.Uint64("seed"), parts)
			}
			site.Bursts = []Burst{{From: burstFrom, To: burstTo, Factor: cmd.Float("burst")}}
			site.Faults = []Fault{{From: hungFrom, To: hungTo, Share: cmd.Float("hung"), Hang: true}}
			return comparePolicies(os.Stdout, site, cmd.Uint64("seed"), parts)
		},
	}
}

// profilesOf returns a profile for each queue with a guarantee.
func profilesOf(guarantees map[string]string) ([]shares.Profile, error) {
	all := shares.Profiles{Version: 1}
	for _, queue := range slices.Sorted(maps.Keys(guarantees)) {
		guarantee, err := strconv.ParseFloat(guarantees[queue], 64)
		if err != nil {
			return nil, fmt.Errorf("guarantee of queue %q: write a share from 0 to 1: %w", queue, err)
		}
		all.Profiles = append(all.Profiles, shares.Profile{Name: queue, Queues: []string{queue}, Guarantee: guarantee, Limit: 1, Weight: 1})
	}
	return all.Profiles, all.Check()
}

// correctAdmission is the name of the flag that switches Options.CorrectAdmission on.
const correctAdmission = "correct-admission"

func correctAdmissionFlag() cli.Flag {
	return &cli.BoolFlag{Name: correctAdmission, Usage: "correct the forecasts by which jobs are accepted or refused"}
}

// placeByEnd is the name of the flag that switches Options.PlaceByEnd on.
const placeByEnd = "place-by-end"

func placeByEndFlag() cli.Flag {
	return &cli.BoolFlag{Name: placeByEnd, Usage: "start tasks where they are expected to end in time"}
}

// siteByName returns the site that a flag names.
func siteByName(name string) (Site, error) {
	for _, site := range []Site{Kasa(), Thapa()} {
		if site.Name == name {
			return site, nil
		}
	}
	for _, spec := range SiteSpecs {
		if spec.Name == name {
			return spec.site(), nil
		}
	}
	return Site{}, fmt.Errorf("unknown site %q: choose kasa, thapa or one that rounds lists", name)
}

// comparePolicies simulates a day under each policy. For each it writes a row for all jobs, for
// each kind of request and for each failure domain.
func comparePolicies(to io.Writer, site Site, seed uint64, parts Options) error {
	out := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "policy\tof\tworth\ton time\tlate\trefused\tof them late\tfailed")
	for _, p := range []struct {
		name    string
		options Options
	}{
		{"ideal", Options{OneOwner: true, Clairvoyant: true}},
		{"burdockward", parts},
		{string(FIFO), Options{Policy: FIFO}},
		{string(LeastOutstanding), Options{Policy: LeastOutstanding}},
		{string(Random), Options{Policy: Random}},
	} {
		p.options.Site, p.options.Seed = site, seed
		r := Play(p.options)
		row := func(of string, worth float64, c Counts) {
			fmt.Fprintf(out, "%s\t%s\t%.3f\t%s\n", p.name, of, worth, strings.Join(c.shares(), "\t"))
		}
		row("all", r.Worth, r.Counts)
		for i, kind := range site.Kinds {
			row(kind.Name, r.Kinds[i], r.ByKind[i])
		}
		for i, c := range r.ByDomain {
			row(fmt.Sprintf("domain %d", i), r.Domains[i], c)
		}
	}
	return out.Flush()
}

// shares formats the counts of outcomes as shares of all jobs.
func (c Counts) shares() []string {
	var shares []string
	for _, n := range []int{c.OnTime, c.Late, c.Refused, c.RefusedLate, c.Failed} {
		shares = append(shares, fmt.Sprintf("%.3f", float64(n)/float64(max(c.Jobs, 1))))
	}
	return shares
}
