package orders

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// The formats of a table.
const (
	formatText     = "text"
	formatMarkdown = "markdown"
)

// table collects rows and writes them as text or Markdown.
type table struct {
	out    io.Writer
	format string
	rows   [][]string // the headings first
}

// newTable returns a table with headings. It refuses an unknown format, before any measurement
// runs.
func newTable(out io.Writer, format string, headings []string) (*table, error) {
	if format != formatText && format != formatMarkdown {
		return nil, fmt.Errorf("unknown format %q: take %s or %s", format, formatText, formatMarkdown)
	}
	t := &table{out: out, format: format}
	t.add(headings)
	if format == formatMarkdown {
		t.add(slices.Repeat([]string{"---"}, len(headings)))
	}
	return t, nil
}

func (t *table) add(row []string) { t.rows = append(t.rows, row) }

func (t *table) write() error {
	if t.format == formatMarkdown {
		for _, row := range t.rows {
			if _, err := fmt.Fprintf(t.out, "| %s |\n", strings.Join(row, " | ")); err != nil {
				return err
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}
