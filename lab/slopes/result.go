package slopes

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// result holds the measurements of one experiment, as stored in its file.
type result struct {
	Experiment string `json:"experiment"`
	Title      string `json:"title"`
	Variable   string `json:"variable"`
	// Command is the command that repeats the experiment.
	Command string `json:"command"`
	// Daemon is the version of the measured daemon.
	Daemon  string `json:"daemon"`
	Started string `json:"started"`
	Machine string `json:"machine"`
	// Window is the length of one run in seconds.
	Window float64 `json:"window_seconds"`
	Points []point `json:"points"`
	// Faults holds the errors that did not affect measurements, such as a daemon that did not stop
	// in time.
	Faults []string `json:"faults,omitempty"`
}

// point holds the runs at one value of the variable.
type point struct {
	X    float64 `json:"x"`
	Runs []costs `json:"runs"`
}

// names returns the names of all costs, sorted.
func (r *result) names() []string {
	all := map[string]bool{}
	for _, p := range r.Points {
		for _, run := range p.Runs {
			for name := range run {
				all[name] = true
			}
		}
	}
	return sortedKeys(all)
}

// nonZeroNames returns the names of the costs that are not 0 in at least one run, sorted.
func (r *result) nonZeroNames() []string {
	return slices.DeleteFunc(r.names(), func(name string) bool {
		for _, p := range r.Points {
			if slices.ContainsFunc(p.values(name), func(y float64) bool { return y != 0 }) {
				return false
			}
		}
		return true
	})
}

// save writes the result as JSON to path and, beside it, as CSV with a line for each run.
func (r *result) save(path string) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return err
	}
	return r.saveCSV(withSuffix(path, ".csv"))
}

func (r *result) saveCSV(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	names := r.names()
	w := csv.NewWriter(file)
	rows := [][]string{append([]string{r.Variable}, names...)}
	for _, p := range r.Points {
		for _, run := range p.Runs {
			row := []string{number(p.X)}
			for _, name := range names {
				row = append(row, number(run[name]))
			}
			rows = append(rows, row)
		}
	}
	return w.WriteAll(rows)
}

func number(x float64) string { return strconv.FormatFloat(x, 'g', 6, 64) }

// readResult reads a JSON file that save wrote.
func readResult(path string) (*result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var r result
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, fmt.Errorf("%s is no result of lab slopes: %w", path, err)
	}
	if len(r.Points) == 0 {
		return nil, fmt.Errorf("%s holds no points: run lab slopes again", path)
	}
	return &r, nil
}

// withSuffix replaces the suffix of a path.
func withSuffix(path, suffix string) string {
	return strings.TrimSuffix(path, filepath.Ext(path)) + suffix
}
