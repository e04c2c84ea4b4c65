package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/burdockward/burdockward/jsonc"
)

// print writes a result to standard output: as JSON with -o json, else with the
// function text.
func (a *App) print(c *cli.Command, result any, text func(io.Writer)) error {
	if c.String(flagOutput) == outputJSON {
		return writeJSON(a.Stdout, result)
	}
	text(a.Stdout)
	return nil
}

func writeJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// writeTable writes a header and rows as aligned columns.
func writeTable(w io.Writer, header string, rows func(row func(columns ...any))) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, header)
	rows(func(columns ...any) {
		for i, column := range columns {
			if i > 0 {
				fmt.Fprint(t, "\t")
			}
			fmt.Fprint(t, column)
		}
		fmt.Fprintln(t)
	})
	_ = t.Flush()
}

// Difference is one field that differs between two objects.
type Difference struct {
	// Path is the JSON key, such as "shares.hall-a".
	Path string `json:"path"`
	// Old and New are JSON values; empty when the field is absent.
	Old string `json:"old"`
	New string `json:"new"`
}

// differences compares two objects field by field. A nil object has no fields.
func differences(before, after any) []Difference {
	old, updated := fields(before), fields(after)
	paths := maps.Clone(old)
	maps.Copy(paths, updated)
	var list []Difference
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if old[path] != updated[path] {
			list = append(list, Difference{Path: path, Old: old[path], New: updated[path]})
		}
	}
	return list
}

// fields flattens an object into the JSON of its fields by path.
func fields(object any) map[string]string {
	flat := map[string]string{}
	text, err := json.Marshal(object)
	if err != nil || bytes.Equal(text, []byte("null")) {
		return flat
	}
	flatten("", text, flat)
	return flat
}

func flatten(path string, text json.RawMessage, flat map[string]string) {
	var members map[string]json.RawMessage
	if json.Unmarshal(text, &members) != nil {
		flat[path] = string(text)
		return
	}
	for name, value := range members {
		flatten(jsonc.JoinPath(path, name), value, flat)
	}
}

func printDifferences(w io.Writer, list []Difference) {
	for _, d := range list {
		fmt.Fprintf(w, "  %s: %s -> %s\n", d.Path, orNone(d.Old), orNone(d.New))
	}
}

func orNone(text string) string {
	if text == "" {
		return "(none)"
	}
	return text
}
