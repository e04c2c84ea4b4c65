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
	// adviceTime is what an answer takes, and adviceEach more for each target named.
	adviceTime = 5 * time.Millisecond
	adviceEach = 500 * time.Microsecond
	// ticketTime is how long a ticket is valid.
	ticketTime = 2 * time.Second
)

// maxAdvice is how many calls of a machine may wait.
const maxAdvice = 32

// Adviser is a stand-in of the service that knows which targets may run a step of a queue
// with advice: two of three. It answers one call of a VM at a time.
type Adviser struct {
	mu      sync.Mutex
	turns   map[string]*sync.Mutex
	waiting map[string]int
	// tickets are until when each one is valid.
	tickets map[string]time.Time
}

// NewAdviser makes an adviser that has given no ticket.
func NewAdviser() *Adviser {
	return &Adviser{turns: map[string]*sync.Mutex{}, waiting: map[string]int{}, tickets: map[string]time.Time{}}
}

// may reports whether a target may run a step; that doesn't change.
func may(step, target string) bool {
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
	turn, ok := a.enter(vm)
	if !ok {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	turn.Lock()
	time.Sleep(adviceTime + time.Duration(len(in.Workers))*adviceEach)
	turn.Unlock()
	_ = json.NewEncoder(w).Encode(a.answer(vm, in))
}

// enter has a VM's call wait for its turn, unless too many do.
func (a *Adviser) enter(vm string) (*sync.Mutex, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiting[vm] > maxAdvice {
		return nil, false
	}
	a.waiting[vm]++
	if a.turns[vm] == nil {
		a.turns[vm] = &sync.Mutex{}
	}
	return a.turns[vm], true
}

func (a *Adviser) answer(vm string, in wire.Advise) wire.Advice {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting[vm]--
	advice := wire.Advice{Good: [][2]string{}, ValidMS: float64(ticketTime.Milliseconds())}
	until := time.Now().Add(ticketTime)
	for _, target := range in.Workers {
		if may(in.Step, target) {
			ticket := fmt.Sprintf("%s@%s@%d", in.Step, target, until.UnixNano())
			a.tickets[ticket] = until
			advice.Good = append(advice.Good, [2]string{target, ticket})
		}
	}
	return advice
}

// admits reports whether a ticket lets a target start a task.
func (a *Adviser) admits(ticket, task, target string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	step := task[:strings.LastIndex(task, ".")]
	return strings.HasPrefix(ticket, step+"@"+target+"@") && time.Now().Before(a.tickets[ticket])
}
