package jobstore

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/zeebo/errs/v2"

	"github.com/burdockward/burdockward/work"
)

// ErrRowTooLarge means that a value does not fit a row of the store: submit a smaller job.
const ErrRowTooLarge = errs.Tag("row too large for the store")

// A progress row lists what is known of each task. While that fits the row it is written plainly,
// as builds without the compact form read it. Otherwise tasks with the same fact share a taskSet;
// what a job can do without, saved states and target losses, is left out as far as it still
// doesn't fit.

// storedProgress is the JSON of a progress row. A row has the plain fields or the sets.
type storedProgress struct {
	plainProgress
	DoneSet        taskSet         `json:"done_set,omitzero"`
	FailureSets    []failureSet    `json:"fails_sets,omitempty"`
	LastFailedSets []lastFailedSet `json:"last_failed_sets,omitempty"`
	LossSets       []targetLossSet `json:"crashed_sets,omitempty"`
}

// plainProgress is Progress without its methods.
type plainProgress Progress

// failureSet names the tasks that have failed a number of times, lastFailedSet those whose last
// failed run has a number, targetLossSet those that ran on a target when it was lost.
type (
	failureSet struct {
		Failures int     `json:"n"`
		Tasks    taskSet `json:"tasks"`
	}
	lastFailedSet struct {
		Run   int64   `json:"run"`
		Tasks taskSet `json:"tasks"`
	}
	targetLossSet struct {
		TargetLoss
		Tasks taskSet `json:"tasks"`
	}
)

// UnmarshalJSON decodes a progress row of either form.
func (p *Progress) UnmarshalJSON(data []byte) error {
	var stored storedProgress
	if err := json.Unmarshal(data, &stored); err != nil {
		return err
	}
	*p = Progress(stored.plainProgress)
	if p.State < 0 || p.State > work.StateWithdrawn {
		return fmt.Errorf("state %d is none of a job: remove the row", p.State)
	}
	p.Done = append(p.Done, stored.DoneSet.tasks()...)
	for _, set := range stored.FailureSets {
		for _, task := range set.Tasks.tasks() {
			p.addFailures(task, min(set.Failures, maxStoredFailures))
		}
	}
	for _, set := range stored.LastFailedSets {
		for _, task := range set.Tasks.tasks() {
			p.setLastFailed(task, set.Run)
		}
	}
	for _, set := range stored.LossSets {
		for _, task := range set.Tasks.tasks() {
			p.addLoss(task, set.TargetLoss)
		}
	}
	p.dropOdd()
	return nil
}

// maxStoredFailures is above the failed runs of any task.
const maxStoredFailures = 1 << 20

// dropOdd drops what no owner writes: tasks that no job has, and failures that are none. Another writer may
// have left it in the row.
func (p *Progress) dropOdd() {
	isOdd := func(task int) bool { return task < 0 || task >= work.MaxAllTasks }
	p.Done = slices.DeleteFunc(p.Done, isOdd)
	for task, n := range p.Failures {
		if p.Failures[task] = min(n, maxStoredFailures); isOdd(task) || n < 1 {
			delete(p.Failures, task)
		}
	}
	maps.DeleteFunc(p.LastFailedRun, func(task int, _ int64) bool { return isOdd(task) })
	maps.DeleteFunc(p.Saved, func(task int, _ string) bool { return isOdd(task) })
	maps.DeleteFunc(p.TargetLosses, func(task int, _ []TargetLoss) bool { return isOdd(task) })
}

// encode returns the value of the progress row, which has at most limit bytes, and how many facts
// were left out for that.
func (p Progress) encode(limit int) (value []byte, omitted int, err error) {
	value, err = json.Marshal(plainProgress(p))
	if err != nil || len(value) <= limit {
		return value, 0, err
	}
	compact := p.compact()
	saved := compact.Saved
	compact.Saved = nil
	value, err = json.Marshal(compact)
	for err == nil && len(value) > limit {
		if len(compact.LossSets) == 0 {
			return nil, 0, ErrRowTooLarge.Errorf("the progress of %d tasks takes %d bytes, a row takes %d: submit smaller jobs", len(p.Done)+len(p.Failures), len(value), limit)
		}
		omitted += compact.dropLastLosses()
		value, err = json.Marshal(compact)
	}
	if err != nil {
		return nil, 0, err
	}
	compact.Saved = fittingStates(saved, limit-len(value))
	omitted += len(saved) - len(compact.Saved)
	value, err = json.Marshal(compact)
	return value, omitted, err
}

// fittingStates returns the saved states that fit a number of bytes as JSON.
func fittingStates(saved map[int]string, room int) map[int]string {
	room -= len(`"saved":{},`)
	fitting := map[int]string{}
	for _, task := range slices.Sorted(maps.Keys(saved)) {
		entry, err := json.Marshal(map[int]string{task: saved[task]})
		if err == nil && len(entry) <= room {
			fitting[task] = saved[task]
			room -= len(entry)
		}
	}
	return fitting
}

// dropLastLosses leaves out the last set of losses and returns how many losses it had.
func (s *storedProgress) dropLastLosses() int {
	last := len(s.LossSets) - 1
	dropped := len(s.LossSets[last].Tasks.tasks())
	s.LossSets = s.LossSets[:last]
	return dropped
}

// compact returns the progress with sets of tasks in place of lists by task. The losses of most
// tasks come first; correlated ones, which count least, come last.
func (p Progress) compact() storedProgress {
	stored := storedProgress{plainProgress: plainProgress(p), DoneSet: newTaskSet(p.Done)}
	stored.Done, stored.Failures, stored.LastFailedRun, stored.TargetLosses = nil, nil, nil, nil
	failures, lastFailed, losses := map[int][]int{}, map[int64][]int{}, map[TargetLoss][]int{}
	for task, n := range p.Failures {
		failures[n] = append(failures[n], task)
	}
	for task, run := range p.LastFailedRun {
		lastFailed[run] = append(lastFailed[run], task)
	}
	for task, list := range p.TargetLosses {
		for _, loss := range list {
			losses[loss] = append(losses[loss], task)
		}
	}
	for _, n := range slices.Sorted(maps.Keys(failures)) {
		stored.FailureSets = append(stored.FailureSets, failureSet{Failures: n, Tasks: newTaskSet(failures[n])})
	}
	for _, run := range slices.Sorted(maps.Keys(lastFailed)) {
		stored.LastFailedSets = append(stored.LastFailedSets, lastFailedSet{Run: run, Tasks: newTaskSet(lastFailed[run])})
	}
	for _, loss := range slices.SortedFunc(maps.Keys(losses), compareLosses) {
		stored.LossSets = append(stored.LossSets, targetLossSet{TargetLoss: loss, Tasks: newTaskSet(losses[loss])})
	}
	slices.SortStableFunc(stored.LossSets, func(a, b targetLossSet) int {
		return cmp.Or(compareBool(a.Correlated, b.Correlated), cmp.Compare(len(losses[b.TargetLoss]), len(losses[a.TargetLoss])))
	})
	return stored
}

func compareLosses(a, b TargetLoss) int {
	return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Incarnation, b.Incarnation),
		compareBool(a.Correlated, b.Correlated), compareBool(a.Isolated, b.Isolated),
		compareBool(a.Begun, b.Begun), compareBool(a.Confirmed, b.Confirmed))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// markDone records that a task is done. What else is known of it doesn't matter any more.
func (p *Progress) markDone(task int) {
	p.Done = append(p.Done, task)
	delete(p.Failures, task)
	delete(p.LastFailedRun, task)
	delete(p.Saved, task)
	delete(p.TargetLosses, task)
}

func (p *Progress) addFailures(task, n int) {
	if p.Failures == nil {
		p.Failures = map[int]int{}
	}
	p.Failures[task] += n
}

func (p *Progress) setLastFailed(task int, run int64) {
	if p.LastFailedRun == nil {
		p.LastFailedRun = map[int]int64{}
	}
	p.LastFailedRun[task] = max(p.LastFailedRun[task], run)
}

// addLoss records a loss in place of an earlier record of it.
func (p *Progress) addLoss(task int, loss TargetLoss) {
	p.removeLoss(task, loss)
	if p.TargetLosses == nil {
		p.TargetLosses = map[int][]TargetLoss{}
	}
	p.TargetLosses[task] = append(p.TargetLosses[task], loss)
}

// removeLoss removes the record of a loss.
func (p *Progress) removeLoss(task int, loss TargetLoss) {
	rest := slices.DeleteFunc(p.TargetLosses[task], loss.isSame)
	if len(rest) > 0 {
		p.TargetLosses[task] = rest
	} else {
		delete(p.TargetLosses, task)
	}
}

func (p *Progress) setSaved(task int, state string) {
	if p.Saved == nil {
		p.Saved = map[int]string{}
	}
	p.Saved[task] = state
}

// taskSet is a set of tasks by their index in a job, as a list or as a bitmap, whichever is
// shorter. A bitmap of all tasks that a job may have takes 1.7 KB as JSON.
type taskSet struct {
	List []int `json:"list,omitempty"`
	// Bits has bit i of byte n for task 8n+i.
	Bits []byte `json:"bits,omitempty"`
}

// newTaskSet returns the set of the tasks, which are at least 0.
func newTaskSet(tasks []int) taskSet {
	list := slices.Compact(slices.Sorted(slices.Values(tasks)))
	if len(list) == 0 {
		return taskSet{}
	}
	bits := make([]byte, list[len(list)-1]/8+1)
	for _, task := range list {
		bits[task/8] |= 1 << (task % 8)
	}
	listBytes := 0
	for _, task := range list {
		listBytes += len(fmt.Sprint(task)) + 1
	}
	if listBytes <= len(bits)*4/3 {
		return taskSet{List: list}
	}
	return taskSet{Bits: bits}
}

// IsZero reports whether the set is empty.
func (s taskSet) IsZero() bool { return len(s.List) == 0 && len(s.Bits) == 0 }

// tasks lists the set's tasks.
func (s taskSet) tasks() []int {
	list := slices.Clone(s.List)
	for n, b := range s.Bits {
		for i := range 8 {
			if b&(1<<i) != 0 {
				list = append(list, 8*n+i)
			}
		}
	}
	return list
}
