package compare

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/burdockward/burdockward/lab/report"
)

// The formats of a table.
const (
	formatText     = "text"
	formatMarkdown = "markdown"
	formatJSON     = "json"
)

// Row is the outcome of one cell.
type Row struct {
	Cell
	Report *report.Report `json:"report,omitempty"`
	// Err is the error of a cell without a report.
	Err string `json:"error,omitempty"`
}

// table gathers rows and writes them.
type table struct {
	out    io.Writer
	format string
	rows   []Row
}

// newTable returns an error for an unknown format, so that it is found before the first run.
func newTable(out io.Writer, format string) (*table, error) {
	if !slices.Contains([]string{formatText, formatMarkdown, formatJSON}, format) {
		return nil, fmt.Errorf("unknown format %q: take %s, %s or %s", format, formatText, formatMarkdown, formatJSON)
	}
	return &table{out: out, format: format}, nil
}

func (t *table) add(r Row) { t.rows = append(t.rows, r) }

func (t *table) write() error {
	switch t.format {
	case formatJSON:
		encoder := json.NewEncoder(t.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(t.rows)
	case formatMarkdown:
		return t.writeMarkdown()
	default:
		return t.writeText()
	}
}

// headings names the columns. "not run" counts refused jobs, "failed" all other jobs without a
// complete answer.
func headings() []string {
	return []string{"fault", "spread", "load", "policy", "jobs", "answered", "not run", "failed", "p50 ratio", "p99 ratio", "p99.9 ratio", "wasted/task", "refused starts/task", "doubled", "broken promises", "tool lag ms"}
}

// columns formats a row; one without a report has its error in place of figures.
func (r *Row) columns() []string {
	name := []string{string(r.Fault), r.Spread, fmt.Sprintf("%.0f%%", 100*r.Load), r.Policy}
	if r.Report == nil {
		return append(name, "no result: "+strings.ReplaceAll(r.Err, "\n", " "))
	}
	rep := r.Report
	var refused uint64
	for _, n := range rep.RefusedStarts {
		refused += n
	}
	return append(name,
		fmt.Sprint(rep.Jobs),
		fmt.Sprint(rep.Answered),
		fmt.Sprint(rep.NotRun),
		fmt.Sprint(rep.Jobs-rep.Answered-rep.NotRun),
		fmt.Sprintf("%.3f", rep.Total.Ratio.P50),
		fmt.Sprintf("%.3f", rep.Total.Ratio.P99),
		fmt.Sprintf("%.3f", rep.Total.Ratio.P999),
		fmt.Sprintf("%.3f", rep.Wasted),
		fmt.Sprintf("%.3f", float64(refused)/float64(max(rep.Started, 1))),
		fmt.Sprint(rep.DuplicateStarts),
		fmt.Sprint(len(rep.Violations)),
		fmt.Sprintf("%.0f", rep.MaxLagMS),
	)
}

func (t *table) writeText() error {
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(headings(), "\t"))
	for i := range t.rows {
		fmt.Fprintln(w, strings.Join(t.rows[i].columns(), "\t"))
	}
	return w.Flush()
}

func (t *table) writeMarkdown() error {
	lines := []string{markdownRow(headings()), markdownRow(slices.Repeat([]string{"---"}, len(headings())))}
	for i := range t.rows {
		lines = append(lines, markdownRow(t.rows[i].columns()))
	}
	_, err := fmt.Fprintln(t.out, strings.Join(lines, "\n"))
	return err
}

func markdownRow(cells []string) string { return "| " + strings.Join(cells, " | ") + " |" }
