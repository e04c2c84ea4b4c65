//go:build linux

package e2e

import (
	"bytes"
	"fmt"
	"sync"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/api"
)

// ledger records all responses of a test.
type ledger struct {
	mu        sync.Mutex
	responses []*response
	// violations holds the findings of verify.
	violations []string
}

func (l *ledger) add(r *response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responses = append(l.responses, r)
}

// all returns the responses so far.
func (l *ledger) all() []*response {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*response(nil), l.responses...)
}

// verify compares all responses with the targets' logs and reports violations: a task that was
// started twice, an answer that is incomplete or has the results of other work, a key reported as
// not run whose tasks were started, and two outcomes of one key.
func (w *world) verify() {
	w.ledger.violations = nil
	defer w.reportViolations()
	counts := map[string]map[int]int{}
	for _, s := range w.starts() {
		if counts[s.Submission] == nil {
			counts[s.Submission] = map[int]int{}
		}
		counts[s.Submission][s.Task]++
		if counts[s.Submission][s.Task] > 1 {
			w.violation("task %d of %s was started again, by %s at %s", s.Task, s.Submission, s.Holder, s.Target)
		}
	}
	answers := map[string]*response{}
	refusals := map[string]*response{}
	for _, r := range w.ledger.all() {
		w.verifyOne(r, len(counts[r.key]))
		if r.hasAnswer() {
			if other := answers[r.key]; other != nil && !bytes.Equal(other.body, r.body) {
				w.violation("two answers of one key:\n%s\n%s", other, r)
			}
			answers[r.key] = r
		}
		if r.runState() == api.NotRun {
			refusals[r.key] = r
		}
	}
	for key, r := range refusals {
		if key != "" && answers[key] != nil {
			w.violation("one key was answered and refused:\n%s\n%s", answers[key], r)
		}
	}
}

// verifyOne checks one response, given how many tasks of its key were started.
func (w *world) verifyOne(r *response, started int) {
	switch {
	case r.hasAnswer() && r.tasks > 0:
		w.verifyAnswer(r, started)
	case r.runState() == api.NotRun && started > 0:
		w.violation("not run is false, %d tasks were started: %s", started, r)
	case r.failure != nil && r.failure.RetryAfterMS > 0 && r.header.Get("Retry-After") == "":
		w.violation("no Retry-After header: %s", r)
	}
}

func (w *world) verifyAnswer(r *response, started int) {
	if started != r.tasks || len(r.answer.Results) != r.tasks || r.answer.Key != r.key {
		w.violation("%d of %d tasks were started: %s", started, r.tasks, r)
		return
	}
	for i, result := range r.answer.Results {
		if string(result) != fmt.Sprint(i) {
			w.violation("result %d is that of other work: %s", i, r)
		}
	}
}

// shownViolations bounds the number of violations that a failed test prints.
const shownViolations = 10

func (w *world) violation(format string, args ...any) {
	w.ledger.violations = append(w.ledger.violations, fmt.Sprintf(format, args...))
}

func (w *world) reportViolations() {
	all := w.ledger.violations
	for _, v := range all[:min(len(all), shownViolations)] {
		w.t.Error(v)
	}
	if len(all) > shownViolations {
		w.t.Errorf("and %d more", len(all)-shownViolations)
	}
}

// wantUnknown fails unless the response says that the outcome is unknown.
func (w *world) wantUnknown(r *response) {
	w.t.Helper()
	must.NoError(w.t, r.err, must.Sprint(r))
	must.Eq(w.t, api.OutcomeUnknown, r.runState(), must.Sprint(r))
}

func (w *world) wantWhole(r *response) {
	w.t.Helper()
	must.True(w.t, r.hasAnswer(), must.Sprint(r))
}

// count counts the responses so far for which has returns true.
func (l *ledger) count(has func(*response) bool) int {
	n := 0
	for _, r := range l.all() {
		if has(r) {
			n++
		}
	}
	return n
}
