package target

import (
	"net/http"
	"time"
)

// Faults holds the faults that a Server injects. The zero value has none.
type Faults struct {
	// Frozen makes the target accept connections and do nothing else, like a paused process:
	// requests wait, ends of tasks are not reported, and leases continue to lapse.
	Frozen bool `json:"frozen,omitempty"`
	// PauseMS freezes the target for this many milliseconds.
	PauseMS int64 `json:"pause_ms,omitempty"`
	// BlackHole runs tasks but never answers the requests that start them.
	BlackHole bool `json:"black_hole,omitempty"`
	// FailAll fails each task at once.
	FailAll bool `json:"fail_all,omitempty"`
	// SlowFactor multiplies run times; 0 is 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// DropAfterStart runs tasks but breaks the connections of the requests that start them at once.
	DropAfterStart bool `json:"drop_after_start,omitempty"`
	// Refuse refuses all starts with this reason and the outcome not_started.
	Refuse string `json:"refuse,omitempty"`
	// Leaving refuses starts and leases with the reason leaving, and reports it in the load.
	Leaving bool `json:"leaving,omitempty"`
	// LeavingSilent shows leaving in the VM list alone: the target still accepts starts, and the log
	// counts them as starts after leaving.
	LeavingSilent bool `json:"leaving_silent,omitempty"`
	// Restart drops all leases, stops all tasks and breaks all connections, once.
	Restart bool `json:"restart,omitempty"`
}

// isLeaving reports whether the VM list shows the target as leaving.
func (f Faults) isLeaving() bool { return f.Leaving || f.LeavingSilent }

// SetFaults replaces all faults, and calls OnLeaving when the target begins or ceases to leave. A
// one-time fault (pause, restart) takes effect at once.
func (s *Server) SetFaults(faults Faults) {
	changed := s.setFaults(faults)
	if changed && s.options.OnLeaving != nil {
		s.options.OnLeaving(faults.isLeaving())
	}
}

func (s *Server) setFaults(faults Faults) (leavingChanged bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	leavingChanged = s.faults.isLeaving() != faults.isLeaving()
	if leavingChanged {
		s.leavingSince = time.Now()
	}
	if faults.Restart {
		s.restart()
	}
	s.faults = faults
	s.thaw()
	if faults.Frozen || faults.PauseMS > 0 {
		s.freeze(time.Duration(faults.PauseMS) * time.Millisecond)
	}
	return leavingChanged
}

// freeze freezes the target for a pause, or until the faults change when pause is 0. The end of an
// older pause does not end a newer freeze. It needs mu.
func (s *Server) freeze(pause time.Duration) {
	thawed := make(chan struct{})
	s.thawed = thawed
	if pause == 0 {
		return
	}
	time.AfterFunc(pause, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.thawed == thawed {
			s.thaw()
		}
	})
}

// thaw ends a freeze, if any; it needs mu.
func (s *Server) thaw() {
	if s.thawed != nil {
		close(s.thawed)
		s.thawed = nil
	}
}

// waitThawed returns when the target is not frozen.
func (s *Server) waitThawed() {
	for {
		s.mu.Lock()
		thawed := s.thawed
		s.mu.Unlock()
		if thawed == nil {
			return
		}
		<-thawed
	}
}

// restart simulates a new process: it drops all leases and ends all tasks without an answer. It
// needs mu.
func (s *Server) restart() {
	s.process++
	s.stats.Restarts++
	clear(s.leases)
	close(s.ended)
	s.ended = make(chan struct{})
	for run := range s.running {
		s.end(run)
	}
}

// pausable makes a handler wait while the target is frozen. It breaks the connections of requests
// that waited over a restart.
func (s *Server) pausable(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		process := s.processNumber()
		s.addWaiting(1)
		s.waitThawed()
		s.addWaiting(-1)
		if s.processNumber() != process {
			panic(http.ErrAbortHandler)
		}
		handle(w, r)
	}
}

// addWaiting adds n to the count of requests that wait for the end of a freeze.
func (s *Server) addWaiting(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Waiting += n
}

// processNumber returns how often the target has restarted.
func (s *Server) processNumber() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.process
}
