package prepared

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/burdockward/burdockward/platform/wire"
)

// Times of the adviser.
const (
	// adviceTime is the time of an answer, adviceTimePerTarget the additional time for each
	// target in the request.
	adviceTime          = 5 * time.Millisecond
	adviceTimePerTarget = 500 * time.Microsecond
	// ticketLifetime is how long a ticket is valid.
	ticketLifetime = 2 * time.Second
)

// maxWaitingCalls is how many calls of a VM may wait for their turn.
const maxWaitingCalls = 32

// Adviser simulates the service that decides which targets may run a step of a queue with advice,
// and gives tickets for them. It allows two of three targets for each step, and answers one call
// of each VM at a time.
type Adviser struct {
	mu      sync.Mutex
	turns   map[string]*sync.Mutex
	waiting map[string]int
	// tickets has the end of the validity of each ticket.
	tickets map[string]time.Time
}

// NewAdviser returns an adviser that has given no ticket.
func NewAdviser() *Adviser {
	return &Adviser{turns: map[string]*sync.Mutex{}, waiting: map[string]int{}, tickets: map[string]time.Time{}}
}

// mayRun reports whether a target may run a step. It depends on the two names alone, so that it
// never changes.
func mayRun(step, target string) bool {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(step + target))
	return hash.Sum32()%3 > 0
}

// ServeHTTP implements http.Handler.
func (a *Adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var in wire.Advise
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Workers) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	vm, _, _ := strings.Cut(r.RemoteAddr, ":")
	turn, ok := a.enterQueue(vm)
	if !ok {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	turn.Lock()
	time.Sleep(adviceTime + time.Duration(len(in.Workers))*adviceTimePerTarget)
	turn.Unlock()
	_ = json.NewEncoder(w).Encode(a.answer(vm, in))
}

// enterQueue counts a VM's waiting call and returns the mutex of its turns; false if too many calls
// of the VM wait.
func (a *Adviser) enterQueue(vm string) (*sync.Mutex, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiting[vm] > maxWaitingCalls {
		return nil, false
	}
	a.waiting[vm]++
	if a.turns[vm] == nil {
		a.turns[vm] = &sync.Mutex{}
	}
	return a.turns[vm], true
}

// answer returns the allowed targets of a request with a ticket for each.
func (a *Adviser) answer(vm string, in wire.Advise) wire.Advice {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting[vm]--
	advice := wire.Advice{Good: [][2]string{}, ValidMS: float64(ticketLifetime.Milliseconds())}
	until := time.Now().Add(ticketLifetime)
	for _, target := range in.Workers {
		if mayRun(in.Step, target) {
			ticket := fmt.Sprintf("%s@%s@%d", in.Step, target, until.UnixNano())
			a.tickets[ticket] = until
			advice.Good = append(advice.Good, [2]string{target, ticket})
		}
	}
	return advice
}

// isValidTicket reports whether a ticket allows a target to start a task now.
func (a *Adviser) isValidTicket(ticket, task, target string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	step := task[:strings.LastIndex(task, ".")]
	return strings.HasPrefix(ticket, step+"@"+target+"@") && time.Now().Before(a.tickets[ticket])
}
