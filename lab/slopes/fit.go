package slopes

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// fit is the least-squares line through all runs of a cost.
type fit struct {
	Slope, Intercept float64
	// Error is the standard error of the slope, and R2 the share of the variance that the line
	// explains.
	Error, R2 float64
	// Spread is the widest range of repeated runs at one point. First and Last are the means at the
	// first and the last point.
	Spread, First, Last float64
}

// fitOf fits a line to one cost.
func (r *result) fitOf(name string) fit {
	var xs, ys []float64
	var f fit
	for i, p := range r.Points {
		values := p.values(name)
		for _, y := range values {
			xs, ys = append(xs, p.X), append(ys, y)
		}
		if len(values) == 0 {
			continue
		}
		f.Spread = max(f.Spread, slices.Max(values)-slices.Min(values))
		mean := stat.Mean(values, nil)
		if i == 0 {
			f.First = mean
		}
		f.Last = mean
	}
	f.Intercept, f.Slope = stat.LinearRegression(xs, ys, nil, false)
	f.R2 = stat.RSquared(xs, ys, nil, f.Intercept, f.Slope)
	f.Error = slopeError(xs, ys, f.Intercept, f.Slope)
	return f
}

// values returns one cost of each run at the point that has it.
func (p point) values(name string) []float64 {
	var values []float64
	for _, run := range p.Runs {
		if y, ok := run[name]; ok {
			values = append(values, y)
		}
	}
	return values
}

// slopeError returns the standard error of the slope of a least-squares line, or NaN for fewer than
// three values.
func slopeError(xs, ys []float64, intercept, slope float64) float64 {
	if len(xs) < 3 {
		return math.NaN()
	}
	mean := stat.Mean(xs, nil)
	var residuals, spread float64
	for i, x := range xs {
		residuals += math.Pow(ys[i]-intercept-slope*x, 2)
		spread += math.Pow(x-mean, 2)
	}
	return math.Sqrt(residuals / float64(len(xs)-2) / spread)
}

// write writes the fitted lines as a table.
func (r *result) write(w io.Writer) error {
	fmt.Fprintf(w, "%s: %s, daemon %s, %g s a run\n", r.Experiment, r.Title, r.Daemon, r.Window)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "cost\tslope per %s\t+-\tintercept\tR2\tfirst\tlast\tspread\t\n", r.Variable)
	for _, name := range r.nonZeroNames() {
		f := r.fitOf(name)
		fmt.Fprintf(table, "%s\t%.4g\t%.2g\t%.4g\t%.3f\t%.4g\t%.4g\t%.2g\t\n",
			name, f.Slope, f.Error, f.Intercept, f.R2, f.First, f.Last, f.Spread)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w, "Costs that are 0 at every point are left out.")
	for _, fault := range r.Faults {
		fmt.Fprintln(w, "fault:", strings.TrimSpace(fault))
	}
	_, err := fmt.Fprintln(w)
	return err
}

// render writes the fitted lines to w and draws the plots to an SVG file beside the result's file.
func (r *result) render(w io.Writer, path string) error {
	if err := r.write(w); err != nil {
		return err
	}
	return r.draw(withSuffix(path, ".svg"))
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
