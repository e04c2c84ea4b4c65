package dispatch

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/burdockward/burdockward/admission"
	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/profile"
	"github.com/burdockward/burdockward/submission"
	"github.com/burdockward/burdockward/targetclient"
)

// event is a change from outside that the duty's goroutine applies to its state.
type event interface {
	apply(d *Duty)
}

// submitEvent adds a submission whose key was granted to this VM.
type submitEvent struct {
	sub  *submission.Submission
	done func(*submission.Outcome)
	at   time.Duration
}

func (e *submitEvent) apply(d *Duty) {
	now := d.now()
	id := e.sub.KeyText
	if failure := d.admit(e, now); failure != nil {
		failure.Key = id
		d.logEvent(id, "refused", failure.Message)
		d.countRefusal(e.sub.Profile, failure.Kind)
		e.done(submission.Refused(failure))
		return
	}
	d.jobs[id] = &job{
		sub:      e.sub,
		done:     e.done,
		results:  make([]json.RawMessage, len(e.sub.Tasks)),
		inflight: map[int]*inflightTask{},
	}
	d.logEvent(id, "admitted", "")
}

// logEvent records a decision about a submission as a whole.
func (d *Duty) logEvent(id, text, reason string) {
	d.options.LogEvent(id, submission.Event{Text: text, Reason: reason, Task: submission.NoTask})
}

// admit passes a submission to admission unless the VM has too many already. It
// returns the failure with which it is refused, or nil.
func (d *Duty) admit(e *submitEvent, now time.Duration) *api.Failure {
	if len(d.jobs) >= d.options.Submissions {
		return &api.Failure{
			Kind:         api.KindOverloaded,
			Message:      fmt.Sprintf("this VM holds %d submissions, which is its limit: submit again under a new key", len(d.jobs)),
			Run:          api.NotRun,
			RetryAfterMS: time.Second.Milliseconds(),
		}
	}
	slots, share := d.options.Placer.Slots(now)
	request := admission.Submission{
		ID:      admission.ID(e.sub.KeyText),
		Profile: e.sub.Profile,
		Tasks:   expected(e.sub.Tasks),
	}
	if e.sub.Deadline > 0 {
		request.DeadlineAt = e.at + e.sub.Deadline
	}
	return d.options.Admission.Admit(now, request, admission.Capacity{Slots: slots, Share: share})
}

// expected returns the declared run times of the tasks.
func expected(tasks []api.Task) []time.Duration {
	times := make([]time.Duration, len(tasks))
	for i, t := range tasks {
		times[i] = time.Duration(t.ExpectedMS) * time.Millisecond
	}
	return times
}

// countRefusal counts a refusal in the metrics and for Status.
func (d *Duty) countRefusal(profileName string, kind api.Kind) {
	tags := map[string]string{"kind": string(kind)}
	d.metrics.scope.Tagged(tags).Counter("submissions_refused").Inc(1)
	if d.refused[profileName] == nil {
		if len(d.refused) >= maxRefusedProfiles {
			return
		}
		d.refused[profileName] = map[string]uint64{}
	}
	d.refused[profileName][string(kind)]++
}

// maxRefusedProfiles bounds the profiles whose refusals are counted separately,
// since callers choose the names.
const maxRefusedProfiles = 1000

// leaseEvent reports the validity time of a target's lease.
type leaseEvent struct{ ttl time.Duration }

func (e *leaseEvent) apply(d *Duty) {
	if shared, ok := d.options.Placer.(*Shared); ok {
		shared.recordTargetLease(e.ttl)
	}
}

// endedEvent reports how a start ended.
type endedEvent struct {
	task    *inflightTask
	result  Result
	reason  targetclient.Reason
	value   json.RawMessage
	err     error
	runTime time.Duration
	load    *targetclient.Load
}

func (e *endedEvent) apply(d *Duty) {
	now := d.now()
	f := e.task
	d.running--
	d.giveUnits(now, e)
	d.options.Placer.End(now, End{
		Target:     f.target,
		Submission: string(f.ref.ID),
		Profile:    f.profile,
		RunTime:    e.runTime,
		Result:     e.result,
		Reason:     e.reason,
		Load:       e.load,
	})
	d.endTask(now, e)
	j := f.job
	delete(j.inflight, f.ref.Task)
	if d.jobs[j.sub.KeyText] != j {
		d.metrics.late.Inc(1)
		return
	}
	d.applyEnd(j, e)
}

// endTask reports to admission how the start of a task ended.
func (d *Duty) endTask(now time.Duration, e *endedEvent) {
	ref := e.task.ref
	switch e.result {
	case ResultNotStarted, ResultUnreachable:
		d.metrics.notStarted.Inc(1)
		d.options.Admission.Requeue(ref)
	case ResultDone:
		d.options.Admission.RecordEnd(now, ref, e.runTime, admission.OutcomeDone)
	case ResultStopped:
		d.options.Admission.RecordEnd(now, ref, e.runTime, admission.OutcomeStopped)
	case ResultUnknown:
		d.options.Admission.RecordEnd(now, ref, e.runTime, admission.OutcomeLost)
	default:
		d.options.Admission.RecordEnd(now, ref, e.runTime, admission.OutcomeFailed)
	}
}

// applyEnd applies the end of a start to its job: it stores the result, and answers
// or fails the job.
func (d *Duty) applyEnd(j *job, e *endedEvent) {
	ref := e.task.ref
	switch e.result {
	case ResultDone:
		j.results[ref.Task] = e.value
		j.finished++
		if j.finished == len(j.results) {
			d.answer(j)
		}
	case ResultNotStarted, ResultUnreachable:
		d.options.LogEvent(j.sub.KeyText, submission.Event{
			Text:   "could not start",
			Task:   ref.Task,
			Target: e.task.target,
			Reason: string(e.reason),
		})
	case ResultUnknown:
		d.fail(j, targetLossFailure(j, ref.Task, e))
	default:
		d.fail(j, taskFailure(j, ref.Task, e))
	}
}

// answer ends a job that has all its results.
func (d *Duty) answer(j *job) {
	id := j.sub.KeyText
	delete(d.jobs, id)
	d.options.Admission.Remove(d.now(), admission.ID(id))
	d.metrics.answered.Inc(1)
	j.done(submission.Answered(id, j.results))
}

// fail ends a job at once with a failure. Its waiting tasks are dropped and its
// running ones are stopped.
func (d *Duty) fail(j *job, f *api.Failure) {
	id := j.sub.KeyText
	delete(d.jobs, id)
	d.options.Admission.Remove(d.now(), admission.ID(id))
	for _, fl := range j.inflight {
		if fl.stopping {
			continue
		}
		d.stopper.stop(fl.target, targetclient.TaskID{Submission: id, Task: fl.ref.Task}, false)
	}
	f.Key = id
	d.logEvent(id, string(f.Kind), f.Message)
	tags := map[string]string{"kind": string(f.Kind)}
	d.metrics.scope.Tagged(tags).Counter("submissions_failed").Inc(1)
	j.done(submission.Refused(f))
}

// failGivenUp fails a job that admission has given up.
func (d *Duty) failGivenUp(g admission.GivenUp) {
	j := d.jobs[string(g.ID)]
	if j == nil {
		return
	}
	f := *g.Failure
	d.fail(j, &f)
}

// handleStraggler fails the job of a straggler, unless its profile lets stragglers
// run. The task is stopped, with a checkpoint if the profile asks for one.
func (d *Duty) handleStraggler(s admission.Straggler) {
	j := d.jobs[string(s.ID)]
	if j == nil || s.Action == profile.StragglerWait {
		return
	}
	if s.Action == profile.StragglerCheckpoint {
		if fl := j.inflight[s.Task]; fl != nil {
			fl.stopping = true
			d.stopper.stop(fl.target, targetclient.TaskID{Submission: string(s.ID), Task: s.Task}, true)
		}
	}
	d.fail(j, &api.Failure{
		Kind:    api.KindTaskFailed,
		Message: fmt.Sprintf("task %d ran far longer than others of its profile and was stopped, as the profile asks: check the task, or ask the operators for another straggler treatment", s.Task),
		Run:     api.Failed,
	})
}

// taskFailure returns the failure of a job of which a task failed or was stopped.
func taskFailure(j *job, task int, e *endedEvent) *api.Failure {
	text := "stopped by the target"
	if e.err != nil {
		text = e.err.Error()
	}
	return &api.Failure{
		Kind:    api.KindTaskFailed,
		Message: fmt.Sprintf("task %d failed at target %s: %.300s: %s", task, e.task.target, text, retryAdvice(j)),
		Run:     api.Failed,
	}
}

// targetLossFailure returns the failure of a job of which a task may or may not have
// run.
func targetLossFailure(j *job, task int, e *endedEvent) *api.Failure {
	return &api.Failure{
		Kind:    api.KindTargetLost,
		Message: fmt.Sprintf("target %s was lost while task %d may have run there: %s", e.task.target, task, retryAdvice(j)),
		Run:     api.OutcomeUnknown,
	}
}

// retryAdvice says what the caller can do after tasks were started.
func retryAdvice(j *job) string {
	if j.sub.Idempotent {
		return "the work is idempotent, submit it again under a new key"
	}
	return "check the work's effect before you submit it under a new key"
}

// EndAll fails every unfinished submission at once, for a planned stop whose time
// is over.
func (d *Duty) EndAll() {
	d.DoWait(func(time.Duration) {
		for _, j := range d.jobs {
			f := &api.Failure{Kind: api.KindDraining, Message: "this VM stopped before the submission ended: " + retryAdvice(j), Run: api.Failed}
			if !j.begun {
				f.Run = api.NotRun
				f.Message = "this VM stopped before any task was started: submit again under a new key"
			}
			d.fail(j, f)
		}
	})
}

// cancelEvent ends a submission that its caller cancelled.
type cancelEvent struct{ id string }

func (e *cancelEvent) apply(d *Duty) {
	j := d.jobs[e.id]
	if j == nil {
		return
	}
	f := &api.Failure{Kind: api.KindCancelled, Message: "cancelled by its caller: submit under a new key to run it", Run: api.Failed}
	if !j.begun {
		f.Run = api.NotRun
	}
	d.fail(j, f)
}

// Cancel ends a submission; its outcome follows as for any failure.
func (d *Duty) Cancel(id string) { d.deliver(&cancelEvent{id: id}) }

// lookEvent requests the state of a submission.
type lookEvent struct {
	id    string
	reply chan lookReply
}

// lookReply is the result of Look.
type lookReply struct {
	state       string
	tasks, done int
}

func (e *lookEvent) apply(d *Duty) {
	j := d.jobs[e.id]
	switch {
	case j == nil:
		e.reply <- lookReply{state: "accepted"}
	case len(j.inflight) == 0 && j.finished == 0:
		e.reply <- lookReply{state: "queued", tasks: len(j.results)}
	default:
		e.reply <- lookReply{state: "running", tasks: len(j.results), done: j.finished}
	}
}

// Look returns the state of an unfinished submission, its number of tasks and how
// many of them are done.
func (d *Duty) Look(id string) (state string, tasks, done int) {
	e := &lookEvent{id: id, reply: make(chan lookReply, 1)}
	d.deliver(e)
	select {
	case r := <-e.reply:
		return r.state, r.tasks, r.done
	case <-d.stopped:
		return "accepted", 0, 0
	}
}

// callEvent runs a function in the duty's goroutine. Other duties use it through
// Do to access the state that the duty owns.
type callEvent struct{ call func(now time.Duration) }

func (e *callEvent) apply(d *Duty) { e.call(d.now()) }

// Do runs call in the duty's goroutine, later. It never waits for call to end.
func (d *Duty) Do(call func(now time.Duration)) { d.deliver(&callEvent{call: call}) }

// TryDo is Do for callers that must not block; it returns false when the ring is
// full and call is dropped.
func (d *Duty) TryDo(call func(now time.Duration)) bool {
	return d.events.Offer(&callEvent{call: call})
}

// DoWait runs call in the duty's goroutine and waits for its end; it returns false
// when the duty has stopped.
func (d *Duty) DoWait(call func(now time.Duration)) bool {
	ended := make(chan struct{})
	d.deliver(&callEvent{call: func(now time.Duration) {
		call(now)
		close(ended)
	}})
	select {
	case <-ended:
		return true
	case <-d.stopped:
		return false
	}
}

// SetProfiles puts a configuration in force.
func (d *Duty) SetProfiles(profiles []profile.Profile, teams []profile.Team) {
	d.Do(func(now time.Duration) {
		d.runLimits = make(map[string]time.Duration, len(profiles))
		for _, p := range profiles {
			d.runLimits[p.Name] = time.Duration(p.MaxRunMS) * time.Millisecond
		}
		d.options.Limits.SetProfiles(now, profiles, teams)
		for _, g := range d.options.Admission.SetProfiles(now, profiles, d.admissionTeams(teams)) {
			d.failGivenUp(g)
		}
	})
}

// SetTargets replaces the list of targets.
func (d *Duty) SetTargets(targets []Target) {
	d.starter.setTargets(targets)
	d.stopper.setTargets(targets)
	d.Do(func(now time.Duration) { d.options.Placer.SetTargets(now, targets) })
}
