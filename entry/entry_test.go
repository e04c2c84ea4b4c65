package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/link"
	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/ownership"
	"github.com/burdockward/burdockward/work"
)

const ms = time.Millisecond

func TestChoose(t *testing.T) {
	for name, test := range map[string]struct {
		candidates []Candidate
		draw       float64
		want       int
	}{
		"no candidates":         {nil, 0, -1},
		"near":                  {[]Candidate{{}, {Near: true}}, 0.9, 1},
		"near though it waits":  {[]Candidate{{FreeShare: 1}, {Near: true, Wait: 20 * ms}}, 0.9, 1},
		"far has capacity":      {[]Candidate{{FreeShare: 0.5}, {Near: true, Wait: 200 * ms}}, 0.9, 0},
		"some jobs stay near":   {[]Candidate{{FreeShare: 0.5}, {Near: true, Wait: 200 * ms}}, 0.1, 1},
		"far has no capacity":   {[]Candidate{{FreeShare: 0.01}, {Near: true, Wait: 200 * ms}}, 0.9, 1},
		"near has refused":      {[]Candidate{{FreeShare: 0.01, Wait: time.Second}, {Near: true, HasRefused: true}}, 0.9, 0},
		"near is unconfirmed":   {[]Candidate{{FreeShare: 0.01, Wait: time.Second}, {Near: true, Unconfirmed: true}}, 0.1, 0},
		"all are unconfirmed":   {[]Candidate{{Unconfirmed: true}, {Near: true, Unconfirmed: true}}, 0.1, 1},
		"confirmed has refused": {[]Candidate{{HasRefused: true}, {Near: true, Unconfirmed: true}}, 0.1, 1},
		"all have refused":      {[]Candidate{{HasRefused: true}, {Near: true, HasRefused: true}}, 0.9, -1},
		"far with least wait":   {[]Candidate{{FreeShare: 1, Wait: 50 * ms}, {FreeShare: 1, Wait: 10 * ms}}, 0.9, 1},
	} {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, test.want, Choose(test.candidates, test.draw))
		})
	}
}

// fakePeers implements Peers and Remote for two owners, near and far.
type fakePeers struct {
	views map[uint64]heartbeat.View
	// outcomes are each owner's answers in turn, by its address; the last one is repeated.
	outcomes map[string][]work.Outcome
	// asked are the addresses of the owners that were asked to run a job.
	asked []string
	// givenUp are the jobs that were given up.
	givenUp []string
	// states and fault are the owners' answers about durable jobs, inStore and storeFault those
	// of the store.
	states            map[string]work.JobState
	inStore           work.JobState
	fault, storeFault error
	// withdrawn are the owners' answers to withdrawals, withdrawnAt those that were asked. cancels counts the
	// other cancellations, before each of which onCancel is called.
	withdrawn   map[string]work.JobState
	withdrawnAt []string
	mu          sync.Mutex
	cancels     int
	onCancel    func()
}

func (f *fakePeers) View(incarnation uint64) (heartbeat.View, bool) {
	view, ok := f.views[incarnation]
	return view, ok
}

func (f *fakePeers) GiveUp(_ uint64, given heartbeat.GivenUp) {
	f.givenUp = append(f.givenUp, given.Job)
}

func (f *fakePeers) NextRequest() uint64 { return 1 }

func (f *fakePeers) RunWhileAlive(_, _ context.Context, to heartbeat.Owner, _ link.Order) work.Outcome {
	address := to.ControlAddress
	f.asked = append(f.asked, address)
	next := f.outcomes[address][0]
	if len(f.outcomes[address]) > 1 {
		f.outcomes[address] = f.outcomes[address][1:]
	}
	return next
}

// newEntry creates an Entry at a VM of the failure domain near, without an owner of its own.
func newEntry(f *fakePeers) *Entry {
	claims := []ownership.GroupClaim{
		{Group: "near", Version: 1, Claim: &linkpb.Claim{Life: 1, Control: "near"}},
		{Group: "far", Version: 2, Claim: &linkpb.Claim{Life: 2, Control: "far"}},
	}
	return New(Options{
		VM: "v", Incarnation: 9, FailureDomain: "near", Log: slog.New(slog.DiscardHandler),
		Count:      func(string, string) {},
		Claims:     func() []ownership.GroupClaim { return claims },
		LocalOwner: func(string) (Local, bool) { return nil, false },
		DomainOf:   func(group string) string { return group },
		OwnerLost:  func(heartbeat.Owner) {},
		FindJob:    func(context.Context, string) (work.JobState, error) { return f.inStore, f.storeFault },
	}, f, f)
}

// newFakePeers creates two live owners with the outcomes that they answer.
func newFakePeers(near, far []work.Outcome) *fakePeers {
	view := func(address string) heartbeat.View {
		return heartbeat.View{
			Owner: heartbeat.Owner{ControlAddress: address}, Timestamp: 1, Alive: context.Background(),
			Loads: []*linkpb.Load{{Group: address, Service: "s", FreeCpu: 10, Cpu: 10}},
		}
	}
	return &fakePeers{
		views:    map[uint64]heartbeat.View{1: view("near"), 2: view("far")},
		outcomes: map[string][]work.Outcome{"near": near, "far": far},
	}
}

var (
	job   = work.Job{ID: "j", Steps: []work.Step{{Tasks: 1, DeclaredRunTime: 50 * ms}}}
	queue = work.Queue{Service: "s", Stretch: 2, Allowance: 100 * ms}
)

func TestRefusedJobsAreOfferedToAnotherOwner(t *testing.T) {
	f := newFakePeers([]work.Outcome{{Result: work.Refused, RetryAfter: time.Second}}, []work.Outcome{{Result: work.Completed}})
	must.Eq(t, work.Completed, newEntry(f).Dispatch(t.Context(), job, queue, 0).Result)
	must.Eq(t, []string{"near", "far"}, f.asked)
}

func TestJobRefusedByAllOwnersIsRefusedAtOnce(t *testing.T) {
	refused := []work.Outcome{{Result: work.Refused, Reason: "full", RetryAfter: time.Second}}
	f := newFakePeers(refused, refused)
	outcome := newEntry(f).Dispatch(t.Context(), job, queue, 0)
	must.Eq(t, work.Refused, outcome.Result)
	must.Eq(t, "full", outcome.Reason)
	must.Eq(t, []string{"near", "far"}, f.asked)
}

// A job that an owner handed back is sent again.
func TestMovedJobIsSentAgain(t *testing.T) {
	f := newFakePeers([]work.Outcome{{Result: work.Moved}, {Result: work.Completed}}, []work.Outcome{{Result: work.Completed}})
	must.Eq(t, work.Completed, newEntry(f).Dispatch(t.Context(), job, queue, 0).Result)
	must.Eq(t, []string{"near", "near"}, f.asked)
}

// A caller whose job may still run is told when it may send it again; a durable job may be sent again
// at any time.
func TestCallerOfUnknownJobIsToldWhenToSendItAgain(t *testing.T) {
	for durable, want := range map[bool]time.Duration{false: 1300 * ms, true: 0} {
		e := newEntry(newFakePeers([]work.Outcome{{Result: work.Unknown}}, []work.Outcome{{Result: work.Unknown}}))
		e.options.ResendDelay = 1300 * ms
		sent := job
		sent.Durable = durable
		outcome := e.Dispatch(t.Context(), sent, queue, 0)
		must.Eq(t, work.Unknown, outcome.Result)
		must.Eq(t, want, outcome.RetryAfter)
	}
}

// A job that may have started is not sent again, and its owner is asked to give it up.
func TestUnknownJobIsGivenUpAndNotSentAgain(t *testing.T) {
	f := newFakePeers([]work.Outcome{{Result: work.Unknown, Reason: "lost"}}, []work.Outcome{{Result: work.Completed}})
	must.Eq(t, work.Unknown, newEntry(f).Dispatch(t.Context(), job, queue, 0).Result)
	must.Eq(t, []string{"j"}, f.givenUp)
	must.Eq(t, []string{"near"}, f.asked)
}

// A job whose caller is gone goes to no owner.
func TestJobOfGoneCallerIsNotSent(t *testing.T) {
	f := newFakePeers([]work.Outcome{{Result: work.Completed}}, nil)
	ctx, leave := context.WithCancel(t.Context())
	leave()
	must.Eq(t, work.Unknown, newEntry(f).Dispatch(ctx, job, queue, 0).Result)
	must.SliceEmpty(t, f.asked)
}

func TestJobIsRefusedWithoutOwners(t *testing.T) {
	f := newFakePeers(nil, nil)
	f.views = nil
	outcome := newEntry(f).Dispatch(t.Context(), job, queue, 0)
	must.Eq(t, work.Refused, outcome.Result)
	must.Positive(t, outcome.RetryAfter)
}

// An owner that has not answered recently gets no new job while another one answers: it may have
// died, and the job would be lost with it.
func TestUnconfirmedOwnerGetsNoNewJob(t *testing.T) {
	f := newFakePeers([]work.Outcome{{Result: work.Unknown}}, []work.Outcome{{Result: work.Completed}})
	for incarnation, ago := range map[uint64]time.Duration{1: unconfirmedAfter + 10*ms, 2: 0} {
		view := f.views[incarnation]
		view.LastHeard = bootclock.Now() + time.Hour
		if ago > 0 {
			view.LastHeard = bootclock.Now() - ago
		}
		f.views[incarnation] = view
	}
	must.Eq(t, work.Completed, newEntry(f).Dispatch(t.Context(), job, queue, 0).Result)
	must.Eq(t, []string{"far"}, f.asked)
}

func TestSilentOwnersAreNotAsked(t *testing.T) {
	f := newFakePeers([]work.Outcome{{Result: work.Completed}}, []work.Outcome{{Result: work.Completed}})
	silent, end := context.WithCancel(t.Context())
	end()
	near := f.views[1]
	near.Alive = silent
	f.views[1] = near
	must.Eq(t, work.Completed, newEntry(f).Dispatch(t.Context(), job, queue, 0).Result)
	must.Eq(t, []string{"far"}, f.asked)
}

// Owners in cordoned failure domains are not asked. If all are cordoned, the caller is refused at
// once with a retry delay. If an owner refuses because it knows of its cordon before the entry
// does, another owner is asked at once.
func TestCordonedDomainsAreNotAsked(t *testing.T) {
	done, cordoned := work.Outcome{Result: work.Completed}, work.Outcome{Result: work.Refused, RetryAfter: time.Second}
	for name, test := range map[string]struct {
		cordoned []string
		near     work.Outcome
		asked    []string
		result   work.Result
	}{
		"none":                    {nil, done, []string{"near"}, work.Completed},
		"near":                    {[]string{"near"}, done, []string{"far"}, work.Completed},
		"all":                     {[]string{"near", "far"}, done, nil, work.Refused},
		"the owner refuses first": {nil, cordoned, []string{"near", "far"}, work.Completed},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakePeers([]work.Outcome{test.near}, []work.Outcome{done})
			e := newEntry(f)
			e.options.IsCordoned = func(domain string) bool { return slices.Contains(test.cordoned, domain) }
			outcome := e.Dispatch(t.Context(), job, queue, 0)
			must.Eq(t, test.result, outcome.Result)
			must.Eq(t, test.asked, f.asked)
			if outcome.Result == work.Refused {
				must.Eq(t, cordonedRetryAfter, outcome.RetryAfter)
				must.Eq(t, "every failure domain is cordoned", outcome.Reason)
			}
		})
	}
}

// A job that an owner handed back and that goes to an owner again is logged with both; after a
// refusal it is only counted.
func TestJobHandedAgainIsLogged(t *testing.T) {
	for result, wantLines := range map[work.Result]int{work.Moved: 1, work.Refused: 0} {
		f := newFakePeers([]work.Outcome{{Result: result, Reason: "why", RetryAfter: time.Second}, {Result: work.Completed}}, []work.Outcome{{Result: work.Completed}})
		e := newEntry(f)
		counts := map[string]int{}
		e.options.Count = func(what, label string) { counts[what+" "+label]++ }
		var lines bytes.Buffer
		e.options.Log = slog.New(slog.NewJSONHandler(&lines, nil))
		must.Eq(t, work.Completed, e.Dispatch(t.Context(), job, queue, 0).Result)
		must.Eq(t, 1, counts["handed_again "+result.String()])
		must.Eq(t, wantLines, bytes.Count(lines.Bytes(), []byte("\n")))
		if wantLines == 0 {
			continue
		}
		var line struct{ Msg, Job, Group, Before, Result, Reason string }
		must.NoError(t, json.Unmarshal(lines.Bytes(), &line))
		must.Eq(t, "job handed to an owner again j near near moved why",
			strings.Join([]string{line.Msg, line.Job, line.Group, line.Before, line.Result, line.Reason}, " "))
	}
}

// A return time says when to come again, not how long the owner's queue is: a job is not offered to
// owners whose wait is longer than the one that was forecast.
func TestReturnTimeIsNotTakenForWait(t *testing.T) {
	for wait, asked := range map[time.Duration][]string{ms / 10: {"near"}, time.Second: {"near", "far"}} {
		refused := []work.Outcome{{Result: work.Refused, RetryAfter: 5 * time.Second, ForecastWait: wait}}
		f := newFakePeers(refused, refused)
		must.Eq(t, 5*time.Second, newEntry(f).Dispatch(t.Context(), job, queue, 0).RetryAfter)
		must.Eq(t, asked, f.asked)
	}
}
