package target

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	client "github.com/burdockward/burdockward/targetclient"
	"github.com/shoenig/test/must"
)

// reply is the answer to one call; cut is true when the target broke the connection.
type reply struct {
	startBody
	status  int
	cut     bool
	elapsed time.Duration
}

// call passes one request to the handler, in the caller's goroutine.
func call(t *testing.T, s *Server, path string, message any) (got reply, body []byte) {
	t.Helper()
	text, err := json.Marshal(message)
	must.NoError(t, err)
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, bytes.NewReader(text))
	recorder := httptest.NewRecorder()
	began := time.Now()
	defer func() {
		got.elapsed = time.Since(began)
		if cause := recover(); cause != nil {
			must.Eq[any](t, http.ErrAbortHandler, cause)
			got.cut = true
		}
	}()
	s.ServeHTTP(recorder, request)
	got.status = recorder.Code
	_ = json.Unmarshal(recorder.Body.Bytes(), &got.startBody)
	return got, recorder.Body.Bytes()
}

func takeLease(t *testing.T, s *Server, holder string) string {
	t.Helper()
	got, body := call(t, s, client.PathLeases, leaseRequest{Holder: holder})
	must.Eq(t, http.StatusOK, got.status)
	var lease client.Lease
	must.NoError(t, json.Unmarshal(body, &lease))
	return lease.ID
}

func startTask(t *testing.T, s *Server, lease string, task int, payload Payload, limit int64) reply {
	t.Helper()
	text, err := json.Marshal(payload)
	must.NoError(t, err)
	got, _ := call(t, s, client.PathTasks, client.StartRequest{Submission: "k", Task: task, Lease: lease, RunLimitMS: limit, Limits: []string{"profile/p"}, Payload: text})
	return got
}

// goStart starts a task in a goroutine and returns once that goroutine blocks.
func goStart(t *testing.T, s *Server, lease string, task int, payload Payload) <-chan reply {
	done := make(chan reply, 1)
	go func() { done <- startTask(t, s, lease, task, payload, 0) }()
	synctest.Wait()
	return done
}

// bubble runs a test on a target with fake time and a lease of vm/1.
func bubble(t *testing.T, options Options, test func(t *testing.T, s *Server, lease string)) {
	synctest.Test(t, func(t *testing.T) {
		s := New(options)
		test(t, s, takeLease(t, s, "vm/1"))
		s.Close()
	})
}

func TestTaskRunsAndAnswers(t *testing.T) {
	bubble(t, Options{Slots: 3}, func(t *testing.T, s *Server, lease string) {
		got := startTask(t, s, lease, 2, Payload{RunMS: 120, Result: json.RawMessage(`{"a":1}`)}, 0)
		must.Eq(t, 120*time.Millisecond, got.elapsed)
		must.Eq(t, startBody{Submission: "k", Task: 2, Outcome: client.OutcomeDone, Result: json.RawMessage(`{"a":1}`), Load: client.Load{Slots: 3}}, got.startBody)
		got = startTask(t, s, lease, 3, Payload{RunMS: 5, Fail: true}, 0)
		must.Eq(t, client.OutcomeFailed, got.Outcome)
		got = startTask(t, s, lease, 4, Payload{RunMS: 500}, 100)
		must.Eq(t, errorRunLimit, got.Error)
		must.Eq(t, 100*time.Millisecond, got.elapsed)
		must.Eq(t, 3, s.Log().Summary().Total)
	})
}

func TestLeaseLapsesUnlessStartsRenewIt(t *testing.T) {
	bubble(t, Options{TTL: time.Second}, func(t *testing.T, s *Server, lease string) {
		for range 3 {
			time.Sleep(900 * time.Millisecond)
			must.Eq(t, client.OutcomeDone, startTask(t, s, lease, 0, Payload{}, 0).Outcome)
		}
		must.Eq(t, lease, takeLease(t, s, "vm/1"))
		must.NotEq(t, lease, takeLease(t, s, "vm/2"))
		time.Sleep(time.Second)
		got := startTask(t, s, lease, 0, Payload{}, 0)
		must.Eq(t, http.StatusConflict, got.status)
		must.Eq(t, string(client.ReasonLeaseLapsed), got.Reason)
		must.NotEq(t, lease, takeLease(t, s, "vm/1"))
	})
}

func TestFullTargetRefuses(t *testing.T) {
	bubble(t, Options{Slots: 1}, func(t *testing.T, s *Server, lease string) {
		first := goStart(t, s, lease, 0, Payload{RunMS: 50})
		got := startTask(t, s, lease, 1, Payload{}, 0)
		must.Eq(t, string(client.ReasonFull), got.Reason)
		must.Eq(t, client.Load{Running: 1, Slots: 1}, got.Load)
		must.Eq(t, client.OutcomeDone, (<-first).Outcome)
		must.Eq(t, map[string]uint64{"full": 1}, s.Stats().Refused)
	})
}

func TestLeavingTargetRefusesAndLogsStarts(t *testing.T) {
	var calls []bool
	options := Options{OnLeaving: func(leaving bool) { calls = append(calls, leaving) }}
	bubble(t, options, func(t *testing.T, s *Server, lease string) {
		s.SetFaults(Faults{Leaving: true})
		time.Sleep(2 * time.Second)
		got := startTask(t, s, lease, 0, Payload{}, 0)
		must.Eq(t, string(client.ReasonLeaving), got.Reason)
		must.True(t, got.Leaving)
		refused, _ := call(t, s, client.PathLeases, leaseRequest{Holder: "vm/2"})
		must.Eq(t, http.StatusConflict, refused.status)
		s.SetFaults(Faults{LeavingSilent: true})
		time.Sleep(time.Second)
		must.Eq(t, client.OutcomeDone, startTask(t, s, lease, 0, Payload{}, 0).Outcome)
		s.SetFaults(Faults{})
		must.Eq(t, []bool{true, false}, calls)
		must.Eq(t, AfterLeaving{Accepted: 1, Refused: 1, MaxAgeMS: 3000, AgesMS: []int64{2000, 3000}}, s.Log().Summary().AfterLeaving)
	})
}

func TestStopEndsTasks(t *testing.T) {
	bubble(t, Options{}, func(t *testing.T, s *Server, lease string) {
		stopped := goStart(t, s, lease, 0, Payload{RunMS: 1000})
		kept := goStart(t, s, lease, 1, Payload{RunMS: 1000})
		request := stopRequest{Tasks: []client.TaskID{{Submission: "k", Task: 0}, {Submission: "k", Task: 9}}, Checkpoint: true}
		_, body := call(t, s, client.PathStop, request)
		must.EqJSON(t, `{"stopped":1}`, string(body))
		got := <-stopped
		must.Eq(t, client.OutcomeStopped, got.Outcome)
		must.Eq(t, 0, got.elapsed)
		must.Eq(t, client.OutcomeDone, (<-kept).Outcome)
		must.Eq(t, uint64(1), s.Stats().Checkpoints)
	})
}

func TestSummaryListsDuplicateStarts(t *testing.T) {
	bubble(t, Options{ID: "t1"}, func(t *testing.T, s *Server, lease string) {
		startTask(t, s, lease, 0, Payload{}, 0)
		startTask(t, s, lease, 1, Payload{}, 0)
		must.Eq(t, 0, s.Log().Summary().DuplicateTasks)
		other := New(Options{ID: "t2", Log: s.Log()})
		startTask(t, other, takeLease(t, other, "vm/2"), 1, Payload{}, 0)
		summary := s.Log().Summary()
		must.Eq(t, 1, summary.DuplicateTasks)
		must.Eq(t, 1, summary.Duplicates[0].Task)
		must.Eq(t, "t1", summary.Duplicates[0].Starts[0].Target)
		must.Eq(t, "vm/2", summary.Duplicates[0].Starts[1].Holder)
		must.Len(t, 3, s.Log().Starts())
	})
}

func TestMaxRunningByLabel(t *testing.T) {
	bubble(t, Options{}, func(t *testing.T, s *Server, lease string) {
		one := goStart(t, s, lease, 0, Payload{RunMS: 10, Label: "a"})
		two := goStart(t, s, lease, 1, Payload{RunMS: 10, Label: "a"})
		<-one
		<-two
		startTask(t, s, lease, 2, Payload{Label: "a"}, 0)
		summary := s.Log().Summary()
		must.Eq(t, 2, summary.MaxRunning)
		must.Eq(t, map[string]int{"a": 2}, summary.MaxRunningByLabel)
		must.Eq(t, 0, s.Stats().Running)
	})
}
