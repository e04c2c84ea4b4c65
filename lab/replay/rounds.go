package replay

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"os/exec"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"
)

// dayResult is the result of one simulated day.
type dayResult struct {
	site, day string
	seed      uint64
	// worth is the earned share of the worth, worstKind the lowest such share of a kind of
	// request. lateRefusals is the share of the worth that was refused late; callers would rather
	// be refused at once.
	worth, worstKind, lateRefusals float64
}

// key identifies a day by site, kind of day and seed.
func (p dayResult) key() string { return fmt.Sprintf("%s %s %d", p.site, p.day, p.seed) }

// maxParallelDays is how many days are simulated at the same time.
const maxParallelDays = 4

// RoundsCommand is the command that compares this build's scheduling decisions with those of
// another build.
func RoundsCommand() *cli.Command {
	return &cli.Command{
		Name:  "rounds",
		Usage: "simulate days of all sites, and compare what this build and another build of this program earn on the same days",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "other", Usage: "`PATH` of the other build; empty prints one row for each day of this build"},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds with which each day of each site is simulated", Value: 4},
			&cli.StringFlag{Name: "sites", Usage: "names of sites, separated by commas; empty stands for all"},
			&cli.BoolFlag{Name: "balance-domains", Usage: "have this build balance load between failure domains; the other build runs without it"},
			&cli.StringFlag{Name: "days", Usage: "names of days, separated by commas; empty stands for all"},
			correctAdmissionFlag(), placeByEndFlag(),
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			rows, err := playAll(ctx, cmd.Int("seeds"), nameFilter(cmd.String("sites")), nameFilter(cmd.String("days")), Options{CorrectAdmission: cmd.Bool(correctAdmission), PlaceByEnd: cmd.Bool(placeByEnd), BalanceDomains: cmd.Bool("balance-domains")})
			if err != nil {
				return err
			}
			if cmd.String("other") == "" {
				return writeRows(os.Stdout, rows)
			}
			other := exec.CommandContext(ctx, cmd.String("other"), "rounds", "--seeds", fmt.Sprint(cmd.Int("seeds")),
				"--sites", cmd.String("sites"), "--days", cmd.String("days"))
			other.Stderr = os.Stderr
			out, err := other.Output()
			if err != nil {
				return fmt.Errorf("run rounds with the other build: %w", err)
			}
			theirs, err := readRows(bytes.NewReader(out))
			if err != nil {
				return err
			}
			return writeRounds(os.Stdout, rows, theirs)
		},
	}
}

// nameFilter returns a function that reports whether a name is in a list separated by commas.
// An empty list contains all names.
func nameFilter(list string) func(name string) bool {
	names := strings.Split(list, ",")
	return func(name string) bool { return list == "" || slices.Contains(names, name) }
}

// playAll simulates each selected day of each selected site with each seed. A cancelled context
// ends it after the days that are being simulated.
func playAll(ctx context.Context, seeds int, site, day func(string) bool, parts Options) ([]dayResult, error) {
	var rows []dayResult
	for _, spec := range SiteSpecs {
		for _, d := range Days {
			for seed := range seeds {
				if site(spec.Name) && day(d.Name) {
					rows = append(rows, dayResult{site: spec.Name, day: d.Name, seed: uint64(seed)})
				}
			}
		}
	}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelDays)
	for i := range rows {
		g.Go(func() error {
			if ctx.Err() == nil {
				rows[i].simulate(parts)
			}
			return ctx.Err()
		})
	}
	return rows, g.Wait()
}

// simulate plays the day and fills in its result.
func (p *dayResult) simulate(parts Options) {
	spec := SiteSpecs[slices.IndexFunc(SiteSpecs, func(s SiteSpec) bool { return s.Name == p.site })]
	day := Days[slices.IndexFunc(Days, func(d Day) bool { return d.Name == p.day })]
	parts.Site, parts.Seed = day.apply(spec.site()), p.seed
	r := Play(parts)
	p.worth, p.worstKind, p.lateRefusals = r.Worth, slices.Min(r.Kinds), r.LateRefusals
}

// writeRows writes one line for each day, for another build's readRows.
func writeRows(to io.Writer, rows []dayResult) error {
	out := bufio.NewWriter(to)
	for _, p := range rows {
		fmt.Fprintf(out, "%s %.5f %.5f %.5f\n", p.key(), p.worth, p.worstKind, p.lateRefusals)
	}
	return out.Flush()
}

// readRows reads what another build's writeRows has written.
func readRows(from io.Reader) ([]dayResult, error) {
	var rows []dayResult
	scanner := bufio.NewScanner(from)
	for scanner.Scan() {
		var p dayResult
		if _, err := fmt.Sscan(scanner.Text(), &p.site, &p.day, &p.seed, &p.worth, &p.worstKind, &p.lateRefusals); err != nil {
			return nil, fmt.Errorf("row %q of the other build: %w", scanner.Text(), err)
		}
		rows = append(rows, p)
	}
	return rows, scanner.Err()
}

// writeRounds writes a table of the means of both builds by site and day, with the difference
// and its standard deviation over the seeds.
func writeRounds(to io.Writer, rows, theirs []dayResult) error {
	others := map[string]dayResult{}
	for _, p := range theirs {
		others[p.key()] = p
	}
	groups := map[string][]dayResult{}
	var order []string
	for _, p := range rows {
		for _, group := range []string{p.site + "\t" + p.day, "all\t" + p.day, "all\tall"} {
			if groups[group] == nil {
				order = append(order, group)
			}
			groups[group] = append(groups[group], p)
		}
	}
	slices.SortStableFunc(order, func(a, b string) int {
		return strings.Compare(sortKey(a), sortKey(b))
	})
	out := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "site\tday\tseeds\tworth\tworst kind\trefused late\tother's\tdifference\tspread\tof the kind\tof the late")
	for _, group := range order {
		var mine, theirWorth, kind, late, difference, kinds, lates []float64
		for _, p := range groups[group] {
			o, ok := others[p.key()]
			if !ok {
				return fmt.Errorf("the other build did not play %s", p.key())
			}
			mine, kind, late = append(mine, p.worth), append(kind, p.worstKind), append(late, p.lateRefusals)
			theirWorth = append(theirWorth, o.worth)
			difference, kinds, lates = append(difference, p.worth-o.worth), append(kinds, p.worstKind-o.worstKind), append(lates, p.lateRefusals-o.lateRefusals)
		}
		fmt.Fprintf(out, "%s\t%d\t%.4f\t%.4f\t%.4f\t%.4f\t%+.4f\t%.4f\t%+.4f\t%+.4f\n",
			group, len(mine), mean(mine), mean(kind), mean(late), mean(theirWorth), mean(difference), standardDeviation(difference), mean(kinds), mean(lates))
	}
	return out.Flush()
}

// sortKey orders the groups of all sites after those of each site, and the group of all days
// last.
func sortKey(group string) string {
	if strings.HasPrefix(group, "all\t") {
		return "~" + strings.Replace(group, "\tall", "\t~", 1)
	}
	return ""
}

// mean is the arithmetic mean; 0 without values.
func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}

// standardDeviation is that of a sample.
func standardDeviation(values []float64) float64 {
	m, sum := mean(values), 0.0
	for _, v := range values {
		sum += (v - m) * (v - m)
	}
	return math.Sqrt(sum / float64(max(len(values)-1, 1)))
}
