package orders

import (
	"cmp"
	"container/heap"
	"time"

	"github.com/burdockward/burdockward/admission"
)

// outcomes holds the response time of each submission of a trace, 0 for those that were refused or
// expired, and the numbers of these.
type outcomes struct {
	response []time.Duration
	refused  int
	expired  int
}

// drive simulates a trace with a State over a number of slots, without any overhead.
func drive(s *admission.State, trace []arrival, slots int) outcomes {
	d := newDriver(s, trace, slots)
	for d.queue.Len() > 0 {
		e := heap.Pop(&d.queue).(event)
		if e.isArrival() {
			d.arrive(e)
		} else {
			d.finish(e)
		}
		d.expire(e.at)
		d.start(e.at)
	}
	return d.out
}

// driver is the state of one run.
type driver struct {
	state    *admission.State
	trace    []arrival
	capacity admission.Capacity
	place    map[admission.ID]int // index of each submission in the trace
	left     []int                // unfinished tasks by place; negative when expired
	queue    events
	free     int
	seq      int
	out      outcomes
}

func newDriver(s *admission.State, trace []arrival, slots int) *driver {
	d := &driver{
		state:    s,
		trace:    trace,
		capacity: admission.Capacity{Slots: slots, Share: 1},
		place:    make(map[admission.ID]int, len(trace)),
		left:     make([]int, len(trace)),
		free:     slots,
		seq:      len(trace),
		out:      outcomes{response: make([]time.Duration, len(trace))},
	}
	for i, a := range trace {
		d.place[a.sub.ID] = i
		d.left[i] = len(a.runs)
		d.queue = append(d.queue, event{at: a.at, seq: i, place: i, ref: admission.TaskRef{Task: -1}})
	}
	heap.Init(&d.queue)
	return d
}

// arrive submits the submission of an arrival.
func (d *driver) arrive(e event) {
	if d.state.Admit(e.at, d.trace[e.place].sub, d.capacity) != nil {
		d.out.refused++
	}
}

// finish records the end of a task, and the response time when it was the submission's last one.
func (d *driver) finish(e event) {
	d.free++
	d.state.RecordEnd(e.at, e.ref, e.ran, admission.OutcomeDone)
	d.left[e.place]--
	if d.left[e.place] == 0 {
		d.out.response[e.place] = e.at - d.trace[e.place].at
	}
}

// expire counts the submissions whose deadline has passed.
func (d *driver) expire(now time.Duration) {
	for _, expired := range d.state.Expire(now) {
		d.out.expired++
		d.left[d.place[expired.ID]] = -1 // ends of its running tasks make no response any more
	}
}

// start starts waiting tasks while slots are free.
func (d *driver) start(now time.Duration) {
	for d.free > 0 {
		ref, ok := d.state.Next(now, func(string) bool { return true })
		if !ok {
			return
		}
		d.free--
		d.seq++
		place := d.place[ref.ID]
		ran := d.trace[place].runs[ref.Task]
		d.state.RecordStart(now, ref)
		heap.Push(&d.queue, event{at: now + ran, seq: d.seq, place: place, ref: ref, ran: ran})
	}
}

// event is an arrival or the end of a task.
type event struct {
	at    time.Duration
	seq   int // orders events of the same time
	place int // index of the submission in the trace
	ref   admission.TaskRef
	ran   time.Duration
}

func (e event) isArrival() bool { return e.ref.Task < 0 }

// events is a heap of events by time.
type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].seq, e[j].seq)) < 0
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
