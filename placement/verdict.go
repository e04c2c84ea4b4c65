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
func (s *State) Verdicts() []Verdict {
	var list []Verdict
	for _, t := range s.judged {
		t.judged = false
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
	s.judged = s.judged[:0]
	return list
}

// markVerdictPending adds a target to pendingVerdicts when its use may differ from
// the reported one. A target that is not on the list yet has no verdict.
func (s *State) noteVerdict(t *target) {
	same := t.cause == t.reportedCause && t.leaving() == (t.reportedUse == UseLeaving)
	if same || t.judged || t.unlisted {
		return
	}
	t.judged = true
	s.judged = append(s.judged, t)
}
