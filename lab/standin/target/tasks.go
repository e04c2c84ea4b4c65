package target

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	client "github.com/burdockward/burdockward/targetclient"
)

// Payload is the payload of a task of the stand-in: how long it runs and how it ends.
type Payload struct {
	// RunMS is how long the task sleeps, in milliseconds.
	RunMS float64 `json:"run_ms"`
	// Result is the result of the task; empty is null.
	Result json.RawMessage `json:"result,omitempty"`
	// Fail makes the task fail at its end.
	Fail bool `json:"fail,omitempty"`
	// Label groups tasks, such as those of a profile: the log counts running tasks by label.
	Label string `json:"label,omitempty"`
}

// Error texts of failed tasks.
const (
	errorMalformed = "payload is malformed"
	errorFailed    = "task failed as its payload asked"
	errorFailAll   = "target fails all tasks"
	errorRunLimit  = "run limit reached"
)

// run is one running task.
type run struct {
	id    client.TaskID
	label string
	// holder is the holder of the lease under which the task was started.
	holder string
	// limits holds the limits that the start request named.
	limits []string
	// time is how long the task runs, and final how it ends, unless it is stopped before.
	time  time.Duration
	final ending
	// stop receives at most one ending, from a stop request or a restart.
	stop chan ending
}

// ending is how a task ends. The zero value means that the task's process restarted.
type ending struct {
	outcome client.Outcome
	result  json.RawMessage
	err     string
}

type startBody struct {
	Submission string          `json:"submission"`
	Task       int             `json:"task"`
	Outcome    client.Outcome  `json:"outcome"`
	Reason     string          `json:"reason,omitempty"`
	Result     json.RawMessage `json:"result,omitempty"`
	Error      string          `json:"error,omitempty"`
	client.Load
}

const outcomeNotStarted client.Outcome = "not_started"

func (s *Server) postTask(w http.ResponseWriter, r *http.Request) {
	var request client.StartRequest
	if !readJSON(w, r, &request) {
		return
	}
	begun, refusal, faults := s.begin(request)
	switch {
	case refusal != nil:
		writeJSON(w, http.StatusConflict, refusal)
	case faults.DropAfterStart:
		go s.await(begun)
		panic(http.ErrAbortHandler)
	case faults.BlackHole:
		s.runWithoutAnswer(begun, r)
	default:
		s.answer(w, begun)
	}
}

// answer waits for the end of the task and writes its outcome. It breaks the connection when the
// process has restarted.
func (s *Server) answer(w http.ResponseWriter, begun *run) {
	end, load := s.await(begun)
	if end.outcome == "" {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, startBody{
		Submission: begun.id.Submission,
		Task:       begun.id.Task,
		Outcome:    end.outcome,
		Result:     end.result,
		Error:      end.err,
		Load:       load,
	})
}

// runWithoutAnswer waits for the end of the task, and holds the connection until the caller
// disconnects or the target restarts.
func (s *Server) runWithoutAnswer(begun *run, r *http.Request) {
	s.mu.Lock()
	ended := s.ended
	s.mu.Unlock()
	s.await(begun)
	select {
	case <-r.Context().Done():
	case <-ended:
	}
	panic(http.ErrAbortHandler)
}

// begin starts a task and renews its lease, or returns the refusal. It also returns the faults that
// hold for the request.
func (s *Server) begin(request client.StartRequest) (*run, *startBody, Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.StartRequests++
	now := time.Now()
	if reason := s.refusal(request, now); reason != "" {
		return nil, s.refuse(request, reason, now), s.faults
	}
	held := s.leases[request.Lease]
	held.expires = now.Add(s.options.TTL)
	begun := newRun(request, s.faults)
	begun.holder = held.holder
	s.running[begun] = struct{}{}
	s.stats.Starts++
	s.stats.MaxRunning = max(s.stats.MaxRunning, len(s.running))
	s.options.Log.addStart(begun.label, start{
		id:     begun.id,
		target: s.options.ID,
		holder: held.holder,
		at:     now,
		age:    s.leavingAge(now),
	})
	return begun, nil, s.faults
}

// refusal returns the reason to refuse a start, or "" when the task can start; it needs mu.
func (s *Server) refusal(request client.StartRequest, now time.Time) string {
	if s.faults.Leaving {
		return string(client.ReasonLeaving)
	}
	if s.faults.Refuse != "" {
		return s.faults.Refuse
	}
	held := s.leases[request.Lease]
	if held == nil || !now.Before(held.expires) {
		return string(client.ReasonLeaseLapsed)
	}
	if len(s.running) >= s.options.Slots {
		return string(client.ReasonFull)
	}
	return ""
}

// refuse counts a refused start and returns the body of its answer; it needs mu.
func (s *Server) refuse(request client.StartRequest, reason string, now time.Time) *startBody {
	s.stats.Refused[reason]++
	s.options.Log.addRefused(s.leavingAge(now))
	return &startBody{
		Submission: request.Submission,
		Task:       request.Task,
		Outcome:    outcomeNotStarted,
		Reason:     reason,
		Load:       s.load(),
	}
}

// leavingAge returns how long the target has been leaving, or notLeaving; it needs mu.
func (s *Server) leavingAge(now time.Time) time.Duration {
	if !s.faults.isLeaving() {
		return notLeaving
	}
	return now.Sub(s.leavingSince)
}

// newRun returns the run of a start request, bounded by the request's run limit.
func newRun(request client.StartRequest, faults Faults) *run {
	r := &run{
		id:     client.TaskID{Submission: request.Submission, Task: request.Task},
		limits: request.Limits,
		stop:   make(chan ending, 1),
	}
	var payload Payload
	if err := json.Unmarshal(request.Payload, &payload); err != nil {
		r.final = failed(errorMalformed)
		return r
	}
	r.label = payload.Label
	r.time, r.final = plan(payload, faults)
	limit := milliseconds(float64(request.RunLimitMS))
	if limit > 0 && r.time > limit {
		r.time, r.final = limit, failed(errorRunLimit)
	}
	return r
}

// plan returns how long a task runs and how it ends, under the faults.
func plan(payload Payload, faults Faults) (time.Duration, ending) {
	if faults.FailAll {
		return 0, failed(errorFailAll)
	}
	runTime := milliseconds(payload.RunMS)
	if faults.SlowFactor > 0 {
		runTime = time.Duration(float64(runTime) * faults.SlowFactor)
	}
	if payload.Fail {
		return runTime, failed(errorFailed)
	}
	result := payload.Result
	if result == nil {
		result = json.RawMessage("null")
	}
	return runTime, ending{outcome: client.OutcomeDone, result: result}
}

func failed(text string) ending { return ending{outcome: client.OutcomeFailed, err: text} }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// await waits until the task has ended and the target is not frozen, and returns the ending. It
// returns the zero ending when the process restarted meanwhile.
func (s *Server) await(r *run) (ending, client.Load) {
	timer := time.NewTimer(r.time)
	defer timer.Stop()
	end := r.final
	select {
	case <-timer.C:
	case end = <-r.stop:
	}
	s.waitThawed()
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.running[r]; !ok {
		return ending{}, s.load()
	}
	delete(s.running, r)
	s.options.Log.addEnd(r.label)
	return end, s.load()
}

// end removes a task when its process restarts; it needs mu.
func (s *Server) end(r *run) {
	delete(s.running, r)
	s.options.Log.addEnd(r.label)
	r.sendStop(ending{})
}

// sendStop stops the task with this ending. It returns false when the task was stopped before.
func (r *run) sendStop(e ending) bool {
	select {
	case r.stop <- e:
		return true
	default:
		return false
	}
}

type stopRequest struct {
	Tasks      []client.TaskID `json:"tasks"`
	Checkpoint bool            `json:"checkpoint"`
}

type stopAnswer struct {
	Stopped int `json:"stopped"`
}

func (s *Server) postStop(w http.ResponseWriter, r *http.Request) {
	var request stopRequest
	if !readJSON(w, r, &request) {
		return
	}
	writeJSON(w, http.StatusOK, stopAnswer{Stopped: s.stopTasks(request)})
}

// stopTasks stops the running tasks that the request names, and returns how many it stopped.
func (s *Server) stopTasks(request stopRequest) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.StopRequests++
	stopped := 0
	for r := range s.running {
		if !slices.Contains(request.Tasks, r.id) {
			continue
		}
		if r.sendStop(ending{outcome: client.OutcomeStopped}) {
			stopped++
		}
	}
	s.stats.Stopped += uint64(stopped)
	if request.Checkpoint {
		s.stats.Checkpoints += uint64(stopped)
	}
	return stopped
}
