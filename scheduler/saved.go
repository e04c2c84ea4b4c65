package scheduler

// savedState is the work that a task or a gang has saved. A later run continues from there.
type savedState struct {
	// run is the number of the run that saved it; 0 if a previous owner recorded it.
	run   int64
	value string
}

// savedState returns the saved work of the task, or of its gang: what one member has saved is valid
// for all members, which have to start from the same state.
func (t *task) savedState() *savedState {
	if t.step.Gang {
		return &t.step.saved
	}
	return &t.saved
}

// recordSaved keeps the work that a run which is over has saved, and has the store record it.
func (s *State) recordSaved(t *task, run int64, value string) {
	saved := t.savedState()
	if value == "" || run < saved.run || value == saved.value {
		return
	}
	*saved = savedState{run: run, value: value}
	if t.job.stored && !t.job.ended {
		s.emit(TaskSaved{Job: t.job.sub.Job.ID, Task: t.savedIndex(), Saved: value})
	}
}

// savedIndex is the index under which the store has the task's saved work. A gang has one, so that
// newer work replaces older work that another member reported.
func (t *task) savedIndex() int {
	if t.step.Gang {
		return t.step.members[0].index
	}
	return t.index
}
