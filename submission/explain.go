package submission

import (
	"container/list"
	"sync"
	"time"
)

// maxExplanations bounds the number of submissions whose events are kept.
const maxExplanations = 2000

// maxEvents bounds the events that are kept for one submission.
const maxEvents = 24

// NoTask is the task of an Event that concerns the submission as a whole.
const NoTask = -1

// Event is a decision about a submission, or a change of it.
type Event struct {
	Time time.Time
	// Text names what happened.
	Text string
	// Task is the number of the task, or NoTask.
	Task int
	// Target is the target concerned, empty for none.
	Target string
	// Reason says why, empty when the text says it already.
	Reason string
}

// Explanation is a VM's events of one submission.
type Explanation struct {
	// Profile is the profile that the submission named, empty when the VM never had
	// the submission itself.
	Profile string
	// Events are ordered by time. When there are maxEvents, further events are counted
	// in Dropped, and events of the whole submission replace the last one kept.
	Events  []Event
	Dropped int
}

// explanations keeps the events of the newest submissions.
type explanations struct {
	mu    sync.Mutex
	limit int
	order *list.List
	byKey map[string]*list.Element
}

// explanation is the Explanation of a key.
type explanation struct {
	keyText string
	Explanation
}

func newExplanations(limit int) *explanations {
	return &explanations{limit: limit, order: list.New(), byKey: map[string]*list.Element{}}
}

// setProfile records which profile a submission named.
func (x *explanations) setProfile(keyText, profile string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.entry(keyText).Profile = profile
}

// add records an event of the submission as a whole.
func (x *explanations) add(keyText, text string) {
	x.addEvent(keyText, Event{Text: text, Task: NoTask})
}

// addEvent records an event. When there are maxEvents already, an event of the whole
// submission replaces the last one, so that the end of a submission is kept after many
// starts.
func (x *explanations) addEvent(keyText string, e Event) {
	e.Time = time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	ex := x.entry(keyText)
	if len(ex.Events) < maxEvents {
		ex.Events = append(ex.Events, e)
		return
	}
	ex.Dropped++
	if e.Task == NoTask {
		ex.Events[maxEvents-1] = e
	}
}

// entry returns the explanation of a key and adds one if needed. The caller holds x.mu.
func (x *explanations) entry(keyText string) *explanation {
	el := x.byKey[keyText]
	if el == nil {
		el = x.order.PushBack(&explanation{keyText: keyText})
		x.byKey[keyText] = el
		x.trim()
	}
	return el.Value.(*explanation)
}

// trim drops the oldest explanations beyond the limit.
func (x *explanations) trim() {
	for x.order.Len() > x.limit {
		oldest := x.order.Remove(x.order.Front()).(*explanation)
		delete(x.byKey, oldest.keyText)
	}
}

// get returns a copy of the explanation of a key. It has no events when there is none.
func (x *explanations) get(keyText string) Explanation {
	x.mu.Lock()
	defer x.mu.Unlock()
	el := x.byKey[keyText]
	if el == nil {
		return Explanation{}
	}
	found := el.Value.(*explanation).Explanation
	found.Events = append([]Event(nil), found.Events...)
	return found
}
