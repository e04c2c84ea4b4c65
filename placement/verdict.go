package placement

// Verdict is a change of how a target is used.
type Verdict struct {
	Target string
	// Before and Use are uses, such as UseNormal.
	Before, Use string
	// Cause is why the target is not used normally.
	Cause Cause
	// Submissions are the newest ones that count against the target.
	Submissions []string
}

// TakeVerdicts returns the changes since the last call, for the log. A target
// whose use changed and changed back in between is left out.
func (s *State) TakeVerdicts() []Verdict {
	var list []Verdict
	for _, t := range s.pendingVerdicts {
		t.verdictPending = false
		use := s.useOf(t)
		if t.removed || use == t.reportedUse && t.cause == t.reportedCause {
			continue
		}
		list = append(list, Verdict{
			Target:      t.id,
			Before:      t.reportedUse,
			Use:         use,
			Cause:       t.cause,
			Submissions: append([]string(nil), t.failedJobs...),
		})
		t.reportedUse = use
		t.reportedCause = t.cause
	}
	s.pendingVerdicts = s.pendingVerdicts[:0]
	return list
}

// markVerdictPending adds a target to pendingVerdicts when its use may differ from
// the reported one. A target that is not on the list yet has no verdict.
func (s *State) markVerdictPending(t *target) {
	same := t.cause == t.reportedCause && t.isLeaving() == (t.reportedUse == UseLeaving)
	if same || t.verdictPending || t.unlisted {
		return
	}
	t.verdictPending = true
	s.pendingVerdicts = append(s.pendingVerdicts, t)
}
