package load

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/burdockward/burdockward/api"
)

// Finding is the kind of a violation.
type Finding string

// The findings.
const (
	// FindingPartial is an answer without all results.
	FindingPartial Finding = "partial_answer"
	// FindingForeign is an answer with the result of another task.
	FindingForeign Finding = "foreign_answer"
	// FindingInvalid is a response that breaks the callers' interface.
	FindingInvalid Finding = "invalid_response"
	// FindingLost is a submission without a final response: its requests failed, timed out, or were
	// answered that the outcome can't be decided now.
	FindingLost Finding = "lost"
	// FindingContradiction is a key with two outcomes that can't both be true.
	FindingContradiction Finding = "contradiction"
	// FindingDoubled is a task that was started more than once.
	FindingDoubled Finding = "doubled_start"
	// FindingFalseNotRun is a start of a submission that a response reported as not run.
	FindingFalseNotRun Finding = "false_not_run"
	// FindingNotStarted is an answer to a submission of which a task was never started.
	FindingNotStarted Finding = "answer_without_start"
	// FindingUnknown is an unknown outcome that no fault explains.
	FindingUnknown Finding = "unexplained_unknown"
	// FindingUnknownSubmission is a start of a submission that no caller made.
	FindingUnknownSubmission Finding = "start_without_submission"
)

// Violation is one violation of the guarantees that callers have.
type Violation struct {
	Finding Finding `json:"finding"`
	Key     string  `json:"key"`
	Detail  string  `json:"detail"`
}

// TaskID names a task of a submission.
type TaskID struct {
	Submission string
	Task       int
}

// Starts holds, for each task, the ids of the targets at which it was started,
// one for each start.
type Starts map[TaskID][]string

// Outage is an interval in which an entry VM did not serve.
type Outage struct {
	// Domain and VM are indexes as in Job.
	Domain, VM int
	// ID is the id of the VM, as responses name it.
	ID string
	// From and To count from the start of the run.
	From, To time.Duration
}

// Faults are the faults that can explain unknown outcomes.
type Faults struct {
	Outages []Outage
	// Targets holds the ids of the targets that did not answer.
	Targets []string
}

// Check compares the callers' responses with the targets' starts and returns the violations, sorted
// by finding and key. Nil starts are unknown: then only the responses are checked. An empty map
// means that nothing was started.
func Check(r *Result, starts Starts, faults Faults) []Violation {
	c := checker{result: r, faults: faults, started: startsByKey(starts), atFault: keysAt(starts, faults.Targets)}
	known := make(map[string]bool, len(r.Submissions))
	for i := range r.Submissions {
		known[r.Submissions[i].Key] = true
		c.checkSubmission(&r.Submissions[i])
	}
	c.checkStarts(starts, known)
	slices.SortFunc(c.found, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.Finding, b.Finding), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Detail, b.Detail))
	})
	return c.found
}

type checker struct {
	result  *Result
	faults  Faults
	started map[string]int
	// atFault holds the keys with a task at a faulty target.
	atFault map[string]bool
	found   []Violation
}

// startsByKey counts the tasks of each key that were started at least once. It returns nil when the
// starts are unknown.
func startsByKey(starts Starts) map[string]int {
	if starts == nil {
		return nil
	}
	started := make(map[string]int)
	for id, at := range starts {
		if len(at) > 0 {
			started[id.Submission]++
		}
	}
	return started
}

// keysAt returns the keys of which a task was started at one of the targets.
func keysAt(starts Starts, targets []string) map[string]bool {
	keys := make(map[string]bool)
	for id, at := range starts {
		for _, t := range at {
			if slices.Contains(targets, t) {
				keys[id.Submission] = true
			}
		}
	}
	return keys
}

func (c *checker) add(f Finding, key, format string, args ...any) {
	c.found = append(c.found, Violation{Finding: f, Key: key, Detail: fmt.Sprintf(format, args...)})
}

// checkStarts finds tasks that were started more than once and starts of unknown submissions.
func (c *checker) checkStarts(starts Starts, known map[string]bool) {
	for id, at := range starts {
		if len(at) > 1 {
			c.add(FindingDoubled, id.Submission, "task %d was started %d times, at %v", id.Task, len(at), at)
		}
		if !known[id.Submission] {
			c.add(FindingUnknownSubmission, id.Submission, "task %d was started", id.Task)
		}
	}
}

// checkSubmission finds the violations of one submission.
func (c *checker) checkSubmission(s *Submission) {
	for _, resp := range s.Responses {
		if resp.Finding != "" {
			c.add(resp.Finding, s.Key, "%s", resp.Detail)
		}
	}
	c.checkLost(s)
	c.checkAgreement(s)
	if c.started != nil {
		c.checkAgainstStarts(s)
	}
	c.checkUnknown(s)
}

// checkLost finds a submission without any final response.
func (c *checker) checkLost(s *Submission) {
	for i := range s.Responses {
		if s.Responses[i].isFinal() {
			return
		}
	}
	last := s.Responses[len(s.Responses)-1]
	c.add(FindingLost, s.Key, "%d requests, the last one %s: %s", len(s.Responses), last.Outcome, last.Detail)
}

// checkAgreement compares the final outcomes of one key with each other. Unknown is consistent with
// every outcome, and Completed with an answer.
func (c *checker) checkAgreement(s *Submission) {
	var first *Response
	for i := range s.Responses {
		resp := &s.Responses[i]
		if !resp.isFinal() || resp.Outcome == Unknown || resp.Outcome == Invalid {
			continue
		}
		if first == nil {
			first = resp
			continue
		}
		c.comparePair(s.Key, first, resp)
	}
}

// comparePair finds a contradiction between two final responses under one key.
func (c *checker) comparePair(key string, a, b *Response) {
	ran := func(o Outcome) bool { return o == Answered || o == Completed }
	switch {
	case a.Outcome == Answered && b.Outcome == Answered:
		if a.Digest != b.Digest {
			c.add(FindingContradiction, key, "two requests got different answers")
		}
	case ran(a.Outcome) && ran(b.Outcome):
	case a.Outcome != b.Outcome:
		c.add(FindingContradiction, key, "one request got %s, another one %s", describe(a), describe(b))
	}
}

func describe(r *Response) string {
	if r.Kind == "" {
		return string(r.Outcome)
	}
	return string(r.Outcome) + " (" + string(r.Kind) + ")"
}

// checkAgainstStarts compares the outcomes of one key with the targets' starts.
func (c *checker) checkAgainstStarts(s *Submission) {
	started := c.started[s.Key]
	for i := range s.Responses {
		resp := &s.Responses[i]
		switch {
		case resp.Outcome == NotRun && started > 0:
			c.add(FindingFalseNotRun, s.Key, "refused as %s, and %d tasks were started", resp.Kind, started)
		case resp.Outcome == Answered && started != s.Tasks:
			c.add(FindingNotStarted, s.Key, "answered, and %d of %d tasks were started", started, s.Tasks)
		}
	}
}

// checkUnknown finds unknown outcomes that no fault explains: the submission had no request in
// flight at a VM during its outage, and no task at a faulty target.
func (c *checker) checkUnknown(s *Submission) {
	for i := range s.Responses {
		resp := &s.Responses[i]
		targetLost := resp.Kind == api.KindTargetLost && c.atFault[s.Key]
		if resp.Outcome == Unknown && resp.isFinal() && !targetLost && !c.inFlightAtOutage(s) {
			c.add(FindingUnknown, s.Key, "%s from VM %d after %v: %s", resp.Kind, resp.VM, resp.Done-resp.Sent, resp.Detail)
		}
	}
}

// inFlightAtOutage reports whether a request of the submission was at a VM while it did not serve.
func (c *checker) inFlightAtOutage(s *Submission) bool {
	domain := c.result.Jobs[s.Job].Domain
	for _, f := range c.faults.Outages {
		if f.Domain != domain {
			continue
		}
		for _, resp := range s.Responses {
			atVM := resp.VM == f.VM || resp.Runner == f.ID
			if atVM && resp.Sent <= f.To && resp.Done >= f.From {
				return true
			}
		}
	}
	return false
}
