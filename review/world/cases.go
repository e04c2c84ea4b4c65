package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/burdockward/burdockward/platform/wire"
)

// Bounds of the rule LOST.
const (
	finish      = 14 * time.Second
	idleFor     = 3 * time.Second
	calmBefore  = 4 * time.Second
	lastingWait = 6 * time.Second
	// lossLasts is more than the time that an executor is down for, or that its entry stays.
	lossLasts = 8 * time.Second
)

// lasting is a step whose tasks last, one on each executor at most if spread is set.
func lasting(count int, cpu, memoryMB int64, spread bool) step {
	st := newStep(count, cpu, memoryMB, time.Second)
	st.LongRunning, st.takes = true, 0
	if spread {
		st.AntiAffinity = 1
	}
	return st
}

// newStep is a step of tasks that work for some time, which is also their estimate.
func newStep(count int, cpu, memoryMB int64, takes time.Duration) step {
	return step{Step: wire.Step{Count: count, CPU: cpu, MemoryMB: memoryMB, EstimateMS: float64(takes.Milliseconds())}, takes: takes}
}

// needs is what each task of a step takes of its executor.
func (st step) needs() wire.Resources { return wire.Resources{CPU: st.CPU, MemoryMB: st.MemoryMB} }

// short is a step of tasks that work for 200 ms.
func short(count int) step {
	return newStep(count, 1000, 64, 200*time.Millisecond)
}

// spreadLasting hands in, in each zone, a job whose lasting tasks run on all executors of the zone, and
// waits until they do.
func (w *world) spreadLasting(perZone int, cpu, memoryMB int64) bool {
	var spread []*job
	for _, zone := range zones {
		j := w.submitUntilAccepted(5, func() *job {
			return w.newJob("lasting, one task on each executor of "+zone, zone, normal, lasting(perZone, cpu, memoryMB, true))
		})
		if j == nil {
			return false
		}
		spread = append(spread, j)
	}
	return waitFor(8*time.Second, func() bool {
		used := map[*executor]bool{}
		for _, j := range spread {
			for i := range perZone {
				task := fmt.Sprintf("%s.0.0.%d", j.id, i)
				if !w.isLive(task) {
					return false
				}
				used[w.at(task)] = true
			}
		}
		return len(used) == perZone*len(zones)
	})
}

func waitFor(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// watchLasting checks LOST for a task that lasts: it may not be away for idleFor, from lastingWait after
// its last run on, while the 3 s and the 4 s before them are calm and there is capacity for it twice over.
func (w *world) watchLasting(task string, needs wire.Resources, length time.Duration) {
	var since time.Time
	found := false
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		w.mu.Lock()
		live, last, trouble := w.live[task] > 0, w.lastEnd[task], w.trouble
		w.mu.Unlock()
		places, _ := w.room(needs)
		away := !live && time.Since(last) >= lastingWait && places >= 2 && time.Since(trouble) >= calmBefore
		switch {
		case !away:
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
		case !found && time.Since(since) >= idleFor:
			found = true
			w.broken("LOST: the lasting task %s has not run for %.1f s, the last disruption was %.1f s ago, and there is room for %d such tasks",
				task, time.Since(last).Seconds(), time.Since(trouble).Seconds(), places)
		}
	}
	w.mu.Lock()
	live, last := w.live[task] > 0, w.lastEnd[task]
	w.mu.Unlock()
	if found {
		w.rec.say("at the end the task runs: %v; its last run ended %.1f s ago", live, time.Since(last).Seconds())
	}
}

// lostExecutor: one executor is lost for good, while a lasting task runs on each executor.
func lostExecutor(w *world, trouble bool) bool {
	if !w.spreadLasting(4, 2000, 1024) {
		return false
	}
	single := w.submitUntilAccepted(5, func() *job {
		return w.newJob("lasting, a single task", zones[0], normal, lasting(1, 2000, 1024, false))
	})
	if single == nil {
		return false
	}
	task := single.id + ".0.0.0"
	if !waitFor(5*time.Second, func() bool { return w.isLive(task) }) {
		return false
	}
	time.Sleep(6 * time.Second)
	if trouble {
		x := w.at(task)
		w.disrupt("executor %s in %s, which runs %s, is lost for good", x.id, x.zone, task)
		x.crash()
		// Its entry stays for three beats: the disruption counts as going on for lossLasts.
		w.mu.Lock()
		w.trouble = time.Now().Add(lossLasts)
		w.mu.Unlock()
	}
	w.watchLasting(task, single.steps[0].needs(), 40*time.Second)
	w.ask(single)
	w.checkNewWork()
	return true
}

// checkNewWork records that a new lasting job is accepted and run at the same moment.
func (w *world) checkNewWork() {
	j := w.newJob("lasting, handed in at the end", zones[0], normal, lasting(1, 2000, 1024, false))
	w.submit(j)
	runs := waitFor(3*time.Second, func() bool { return w.isLive(j.id + ".0.0.0") })
	w.rec.say("a lasting job that is handed in now is run: %v", runs)
}

// watchEnds waits until finish after now, and then checks LOST for accepted jobs: each has to be known,
// and none may have nothing running for idleFor while a task's turn has come, there is capacity for it
// twice over, and under half of the capacity is in use. It checks jobs of one step.
func (w *world) watchEnds(jobs []*job) {
	w.rec.say("the traffic has ended: %d jobs, %s until they are asked for", len(jobs), finish)
	time.Sleep(finish)
	idle := map[*job]bool{}
	for _, j := range jobs {
		status, state := 0, ""
		for range 5 {
			if status, state = w.ask(j); status != 0 && status != http.StatusServiceUnavailable {
				break
			}
			time.Sleep(500 * time.Millisecond)
		}
		if status != http.StatusOK {
			w.broken("LOST: job %s (%s) was accepted and is answered %d", j.id, j.label, status)
		}
		idle[j] = state == "queued" || state == "running"
	}
	unfinished := 0
	for end := time.Now().Add(idleFor); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		unfinished = 0
		for _, j := range jobs {
			st := j.steps[0]
			places, halfFree := w.room(st.needs())
			open := false
			for i := range st.Count {
				task := fmt.Sprintf("%s.0.0.%d", j.id, i)
				w.mu.Lock()
				_, done := w.done[task]
				live := w.live[task] > 0
				w.mu.Unlock()
				open = open || !done
				if live {
					idle[j] = false
				}
			}
			if !open || places < 2*st.Count || !halfFree {
				idle[j] = false
			}
			if idle[j] {
				unfinished++
			}
		}
	}
	lost := 0
	for _, j := range jobs {
		if idle[j] {
			if lost++; lost <= 3 {
				w.broken("LOST: job %s (%s) was accepted %.0f s ago and has had nothing running for 3 s, while there is capacity for it", j.id, j.label, time.Since(j.accepted).Seconds())
			}
		}
	}
	w.rec.say("%d of %d accepted jobs have nothing running and are not done", lost, len(jobs))
}

// stream hands in short jobs at a steady rate and returns the accepted ones.
func (w *world) stream(label string, homes []string, prefix string, length, pause time.Duration) []*job {
	var accepted []*job
	results := make(chan *job, 4096)
	sent := 0
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(pause) {
		j := w.newJob(label, homes[sent%len(homes)], prefix, short(2))
		sent++
		go func() {
			if w.submit(j) {
				results <- j
			} else {
				results <- nil
			}
		}()
	}
	for range sent {
		if j := <-results; j != nil {
			accepted = append(accepted, j)
		}
	}
	w.rec.say("%d of %d jobs (%s) accepted", len(accepted), sent, label)
	return accepted
}

// largeJob: a job that needs much memory waits, while lasting tasks use three eighths of each executor's memory.
func largeJob(w *world, trouble bool) bool {
	if !w.spreadLasting(4, 2000, 24576) {
		return false
	}
	if trouble {
		for _, zone := range zones {
			j := w.newJob("large", zone, patient, newStep(1, 1000, 49152, time.Second))
			w.disrupt("a large job comes: %s in %s", j.id, zone)
			if !w.submit(j) {
				w.rec.say("the large job was not accepted")
			}
		}
	}
	time.Sleep(14 * time.Second)
	w.watchEnds(w.stream("short, urgent", zones, urgent, 15*time.Second, 200*time.Millisecond))
	return true
}

// lostZone: all machines and executors of a zone lose power and stay away.
func lostZone(w *world, trouble bool) bool {
	var jobs []*job
	for _, zone := range zones {
		for range 6 {
			j := w.newJob("of several seconds", zone, normal, newStep(2, 4000, 256, 8*time.Second))
			if w.submit(j) {
				jobs = append(jobs, j)
			}
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		w.disrupt("zone %s is lost", zones[2])
		for _, d := range w.daemons {
			if d.zone == zones[2] {
				d.signal(syscall.SIGKILL)
			}
		}
		for _, x := range w.executors {
			if x.zone == zones[2] {
				x.crash()
			}
		}
	}
	jobs = append(jobs, w.stream("short", zones, normal, 15*time.Second, 300*time.Millisecond)...)
	w.watchEnds(jobs)
	return true
}
