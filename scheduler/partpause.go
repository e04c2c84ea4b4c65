package scheduler

import (
	"maps"
	"strings"
	"time"

	"github.com/burdockward/burdockward/work"
)

// An owner that refuses a part has less free capacity than it reports. Each refused part costs both
// owners processor time and its job some milliseconds, so that the owner gets no further part for a
// pause, which doubles with each refusal and ends with a completed part.

// Lengths of the pause after a refused part.
const (
	// minPartPause is the shortest time between two requests for free capacity.
	minPartPause = 8 * time.Millisecond
	// maxPartPause is as long as a report counts.
	maxPartPause = capacityReportLifetime
)

// partPause is the pause of an owner that has refused parts.
type partPause struct{ length, until time.Duration }

// isPartPaused reports whether an owner gets no parts now.
func (s *State) isPartPaused(now time.Duration, key capacityKey) bool {
	return now < s.partPauses[key].until
}

// updatePartPause begins, extends or ends the pause of an owner by the outcome of a part, and
// counts the outcomes of parts that did not complete by cause.
func (s *State) updatePartPause(now time.Duration, key capacityKey, outcome work.Outcome) {
	if !s.options.PauseParts {
		return
	}
	if outcome.Result == work.Completed {
		delete(s.partPauses, key)
		return
	}
	cause, _, _ := strings.Cut(outcome.Reason, ":")
	s.emit(Count{"parts_returned", cause})
	if outcome.Result != work.Refused {
		return
	}
	// A pause that is long over says nothing of the owner any more. Dropping it also bounds the map.
	maps.DeleteFunc(s.partPauses, func(_ capacityKey, p partPause) bool { return now > p.until+maxPartPause })
	length := min(max(2*s.partPauses[key].length, minPartPause), maxPartPause)
	s.partPauses[key] = partPause{length: length, until: now + length}
}
