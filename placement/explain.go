package placement

import "time"

// The uses of a target.
const (
	UseNormal     = "normal"
	UseLastResort = "last_resort"
	UseQuarantine = "quarantine"
	UseLeaving    = "leaving"
)

// Explanation reports to operators how a target is used and why.
type Explanation struct {
	Target string `json:"target"`
	// Use is one of the uses.
	Use string `json:"use"`
	// Cause names why it is not used normally.
	Cause string `json:"cause"`
	// Since is when the cause arose, on the VM's monotonic clock.
	Since time.Duration `json:"since"`
	// Ratio is the mean ratio of run times here to those of their class.
	Ratio float64 `json:"ratio"`
	// Evidence is the failure score in nats, and Submissions the newest ones that
	// count in it.
	Evidence    float64  `json:"evidence"`
	Submissions []string `json:"submissions"`
	Running     int      `json:"running"`
	Done        int64    `json:"done"`
	Failed      int64    `json:"failed"`
	// NextProbe is when the next probe may start, and ProbeSuccesses how many
	// have succeeded in a row.
	NextProbe      time.Duration `json:"next_probe"`
	ProbeSuccesses int           `json:"probe_successes"`
}

// Explain returns the use and the evidence of a target; false when it is unknown.
func (s *State) Explain(name string) (Explanation, bool) {
	t := s.targets[name]
	if t == nil {
		return Explanation{}, false
	}
	e := Explanation{
		Target:         t.id,
		Use:            s.useOf(t),
		Cause:          t.cause.String(),
		Since:          t.since,
		Ratio:          t.ratio(),
		Evidence:       t.evidence,
		Submissions:    append([]string(nil), t.failedJobs...),
		Running:        t.running,
		Done:           t.done,
		Failed:         t.failed,
		ProbeSuccesses: t.probeSuccesses,
	}
	if t.isQuarantined() && t.heapIndex != noIndex {
		e.NextProbe = t.wakeAt
	}
	return e, true
}

// Use returns how a target is used, one of the uses; empty when it is unknown.
func (s *State) Use(name string) string {
	t := s.targets[name]
	if t == nil {
		return ""
	}
	return s.useOf(t)
}

func (s *State) useOf(t *target) string {
	switch {
	case t.isLeaving():
		return UseLeaving
	case t.isQuarantined():
		return UseQuarantine
	case t.isLastResort():
		return UseLastResort
	}
	return UseNormal
}
