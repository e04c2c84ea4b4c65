package submission

import (
	"context"
	"encoding/json"
	"math"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/peer/peerpb"
	"github.com/shoenig/test/must"
)

var background = context.Background()

// mustFail checks the kind and the run state of an outcome, in its body as well.
func mustFail(t *testing.T, o *Outcome, kind api.Kind, run api.RunState) {
	t.Helper()
	must.NotNil(t, o)
	var body api.FailureBody
	must.NoError(t, json.Unmarshal(o.Body, &body))
	must.Eq(t, kind, body.Error.Kind)
	must.Eq(t, run, body.Error.Run)
	must.Eq(t, kind, o.Kind)
	must.Eq(t, StatusOf(kind), o.Status)
}

func TestOldestAnswersAreDroppedBeyondBudget(t *testing.T) {
	inBubble(t, func() {
		w := newCluster(2, 2*(outcomeAt+indexBytes)+200)
		w.runMS = 100
		for _, unique := range []string{"k0", "k1", "k2", "k3"} {
			must.Eq(t, 200, w.vms[0].service.Submit(background, newSubmission(unique, "p")).Status)
		}
		kept, dropped := w.vms[0].service.KeptAnswers()
		must.Eq(t, 2, dropped)
		must.Positive(t, kept)
		must.Eq(t, 0, w.vms[0].service.Unfinished())
		for _, v := range w.vms {
			mustFail(t, v.service.Submit(background, newSubmission("k0", "p")), api.KindAnswerExpired, api.Completed)
			for _, ask := range []Ask{AskAnswer, AskState, AskCancel} {
				mustFail(t, v.service.Ask(background, keyOf("k0"), ask).Outcome, api.KindAnswerExpired, api.Completed)
			}
			must.Eq(t, 200, v.service.Ask(background, keyOf("k3"), AskState).Outcome.Status)
		}
		must.Eq(t, 1, w.keys["a.e.k0"].submits)
	})
}

// A caller waits at another VM for a submission that does not end.
func TestWaitForAnotherVMIsBounded(t *testing.T) {
	inBubble(t, func() {
		w := newCluster(2, 1<<20)
		must.Nil(t, w.vms[0].service.Start(newSubmission("k", "p")))
		time.Sleep(time.Second)
		c := &caller{sub: newSubmission("k", "p"), vm: 1, ask: askSubmit}
		c.call(w)
		mustFail(t, c.reply.Outcome, api.KindUnavailable, api.OutcomeUnknown)
		must.StrContains(t, string(c.reply.Outcome.Body), "still running")
		must.Between(t, joinTimeout, c.end.Sub(c.begin), joinTimeout+waitTimeout)
		mustFail(t, w.vms[1].service.Ask(background, keyOf("k"), AskCancel).Outcome, api.KindCancelled, api.Failed)
	})
}

// Submissions are cancelled while no dispatcher has them yet.
func TestCancelDuringClaimEndsSubmission(t *testing.T) {
	inBubble(t, func() {
		w := newCluster(1, 1<<20)
		s := w.vms[0].service
		for i := range 10 {
			k := keyOf(strconv.Itoa(i))
			crossing := &caller{sub: newSubmission(k.Unique, "p"), ask: AskState}
			crossed := make(chan struct{})
			go func() {
				crossing.call(w)
				close(crossed)
			}()
			synctest.Wait()
			must.Nil(t, s.Start(newSubmission(k.Unique, "p")))
			if i%2 == 0 {
				mustFail(t, s.Ask(background, k, AskCancel).Outcome, api.KindCancelled, api.Failed)
				mustFail(t, s.Start(newSubmission(k.Unique, "q")), api.KindKeyConflict, api.OutcomeUnknown)
			} else {
				r := s.ServeWait(background, &peerpb.WaitRequest{Key: k.String(), Cancel: true, WaitMs: 2000})
				must.Eq(t, int32(StatusOf(api.KindCancelled)), r.GetStatus())
			}
			<-crossed
			if o := crossing.reply.Outcome; o != nil {
				must.NotEq(t, api.KindAnswerExpired, o.Kind)
			}
		}
	})
}

func TestHangingClaimAndLookupTimeOut(t *testing.T) {
	inBubble(t, func() {
		w := newCluster(1, 1<<20)
		w.claimsHang = true
		begin := time.Now()
		mustFail(t, w.vms[0].service.Submit(background, newSubmission("k", "p")), api.KindUnavailable, api.OutcomeUnknown)
		mustFail(t, w.vms[0].service.Ask(background, keyOf("k"), AskState).Outcome, api.KindUnavailable, api.OutcomeUnknown)
		must.Eq(t, 2*time.Second, time.Since(begin))
	})
}

func TestAbandonEndsWaits(t *testing.T) {
	inBubble(t, func() {
		w := newCluster(2, 1<<20)
		must.Nil(t, w.vms[0].service.Start(newSubmission("k", "p")))
		time.Sleep(time.Second)
		c := &caller{sub: newSubmission("k", "p"), vm: 1, ask: askSubmit}
		go c.call(w)
		time.Sleep(time.Second)
		must.Eq(t, "waiting for another VM", w.vms[1].service.State("a.e.k"))
		other := &peerpb.WaitRequest{Key: "a.e.k", Fingerprint: 7, WaitMs: 1}
		must.False(t, w.vms[1].service.ServeWait(background, other).GetDone())
		w.vms[1].service.Abandon()
		synctest.Wait()
		mustFail(t, c.reply.Outcome, api.KindUnavailable, api.OutcomeUnknown)
		must.Eq(t, 0, w.vms[1].service.Unfinished())
		must.Nil(t, w.vms[0].service.Ask(background, keyOf("k"), AskState).Outcome)
		w.vms[0].service.Ask(background, keyOf("k"), AskCancel)
	})
}

func TestForeignAndUnknownKeysAreRefused(t *testing.T) {
	w := newCluster(1, 1<<20)
	s := w.vms[0].service
	mustFail(t, s.AskForeign(background, keyOf("k")), api.KindWrongDomain, api.OutcomeUnknown)
	mustFail(t, s.Ask(background, keyOf("k"), AskState).Outcome, api.KindNotFound, api.OutcomeUnknown)
	must.False(t, s.ServeWait(background, &peerpb.WaitRequest{Key: "a.e.k"}).GetKnown())
	must.False(t, s.ServeWait(background, &peerpb.WaitRequest{Key: "no key"}).GetKnown())
}

func TestFingerprintDependsOnProfileAndPayloads(t *testing.T) {
	seen := map[uint64]bool{}
	for _, text := range []string{"p 1 2", "p 2 1", "p 12", "p 1 2 2", "p1 2", "q 1 2"} {
		parts := strings.Fields(text)
		r := &api.Submission{Profile: parts[0]}
		for _, payload := range parts[1:] {
			r.Tasks = append(r.Tasks, api.Task{Payload: []byte(payload)})
		}
		seen[fingerprint(r)] = true
		must.Eq(t, fingerprint(r), fingerprint(r))
	}
	must.MapLen(t, 6, seen)
}

func TestTimesAreBounded(t *testing.T) {
	s := New(&api.Submission{DeadlineMS: math.MaxInt64, Tasks: []api.Task{{ExpectedMS: math.MaxInt64}}}, keyOf("k"))
	must.Eq(t, 24*time.Hour, s.Deadline)
	must.Eq(t, maxMS, s.Tasks[0].ExpectedMS)
}

func TestEventsAreBounded(t *testing.T) {
	x := newExplanations(2)
	for i := range 4 {
		for range maxEvents + 1 {
			x.add(strconv.Itoa(i), "event")
		}
	}
	must.SliceEmpty(t, x.get("1").Events)
	must.Len(t, maxEvents, x.get("2").Events)
	must.Eq(t, 1, x.get("2").Dropped)
	must.MapLen(t, 2, x.byKey)
}

func TestEndEventIsKeptAfterManyStarts(t *testing.T) {
	x := newExplanations(2)
	x.setProfile("k", "p")
	for task := range 2 * maxEvents {
		x.addEvent("k", Event{Text: "started", Task: task, Target: "t1"})
	}
	x.add("k", "answered whole")
	e := x.get("k")
	must.Eq(t, "p", e.Profile)
	must.Len(t, maxEvents, e.Events)
	must.Eq(t, maxEvents-2, e.Events[maxEvents-2].Task)
	must.Eq(t, "answered whole", e.Events[maxEvents-1].Text)
	must.Eq(t, maxEvents+1, e.Dropped)
}

// The statuses are compared with the table in docs/API.md.
func TestStatusesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/API.md")
	must.NoError(t, err)
	rows := regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| (\\d{3}) \\|").FindAllStringSubmatch(string(page), -1)
	must.Len(t, len(statuses), rows)
	for _, row := range rows {
		must.Eq(t, row[2], strconv.Itoa(StatusOf(api.Kind(row[1]))), must.Sprint(row[1]))
	}
}
