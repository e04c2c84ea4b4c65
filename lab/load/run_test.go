package load

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/lab/standin/target"
)

// fakeVM is an entry VM that answers at once.
type fakeVM struct {
	*httptest.Server
	mu   sync.Mutex
	keys []string
	// cut breaks the connection of each submission instead of answering it.
	cut bool
	// refuse is the number of first submissions that get the failure refusal.
	refuse  int
	refusal api.Failure
	// change, when set, edits each answer.
	change func(*api.Answer)
}

func newFakeVM(t *testing.T) *fakeVM {
	vm := &fakeVM{refusal: api.Failure{Kind: api.KindOverloaded, Run: api.NotRun, RetryAfterMS: 1}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/epoch", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(api.HeaderEpoch, "e1")
	})
	mux.HandleFunc("POST /v1/submissions", vm.submit)
	vm.Server = httptest.NewServer(mux)
	t.Cleanup(vm.Close)
	return vm
}

func (vm *fakeVM) submit(w http.ResponseWriter, r *http.Request) {
	var s api.Submission
	_ = json.NewDecoder(r.Body).Decode(&s)
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.keys = append(vm.keys, s.Key)
	w.Header().Set(api.HeaderEpoch, "e2")
	switch {
	case vm.cut:
		panic(http.ErrAbortHandler)
	case len(vm.keys) <= vm.refuse:
		w.WriteHeader(http.StatusTooManyRequests)
		_ = json.NewEncoder(w).Encode(api.FailureBody{Error: &vm.refusal})
	default:
		_ = json.NewEncoder(w).Encode(vm.answer(s))
	}
}

func (vm *fakeVM) answer(s api.Submission) api.Answer {
	a := api.Answer{Key: s.Key}
	for _, t := range s.Tasks {
		var p target.Payload
		_ = json.Unmarshal(t.Payload, &p)
		a.Results = append(a.Results, p.Result)
	}
	if vm.change != nil {
		vm.change(&a)
	}
	return a
}

func run(t *testing.T, retry RetryMode, jobs []Job, vms ...*fakeVM) *Result {
	d := Domain{Name: "d"}
	for _, vm := range vms {
		d.Entries = append(d.Entries, vm.URL)
	}
	result, err := Run(context.Background(), Config{
		Run: "r", Domains: []Domain{d}, Deadline: 10 * time.Second, Margin: 10 * time.Second, Retry: retry, MaxInFlight: 10,
	}, jobs)
	must.NoError(t, err)
	return result
}

func twoTasks() Job {
	return Job{Profile: "p", Tasks: []Task{{Run: time.Millisecond}, {Run: time.Millisecond}}}
}

func TestRunReturnsAnswers(t *testing.T) {
	vm := newFakeVM(t)
	result := run(t, RetryNever, []Job{twoTasks()}, vm)
	must.Eq(t, []string{"d.e1.r-0-0"}, vm.keys)
	must.Eq(t, Answered, result.JobResults[0].Outcome)
	must.Eq(t, "", result.JobResults[0].Finding)
	must.Positive(t, result.JobResults[0].Time)
}

func TestRunSendsTheSameKeyAfterABrokenConnection(t *testing.T) {
	first, second := newFakeVM(t), newFakeVM(t)
	first.cut = true
	result := run(t, RetryNever, []Job{twoTasks()}, first, second)
	must.Eq(t, Answered, result.JobResults[0].Outcome)
	must.Len(t, 2, result.Submissions[0].Responses)
	must.Eq(t, Unreachable, result.Submissions[0].Responses[0].Outcome)
	must.Eq(t, []string{"d.e1.r-0-0"}, second.keys)
}

func TestRunGivesUpAfterBoundedSends(t *testing.T) {
	vm := newFakeVM(t)
	vm.cut = true
	result := run(t, RetryNever, []Job{twoTasks()}, vm)
	must.Len(t, maxSends, result.Submissions[0].Responses)
	must.Eq(t, FindingLost, Check(result, nil, Faults{})[0].Finding)
}

func TestRunResubmitsUnderANewKeyAfterRefusal(t *testing.T) {
	vm := newFakeVM(t)
	vm.refuse = 1
	result := run(t, RetryHonour, []Job{twoTasks()}, vm)
	must.Eq(t, []string{"d.e1.r-0-0", "d.e2.r-0-1"}, vm.keys)
	must.Eq(t, Answered, result.JobResults[0].Outcome)

	vm = newFakeVM(t)
	vm.refuse = 1
	result = run(t, RetryNever, []Job{twoTasks()}, vm)
	must.Eq(t, NotRun, result.JobResults[0].Outcome)
	must.Eq(t, api.KindOverloaded, result.JobResults[0].Kind)
}

func TestRunRetriesTheSameKeyWhileUndecided(t *testing.T) {
	first, second := newFakeVM(t), newFakeVM(t)
	first.refuse = 1
	first.refusal = api.Failure{Kind: api.KindUnavailable, Run: api.OutcomeUnknown, RetryAfterMS: 1}
	result := run(t, RetryNever, []Job{twoTasks()}, first, second)
	must.Eq(t, Answered, result.JobResults[0].Outcome)
	must.Eq(t, first.keys, second.keys)

	first = newFakeVM(t)
	first.refuse = 1
	first.refusal = api.Failure{Kind: api.KindRunnerLost, Run: api.OutcomeUnknown}
	result = run(t, RetryHonour, []Job{twoTasks()}, first)
	must.Eq(t, Unknown, result.JobResults[0].Outcome)
	must.Len(t, 1, first.keys)
}

func TestRunReplacesAKeyThatWasNeverSent(t *testing.T) {
	up, down := newFakeVM(t), newFakeVM(t)
	down.Close()
	job := twoTasks()
	job.VM = 1
	result := run(t, RetryNever, []Job{job}, up, down)
	must.Eq(t, Answered, result.JobResults[0].Outcome)
	must.Len(t, 1, result.Submissions[0].Responses)
	must.Zero(t, result.Submissions[0].Responses[0].VM)

	job.Duplicated = true // the other VM may know the key, so it is not replaced
	result = run(t, RetryNever, []Job{job}, up, down)
	must.Eq(t, Answered, result.JobResults[0].Outcome)
	must.True(t, result.Submissions[0].Responses[0].Unsent)
}

func TestConcludeNotRunNeedsExpiryEverywhere(t *testing.T) {
	expired := Response{Outcome: Unknown, Kind: api.KindKeyExpired}
	unsent := Response{Outcome: Unreachable, Unsent: true}
	tests := []struct {
		name      string
		responses []Response
		want      Outcome
	}{
		{"expired everywhere", []Response{expired, expired}, NotRun},
		{"unsent, then expired", []Response{unsent, expired}, NotRun},
		{"a broken connection may have carried it", []Response{{Outcome: Unreachable}, expired}, Unknown},
		{"a timeout may have carried it", []Response{{Outcome: TimedOut}, expired}, Unknown},
		{"its duplicate was answered", []Response{expired, answered(1)}, Unknown},
		{"another unknown outcome", []Response{refused(Unknown, api.KindRunnerLost)}, Unknown},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			concludeNotRun(tc.responses)
			for _, resp := range tc.responses {
				if resp.Kind == api.KindKeyExpired || resp.Kind == api.KindRunnerLost {
					must.Eq(t, tc.want, resp.Outcome)
				}
			}
		})
	}
}

func TestRunTakesANewKeyAfterAnExpiredOne(t *testing.T) {
	vm := newFakeVM(t)
	vm.refuse = 1
	vm.refusal = api.Failure{Kind: api.KindKeyExpired, Run: api.OutcomeUnknown}
	result := run(t, RetryNever, []Job{twoTasks()}, vm)
	must.Eq(t, Answered, result.JobResults[0].Outcome)
	must.Len(t, 2, vm.keys)
	must.NotEq(t, vm.keys[0], vm.keys[1])
}

func TestNewKeyTakesTheTokenOfItsVM(t *testing.T) {
	c := newClient(Domain{Name: "d"})
	c.epochs[0], c.epochs[1], c.newest = "e0", "e1", 1
	must.Eq(t, "d.e0.u", c.newKey(0, "u"))
	must.Eq(t, "d.e1.u", c.newKey(2, "u"))

	c.domain.Entries = []string{"0", "1", "2"}
	c.nonHomeKeys = true
	must.Eq(t, []string{"d.e1.u", "d.e0.u", "d.e0.u"}, []string{c.newKey(0, "u"), c.newKey(1, "u"), c.newKey(2, "u")})
}

func TestRunSendsDuplicatesToTwoVMs(t *testing.T) {
	first, second := newFakeVM(t), newFakeVM(t)
	job := twoTasks()
	job.Duplicated = true
	result := run(t, RetryNever, []Job{job}, first, second)
	must.Eq(t, first.keys, second.keys)
	must.Len(t, 2, result.Submissions[0].Responses)
}

func TestRunFindsFaultsOfAnswers(t *testing.T) {
	tests := []struct {
		name   string
		change func(*api.Answer)
		want   Finding
	}{
		{"a result is missing", func(a *api.Answer) { a.Results = a.Results[:1] }, FindingPartial},
		{"results are swapped", func(a *api.Answer) { a.Results[0], a.Results[1] = a.Results[1], a.Results[0] }, FindingForeign},
		{"a result is null", func(a *api.Answer) { a.Results[1] = json.RawMessage("null") }, FindingForeign},
		{"a result is no object", func(a *api.Answer) { a.Results[1] = json.RawMessage("3") }, FindingPartial},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			vm := newFakeVM(t)
			vm.change = tc.change
			result := run(t, RetryNever, []Job{twoTasks()}, vm)
			must.Eq(t, tc.want, result.JobResults[0].Finding)
		})
	}
}

func TestSendAllIsOpenLoopAndBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		jobs := make([]Job, 4)
		for i := range jobs {
			jobs[i].At = time.Duration(i) * time.Second
		}
		r := &runner{cfg: Config{MaxInFlight: 3}, result: Result{Jobs: jobs, Start: time.Now()}}
		never := make(chan struct{})
		sent := make(chan time.Duration, len(jobs))
		var callers sync.WaitGroup
		r.sendAll(t.Context(), &callers, func(context.Context, int) {
			sent <- r.now()
			<-never
		})
		must.Eq(t, r.cfg.MaxInFlight, len(sent))
		for i := range r.cfg.MaxInFlight {
			must.Eq(t, jobs[i].At, <-sent)
		}
		must.Zero(t, r.result.MaxLag)
		close(never)
		callers.Wait()
	})
}

func TestReadResponse(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		want   Outcome
	}{
		{"plain text", 500, "oops", Invalid},
		{"failure without a run state", 500, `{"error":{"kind":"internal"}}`, Invalid},
		{"failure", 500, `{"error":{"kind":"internal","run":"outcome_unknown"}}`, Unknown},
		{"no failure", 404, `{}`, Invalid},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			must.Eq(t, tc.want, readResponse(tc.status, []byte(tc.body), nil).Outcome)
		})
	}
}

func TestIsDialError(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	must.True(t, isDialError(&url.Error{Op: "Post", Err: refused}))
	must.False(t, isDialError(&url.Error{Op: "Post", Err: &net.OpError{Op: "read", Err: syscall.ECONNRESET}}))
	must.False(t, isDialError(io.ErrUnexpectedEOF))
}
