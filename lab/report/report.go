// Package report sums up a run of the lab: the outcomes of jobs, their response times compared with
// those of an ideal FIFO queue, the messages that daemons sent, and the violations of guarantees
// that load.Check finds.
package report

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/burdockward/burdockward/lab/load"
	"github.com/burdockward/burdockward/lab/standin/target"
)

// Input holds the results of a run and the counters read after it.
type Input struct {
	Result *load.Result
	// Slots is the number of slots of a failure domain's targets.
	Slots int
	// Starts holds all starts that the targets logged. StartsUnknown is set when their logs were
	// not read.
	Starts        []target.Start
	StartsUnknown bool
	// Refused counts the starts that targets refused, by reason.
	Refused map[string]uint64
	// Faults can explain unknown outcomes.
	Faults load.Faults
	// Messages counts the messages that the daemons sent, by kind.
	Messages map[string]float64
}

// Report sums up a run.
type Report struct {
	// Jobs counts the jobs of the trace, Sent those that were sent, and Submissions the keys under
	// which they were sent. Requests counts the HTTP requests that callers made for them.
	Jobs        int `json:"jobs"`
	Sent        int `json:"sent"`
	Submissions int `json:"submissions"`
	Requests    int `json:"requests"`
	// Answered counts the jobs with an answer, NotRun those that were refused, and Failures all
	// jobs without an answer, by kind and run state.
	Answered int            `json:"answered"`
	NotRun   int            `json:"not_run"`
	Failures map[string]int `json:"failures"`
	// Refusals counts the submissions that were refused, by kind. Their jobs
	// may have been answered under a later key.
	Refusals map[string]int `json:"refusals"`
	// Started counts tasks that were started, DuplicateStarts further starts
	// of the same tasks.
	Started         int               `json:"started"`
	DuplicateStarts int               `json:"duplicate_starts"`
	RefusedStarts   map[string]uint64 `json:"refused_starts"`
	// Violations holds the violations of the callers' guarantees.
	Violations []load.Violation `json:"violations"`
	// Total holds the times over all profiles.
	Total    Times   `json:"total"`
	Profiles []Times `json:"profiles"`
	// Windows sums up the failure domain of the outage, or the first one when there was no outage.
	// OutageS is when the outage began, in seconds from the start; -1 is none.
	Windows []Window `json:"windows"`
	OutageS float64  `json:"outage_s"`
	// Messages counts the messages that daemons sent, by kind.
	Messages map[string]float64 `json:"messages"`
	// Wasted is the number of messages per task beyond one start for each task and one answer for
	// each submission. A killed VM's last counts are missing; fewer starts or answers than needed
	// count as 0 and don't lower it.
	Wasted float64 `json:"wasted_per_task"`
	// MaxLagMS is the longest delay of the load tool itself in milliseconds.
	MaxLagMS float64 `json:"max_lag_ms"`
}

// New sums up a run.
func New(in Input) *Report {
	starts := startsOf(in)
	r := &Report{
		Jobs:          len(in.Result.Jobs),
		Submissions:   len(in.Result.Submissions),
		Failures:      map[string]int{},
		Refusals:      map[string]int{},
		Started:       len(starts),
		RefusedStarts: in.Refused,
		Violations:    load.Check(in.Result, starts, in.Faults),
		Messages:      in.Messages,
		MaxLagMS:      millis(in.Result.MaxLag),
		OutageS:       -1,
	}
	domain := 0
	if len(in.Faults.Outages) > 0 {
		outage := in.Faults.Outages[0]
		domain = outage.Domain
		r.OutageS = outage.From.Seconds()
	}
	for _, at := range starts {
		r.DuplicateStarts += len(at) - 1
	}
	for _, s := range in.Result.Submissions {
		r.countResponses(s.Responses)
	}
	r.countJobs(in.Result)
	ideals := load.Ideal(in.Result.Jobs, in.Slots, nil)
	r.addTimes(in.Result, ideals)
	r.Windows = windowsOf(in.Result, ideals, domain)
	r.Wasted = wasted(in.Messages, r.Started, r.Submissions)
	return r
}

// Good reports whether no guarantee was violated, no task was started twice, all jobs were sent and
// at least one was answered.
func (r *Report) Good() bool {
	return len(r.Violations) == 0 && r.DuplicateStarts == 0 && r.Sent == r.Jobs && r.Answered > 0
}

// startsOf returns the targets of the starts by task, or nil when the starts are unknown.
func startsOf(in Input) load.Starts {
	if in.StartsUnknown {
		return nil
	}
	starts := load.Starts{}
	for _, s := range in.Starts {
		id := load.TaskID{Submission: s.Submission, Task: s.Task}
		starts[id] = append(starts[id], s.Target)
	}
	return starts
}

// countResponses counts the requests of one submission, and the submission if it was refused.
func (r *Report) countResponses(responses []load.Response) {
	r.Requests += len(responses)
	for _, resp := range responses {
		if resp.Outcome == load.NotRun {
			r.Refusals[string(resp.Kind)]++
			return
		}
	}
}

// countJobs counts the jobs by outcome.
func (r *Report) countJobs(result *load.Result) {
	for _, jr := range result.JobResults {
		switch {
		case !jr.Sent:
			continue
		case jr.Outcome == load.Answered:
			r.Answered++
		default:
			r.Failures[failureName(jr.Response)]++
		}
		if jr.Outcome == load.NotRun {
			r.NotRun++
		}
		r.Sent++
	}
}

func failureName(resp load.Response) string {
	if resp.Kind == "" {
		return string(resp.Outcome)
	}
	return string(resp.Kind) + " (" + string(resp.Outcome) + ")"
}

// addTimes fills in the times of each profile and of all together.
func (r *Report) addTimes(result *load.Result, ideals []time.Duration) {
	total := newTimer("all")
	byProfile := map[string]*timer{}
	for i, job := range result.Jobs {
		t := byProfile[job.Profile]
		if t == nil {
			t = newTimer(job.Profile)
			byProfile[job.Profile] = t
		}
		t.add(&result.JobResults[i], ideals[i])
		total.add(&result.JobResults[i], ideals[i])
	}
	r.Total = total.times()
	for _, name := range slices.Sorted(maps.Keys(byProfile)) {
		r.Profiles = append(r.Profiles, byProfile[name].times())
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// The kinds of messages that the work itself needs.
const (
	kindStart  = "start"
	kindAnswer = "answer"
)

// wasted returns the number of messages per task beyond those that the tasks and submissions need.
func wasted(messages map[string]float64, tasks, submissions int) float64 {
	if tasks == 0 {
		return 0
	}
	var sum float64
	for _, kind := range sortedKinds(messages) {
		n := messages[kind]
		switch kind {
		case kindStart:
			n = max(0, n-float64(tasks))
		case kindAnswer:
			n = max(0, n-float64(submissions))
		}
		sum += n
	}
	return sum / float64(tasks)
}

func sortedKinds(messages map[string]float64) []string {
	return slices.SortedFunc(maps.Keys(messages), cmp.Compare[string])
}
