package load

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/api"
)

func answered(digest uint64) Response { return Response{Outcome: Answered, Digest: digest} }

func refused(o Outcome, k api.Kind) Response { return Response{Outcome: o, Kind: k} }

// oneSubmission returns the result of a run with one job of two tasks under the key k.
func oneSubmission(responses ...Response) *Result {
	return &Result{
		Jobs:        []Job{{Tasks: make([]Task, 2)}},
		Submissions: []Submission{{Key: "k", Tasks: 2, Responses: responses}},
	}
}

func TestCheckFindsViolations(t *testing.T) {
	none := Starts{}
	at := []string{"t"}
	both := Starts{{"k", 0}: at, {"k", 1}: at}
	atVM := func(r Response, vm int, sent, done time.Duration) Response {
		r.VM, r.Sent, r.Done = vm, sent, done
		return r
	}
	unknown := refused(Unknown, api.KindRunnerLost)
	broken := Response{Outcome: Unreachable}
	tests := []struct {
		name      string
		responses []Response
		starts    Starts
		want      []Finding
	}{
		{"whole answer", []Response{answered(1)}, both, nil},
		{"duplicates with one answer", []Response{answered(1), answered(1)}, both, nil},
		{"duplicates with two answers", []Response{answered(1), answered(2)}, both, []Finding{FindingContradiction}},
		{"answer and its expiry", []Response{answered(1), refused(Completed, api.KindAnswerExpired)}, both, nil},
		{"answer and not run", []Response{answered(1), refused(NotRun, api.KindOverloaded)}, both, []Finding{FindingContradiction, FindingFalseNotRun}},
		{"not run and failed", []Response{refused(NotRun, api.KindOverloaded), refused(Failed, api.KindTaskFailed)}, none, []Finding{FindingContradiction}},
		{"not run", []Response{refused(NotRun, api.KindOverloaded)}, none, nil},
		{"not run but started", []Response{refused(NotRun, api.KindOverloaded)}, Starts{{"k", 1}: at}, []Finding{FindingFalseNotRun}},
		{"failed after one start", []Response{refused(Failed, api.KindTaskFailed)}, Starts{{"k", 1}: at}, nil},
		{"doubled", []Response{answered(1)}, Starts{{"k", 0}: at, {"k", 1}: {"t", "u"}}, []Finding{FindingDoubled}},
		{"answer without start", []Response{answered(1)}, Starts{{"k", 0}: at}, []Finding{FindingNotStarted}},
		{"answer, starts not known", []Response{answered(1)}, nil, nil},
		{"answer without any start", []Response{answered(1)}, none, []Finding{FindingNotStarted}},
		{"start of another key", []Response{answered(1)}, Starts{{"k", 0}: at, {"k", 1}: at, {"x", 0}: at}, []Finding{FindingUnknownSubmission}},
		{"lost", []Response{broken, {Outcome: TimedOut}}, none, []Finding{FindingLost}},
		{"retried", []Response{broken, answered(1)}, both, nil},
		{"broken interface", []Response{{Outcome: Invalid, Finding: FindingInvalid}}, none, []Finding{FindingInvalid}},
		{"foreign answer", []Response{{Outcome: Answered, Finding: FindingForeign}}, both, []Finding{FindingForeign}},
		{"unknown without a fault", []Response{atVM(unknown, 0, 0, 90)}, none, []Finding{FindingUnknown}},
		{"unknown at another VM", []Response{atVM(unknown, 0, 0, 200)}, none, []Finding{FindingUnknown}},
		{"unknown after the fault", []Response{atVM(broken, 1, 111, 120), atVM(unknown, 0, 121, 200)}, none, []Finding{FindingUnknown}},
		{"unknown before the fault", []Response{atVM(broken, 1, 0, 99), atVM(unknown, 0, 99, 200)}, none, []Finding{FindingUnknown}},
		{"run by the lost VM", []Response{{Outcome: Unknown, Kind: api.KindRunnerLost, Runner: "vm-1", Done: 200}}, both, nil},
		{"in flight at the lost VM", []Response{atVM(broken, 1, 0, 101), atVM(unknown, 0, 121, 200)}, both, nil},
		{"the duplicate was in flight there", []Response{atVM(unknown, 0, 0, 200), atVM(broken, 1, 0, 101)}, both, nil},
		{"target lost", []Response{refused(Unknown, api.KindTargetLost)}, Starts{{"k", 0}: {"bad"}}, nil},
		{"another target lost", []Response{refused(Unknown, api.KindTargetLost)}, Starts{{"k", 0}: at}, []Finding{FindingUnknown}},
		{"undecided to the end", []Response{refused(Unknown, api.KindUnavailable)}, none, []Finding{FindingLost}},
		{"undecided at first", []Response{refused(Unknown, api.KindUnavailable), answered(1)}, both, nil},
		{"unknown for another reason", []Response{refused(Unknown, api.KindKeyExpired)}, Starts{{"k", 0}: {"bad"}}, []Finding{FindingUnknown}},
	}
	faults := Faults{
		Outages: []Outage{{VM: 1, ID: "vm-1", From: 100, To: 110}, {Domain: 1, VM: 0, From: 0, To: 1000}},
		Targets: []string{"bad"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var got []Finding
			for _, v := range Check(oneSubmission(tc.responses...), tc.starts, faults) {
				got = append(got, v.Finding)
			}
			must.Eq(t, tc.want, got)
		})
	}
}
