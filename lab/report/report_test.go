package report

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/lab/load"
	"github.com/burdockward/burdockward/lab/standin/target"
)

const ms = time.Millisecond

// input returns a run of two jobs, each with one task of 100 ms, on one slot. The first job is
// answered after 150 ms, the second one is refused.
func input() Input {
	job := load.Job{Profile: "p", Tasks: []load.Task{{Run: 100 * ms}}}
	answered := load.Response{Outcome: load.Answered}
	refused := load.Response{Outcome: load.NotRun, Kind: api.KindOverloaded}
	return Input{
		Result: &load.Result{
			Jobs: []load.Job{job, job},
			JobResults: []load.JobResult{
				{Response: answered, Time: 150 * ms, Sent: true},
				{Response: refused, Time: ms, Sent: true},
			},
			Submissions: []load.Submission{
				{Key: "a", Tasks: 1, Responses: []load.Response{answered}},
				{Key: "b", Job: 1, Tasks: 1, Responses: []load.Response{refused}},
			},
		},
		Slots:    1,
		Starts:   []target.Start{{Submission: "a"}},
		Messages: map[string]float64{"start": 3, "answer": 2, "peer": 4},
	}
}

func TestReportCountsJobsAndStarts(t *testing.T) {
	r := New(input())
	must.True(t, r.Good())
	must.Eq(t, 2, r.Sent)
	must.Eq(t, 1, r.Answered)
	must.Eq(t, map[string]int{"overloaded (not_run)": 1}, r.Failures)
	must.Eq(t, 1, r.Started)
	must.Zero(t, r.DuplicateStarts)
	must.InDelta(t, 1.5, r.Total.Ratio.P50, 0.01)
	must.InDelta(t, 100, r.Total.Ideal.P99, 0.5)
	must.Len(t, 1, r.Profiles)
	must.Eq(t, 2, r.Profiles[0].Jobs)
}

func TestReportCountsWastedMessages(t *testing.T) {
	// Two more starts than tasks, no more answers than submissions, four messages between peers.
	must.Eq(t, 6.0, New(input()).Wasted)
	in := input()
	in.Messages["start"] = 0 // a killed VM had not reported its start
	must.Eq(t, 4.0, New(in).Wasted)
	in.Starts = nil
	must.Zero(t, New(in).Wasted)
}

func TestReportWithViolationIsNotGood(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Input)
	}{
		{"a task was started twice", func(in *Input) { in.Starts = append(in.Starts, in.Starts[0]) }},
		{"a refused submission was started", func(in *Input) { in.Starts = append(in.Starts, target.Start{Submission: "b"}) }},
		{"an answered submission was not started", func(in *Input) { in.Starts = nil }},
		{"a job was not sent", func(in *Input) { in.Result.JobResults[1].Sent = false }},
		{"nothing was answered", func(in *Input) {
			in.Result.JobResults[0].Outcome = load.Failed
			in.Result.Submissions[0].Responses[0].Outcome = load.Failed
		}},
		{"a submission was lost", func(in *Input) { in.Result.Submissions[1].Responses[0].Outcome = load.TimedOut }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			in := input()
			tc.change(&in)
			must.False(t, New(in).Good())
		})
	}
}

func TestReportWithUnknownStartsIsGood(t *testing.T) {
	in := input()
	in.Starts, in.StartsUnknown = nil, true
	must.True(t, New(in).Good())
}

func TestReportWindowsCoverTheOutage(t *testing.T) {
	in := input()
	in.Result.Jobs[1].At = 1500 * ms
	r := New(in)
	must.Eq(t, -1, r.OutageS)
	must.Len(t, 2, r.Windows)
	must.Eq(t, Window{FromS: 1, Jobs: 1}, r.Windows[1])
	must.InDelta(t, 150, r.Windows[0].P99MS, 0.5)
	var text strings.Builder
	must.NoError(t, r.Write(&text))
	must.StrNotContains(t, text.String(), "loss of the VM")

	in.Faults.Outages = []load.Outage{{Domain: 0, From: 1200 * ms}}
	text.Reset()
	must.NoError(t, New(in).Write(&text))
	must.StrContains(t, text.String(), "-0.2 s")
	must.StrNotContains(t, text.String(), "-1.2 s")
	in.Faults.Outages[0].Domain = 1
	must.SliceEmpty(t, New(in).Windows)
}

func TestReportTextListsFailuresAndViolations(t *testing.T) {
	in := input()
	in.Starts = append(in.Starts, in.Starts[0])
	var text strings.Builder
	must.NoError(t, New(in).Write(&text))
	for _, want := range []string{"duplicate starts", "jobs failed: overloaded (not_run)", "submissions refused: overloaded", "broken promise: doubled_start 1", "task 0 was started 2 times"} {
		must.StrContains(t, text.String(), want)
	}
}
