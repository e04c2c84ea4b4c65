package scheduler

import (
	"math"
	"time"

	"github.com/burdockward/burdockward/work"
)

// forecast is what was forecast for a job when it was submitted.
type forecast struct {
	// made is false for a job that was accepted because the capacity was unknown.
	made bool
	// wait is how long the job would wait for its last task's target, slack how long it might.
	wait, slack time.Duration
	// missed says that its error has raised the margin.
	missed bool
}

// widthClass groups jobs by their number of tasks: the last task of a wide job waits longest.
type widthClass int

// Bounds of the width classes, in tasks.
const (
	maxFewTasks  = 2
	maxSomeTasks = 6
)

// width returns the width class of a job's first steps.
func (j *job) width() widthClass {
	switch n := j.sub.Job.TaskCount(); {
	case n <= maxFewTasks:
		return 0
	case n <= maxSomeTasks:
		return 1
	}
	return 2
}

// outcomeClass is a group of jobs whose forecasts share a margin.
type outcomeClass struct {
	queue string
	width widthClass
}

// Parameters of the margin.
const (
	// maxMargin is the largest share of a job's slack that the margin takes.
	maxMargin = 0.5
	// marginGain is how much of an error, as a share of the slack, goes into the margin: a few late
	// jobs within marginDecay fill it.
	marginGain = 0.1
	// minError is the least error that counts for a late job: it still waits when it is found late.
	minError = 0.25
	// marginDecay is the time in which the margin falls to a third while nothing is refused late: some
	// times as long as jobs of a burst wait.
	marginDecay = 3 * time.Second
	// needlessFactor is what remains of the margin when it has refused a job that would have been in
	// time.
	needlessFactor = 0.95
)

// Parameters of the comparison of refused jobs with their neighbours.
const (
	// maxRefusalsKept bounds the refused jobs of a class that are compared.
	maxRefusalsKept = 32
	// neighbourSpan is how far apart in time two neighbours may be submitted.
	neighbourSpan = 50 * time.Millisecond
)

// keptRefusal is a refused job that waits for the outcome of a neighbour.
type keptRefusal struct {
	at time.Duration
	forecast
}

// outcomeRecord is what is known of the outcomes of a class.
type outcomeRecord struct {
	margin   float64
	marginAt time.Duration
	// reported is set once the margin was logged at its bound, until it has fallen to half of it.
	reported bool
	// refusals are the newest refused jobs that no neighbour's outcome was compared with.
	refusals []keptRefusal
}

// outcomes compares forecasts with what came of them. It is empty at a new owner.
type outcomes map[outcomeClass]*outcomeRecord

func (o outcomes) of(j *job) *outcomeRecord {
	class := outcomeClass{j.sub.Queue.Name, j.width()}
	r := o[class]
	if r == nil {
		r = &outcomeRecord{}
		o[class] = r
	}
	return r
}

// marginNow returns the margin as it has decayed.
func (r *outcomeRecord) marginNow(now time.Duration) float64 {
	if now > r.marginAt {
		r.margin *= math.Exp(-float64(now-r.marginAt) / float64(marginDecay))
		r.marginAt = now
	}
	return r.margin
}

// accepts reports whether a job's forecast is within its slack and the margin. A refused job is kept
// for comparison.
func (o outcomes) accepts(now time.Duration, j *job) bool {
	r := o.of(j)
	if float64(j.forecast.wait) <= float64(j.forecast.slack)*(1-r.marginNow(now)) {
		return true
	}
	if len(r.refusals) >= maxRefusalsKept {
		r.refusals = r.refusals[1:]
	}
	r.refusals = append(r.refusals, keptRefusal{at: now, forecast: j.forecast})
	return false
}

// hasComparableForecast reports whether a job's wait shows how good its forecast was. Durable jobs may
// give way without limit; later steps, occurrences and repeated runs are in no forecast.
func (j *job) hasComparableForecast() bool {
	return j.forecast.made && !j.isDurable() && len(j.steps) == 1 && !j.hasRerun
}

// isTickDelayed reports whether this process has not ticked for so long that jobs became late by
// that. Half of a pause is twice the time that a CPU quota regularly takes.
func (s *State) isTickDelayed(now time.Duration) bool {
	return s.lastTick != 0 && now-s.lastTick > s.options.PauseThreshold/2
}

// wasHeldUp reports whether this process was paused while a job waited. The wait of the job is then no
// evidence about the targets.
func (s *State) wasHeldUp(now time.Duration, j *job) bool {
	return s.isTickDelayed(now) || s.delayedTickAt != 0 && j.submitted <= s.delayedTickAt
}

// noteOutcome compares the forecast of a job that ends with its outcome.
func (s *State) noteOutcome(now time.Duration, j *job, result work.Result) {
	if !j.hasComparableForecast() {
		return
	}
	wait := j.lastOrdered - j.submitted
	switch {
	case result == work.Refused && now > j.latestStart:
		wait = now - j.submitted
		s.emit(Count{"admission_accepted", "refused later"})
	case result == work.Completed && now > j.objective:
		s.emit(Count{"admission_accepted", "late"})
	case result == work.Completed:
		s.emit(Count{"admission_accepted", "in time"})
	default:
		return
	}
	if s.wasHeldUp(now, j) {
		return
	}
	r := s.outcomes.of(j)
	s.compareRefusals(now, r, j, wait)
	if wait > j.forecast.slack {
		s.noteMissed(now, j, wait)
	}
}

// noteMissed raises the margin of a job's class for a job that has waited longer than it might. Jobs
// that are late are noted at once, as their outcome may follow seconds later.
func (s *State) noteMissed(now time.Duration, j *job, wait time.Duration) {
	if !j.hasComparableForecast() || j.forecast.missed || j.forecast.slack <= 0 || s.wasHeldUp(now, j) {
		return
	}
	j.forecast.missed = true
	r := s.outcomes.of(j)
	err := float64(wait-j.forecast.wait) / float64(j.forecast.slack)
	before := r.marginNow(now)
	r.margin = min(before+marginGain*min(max(err, minError), 1), maxMargin)
	r.reported = r.reported && before > maxMargin/2
	if r.margin == maxMargin && !r.reported {
		r.reported = true
		s.emit(LogEvent{Message: "admission margin at its bound", Job: j.sub.Job.ID, Detail: j.sub.Queue.Name})
	}
}

// compareRefusals compares refused neighbours of a job with its real wait: they would have waited as
// much more or less than their forecast as the job did.
func (s *State) compareRefusals(now time.Duration, r *outcomeRecord, j *job, wait time.Duration) {
	kept := r.refusals[:0]
	for _, refused := range r.refusals {
		apart := max(refused.at-j.submitted, j.submitted-refused.at)
		switch {
		case apart > neighbourSpan && refused.at <= j.submitted:
			s.emit(Count{"admission_refused", "no neighbour"})
		case apart > neighbourSpan:
			kept = append(kept, refused)
		case refused.wait+wait-j.forecast.wait > refused.slack:
			s.emit(Count{"admission_refused", "would be late"})
		default:
			s.emit(Count{"admission_refused", "would be in time"})
			if refused.wait <= refused.slack {
				r.margin = r.marginNow(now) * needlessFactor
			}
		}
	}
	r.refusals = kept
}
