package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/burdockward/burdockward/lab/load"
)

// maxShown bounds the violations that the text lists one by one.
const maxShown = 10

// Write writes the report as text.
func (r *Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	r.writeCounts(t)
	r.writeMessages(t)
	fmt.Fprintf(t, "load tool\tlongest delay %.1f ms\n\n", r.MaxLagMS)
	r.writeTimes(t)
	r.writeOutage(t)
	if err := t.Flush(); err != nil {
		return err
	}
	return r.writeViolations(w)
}

func (r *Report) writeCounts(w io.Writer) {
	fmt.Fprintf(w, "jobs\t%d due, %d sent as %d submissions in %d requests\n", r.Jobs, r.Sent, r.Submissions, r.Requests)
	for _, kind := range slices.Sorted(maps.Keys(r.Refusals)) {
		fmt.Fprintf(w, "submissions refused: %s\t%d\n", kind, r.Refusals[kind])
	}
	fmt.Fprintf(w, "jobs with a whole answer\t%d\n", r.Answered)
	for _, name := range slices.Sorted(maps.Keys(r.Failures)) {
		fmt.Fprintf(w, "jobs failed: %s\t%d\n", name, r.Failures[name])
	}
	fmt.Fprintf(w, "tasks started\t%d\n", r.Started)
	fmt.Fprintf(w, "duplicate starts\t%d\n", r.DuplicateStarts)
	for _, reason := range slices.Sorted(maps.Keys(r.RefusedStarts)) {
		fmt.Fprintf(w, "refused by targets: %s\t%d\n", reason, r.RefusedStarts[reason])
	}
	fmt.Fprintf(w, "broken promises\t%d\n", len(r.Violations))
}

func (r *Report) writeMessages(w io.Writer) {
	for _, kind := range sortedKinds(r.Messages) {
		fmt.Fprintf(w, "messages: %s\t%.0f\n", kind, r.Messages[kind])
	}
	fmt.Fprintf(w, "wasted messages\t%.3f for each task\n", r.Wasted)
}

func (r *Report) writeTimes(w io.Writer) {
	fmt.Fprintln(w, "profile\tanswered\tp50 ms\tp99 ms\tp99.9 ms\tp50 ratio\tp99 ratio\tp99.9 ratio")
	for _, p := range append(r.Profiles, r.Total) {
		fmt.Fprintf(w, "%s\t%d/%d\t%.0f\t%.0f\t%.0f\t%.3f\t%.3f\t%.3f\n", p.Profile, p.Answered, p.Jobs,
			p.Measured.P50, p.Measured.P99, p.Measured.P999, p.Ratio.P50, p.Ratio.P99, p.Ratio.P999)
	}
}

func (r *Report) writeViolations(w io.Writer) error {
	counts := map[load.Finding]int{}
	for _, v := range r.Violations {
		counts[v.Finding]++
	}
	for _, f := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "broken promise: %s %d\n", f, counts[f])
	}
	for _, v := range r.Violations[:min(len(r.Violations), maxShown)] {
		if _, err := fmt.Fprintf(w, "  %s %s: %s\n", v.Finding, v.Key, v.Detail); err != nil {
			return err
		}
	}
	return nil
}
