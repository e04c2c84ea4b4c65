package scheduler

// savedState is what a task, or a gang, has saved of its work. A later run goes on from
// there.
type savedState struct {
	// run is the number of the run that saved it; 0 where a former owner knew.
	run   int64
	value string
}

// savedState is the task's own, or its gang's: what one member has saved is valid for
// all, which have to begin from the same.
func (t *task) savedState() *savedState {
	if t.step.Gang {
		return &t.step.saved
	}
	return &t.saved
}

// keepSaved remembers what a run that is over has saved of its work.
func (s *State) keepSaved(t *task, run int64, value string) {
	saved := t.savedState()
	if value == "" || run < saved.run || value == saved.value {
		return
	}
	*saved = savedState{run: run, value: value}
	if t.job.stored && !t.job.ended {
		s.emit(TaskSaved{Job: t.job.sub.Job.ID, Task: t.place, Saved: value})
	}
}
