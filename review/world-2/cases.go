package main

import (
	"net/http"
	"time"
)

// cuts has the executor of a lasting task cut off three times. Later the three executors are replaced as
// planned, and the owner's daemon restarts.
func cuts(w *world) (bool, error) {
	j := newJob("lasts", step{Count: 1, CPU: 3000, MemoryMB: 64, EstimateMS: 1000, LongRunning: true})
	if !w.submit(w.machines[0], j) || !w.awaitRunning(j, 5*time.Second) {
		return false, errUnplayable("the job does not run")
	}
	task := j.tasks()[0]
	var been []*executor
	for range 3 {
		time.Sleep(2 * time.Second)
		if !w.awaitRunning(j, 12*time.Second) {
			return false, errUnplayable("the task does not run again")
		}
		e := w.where(task)
		been = append(been, e)
		if w.trouble {
			e.cut(5500 * time.Millisecond)
		} else {
			time.Sleep(5500 * time.Millisecond)
		}
	}
	time.Sleep(8 * time.Second)
	replaced := map[*executor]bool{}
	for _, e := range been {
		if !replaced[e] {
			replaced[e] = true
			go e.retire(4 * time.Second)
		}
	}
	time.Sleep(9 * time.Second)
	_, before := w.state(w.machines[len(w.machines)-1], j.ID)
	owner := w.owner(w.zones[0])
	if owner == nil {
		return false, errUnplayable("no owner is known")
	}
	w.record.say("planned: %s is restarted (SIGTERM); the job is %s", owner.name, before)
	owner.signal(15)
	owner.wait(7 * time.Second)
	if err := owner.start(); err != nil {
		return false, err
	}
	state := ""
	for range 20 {
		time.Sleep(500 * time.Millisecond)
		if _, state = w.state(w.machines[len(w.machines)-1], j.ID); state == "failed" {
			break
		}
	}
	w.record.say("the job, of which no run has ended failed and no executor has crashed, is shown as %s; it runs: %v", state, w.runs.isRunning(task))
	return state != "failed", nil
}

// label has the only executors of a job's home that carry its label drain and leave, as planned. Those of
// the other zones stay.
func label(w *world) (bool, error) {
	j := newJob("lasts", step{Count: 1, CPU: 3000, MemoryMB: 64, EstimateMS: 1000, Requires: "b", LongRunning: true})
	if !w.submit(w.machines[0], j) || !w.awaitRunning(j, 5*time.Second) {
		return false, errUnplayable("the job does not run")
	}
	time.Sleep(3 * time.Second)
	home := w.where(j.tasks()[0]).zone
	others := 0
	for _, e := range w.executors {
		if e.labels[0] == "b" && e.zone == home && w.trouble {
			go e.leave(2500 * time.Millisecond)
			time.Sleep(time.Second)
		}
		if e.labels[0] == "b" && e.zone != home {
			others++
		}
	}
	time.Sleep(4 * time.Second)
	lost := w.watchLasting(j, 25*time.Second)
	w.record.say("home %s; %d executors with the label stay in other zones; the task runs: %v; lost: %d", home, others, w.runs.isRunning(j.tasks()[0]), len(lost))
	return len(lost) == 0, nil
}

// pending has jobs wait in one zone, then the owner's daemon of that zone is killed once.
func pending(w *world) (bool, error) {
	var jobs []job
	for range 14 {
		j := newJob("work=15000", step{Count: 1, CPU: 30000, MemoryMB: 64, EstimateMS: 15000, Requires: "r1-1"})
		if w.submit(w.machines[0], j) {
			jobs = append(jobs, j)
		}
	}
	time.Sleep(visibleTime + pendingDelay + time.Second)
	waiting := func() int {
		n := 0
		for _, j := range jobs {
			if w.runs.starts[j.tasks()[0]] == 0 {
				n++
			}
		}
		return n
	}
	asked := w.in(w.zones[1])[0]
	owner := w.owner(w.zones[0])
	if w.trouble {
		w.record.say("trouble: %s is killed, and starts again a second later", owner.name)
		owner.kill()
		time.AfterFunc(time.Second, func() { _ = owner.start() })
	}
	bad, least := 0, 1000
	began := time.Now()
	first, last := time.Duration(0), time.Duration(0)
	for time.Since(began) < 6*time.Second {
		status, answer := w.send(asked, http.MethodGet, prefix, nil)
		shown, _ := answer["pending"].(float64)
		w.runs.mu.Lock()
		have := waiting()
		w.runs.mu.Unlock()
		if status == http.StatusOK && int(shown)*2 < have {
			if bad == 0 {
				first = time.Since(began)
			}
			bad, last, least = bad+1, time.Since(began), min(least, int(shown))
			w.record.add("MIXED      %s shows %d pending, of %d jobs that were accepted over 5 s ago and haven't begun", asked.name, int(shown), have)
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.record.say("%d jobs accepted, %d still wait; %d answers with under half of them, from %v to %v after the kill", len(jobs), waiting(), bad, first.Round(time.Millisecond), last.Round(time.Millisecond))
	return bad == 0, nil
}

// takeover loses one executor and, just after it, the machine of the daemon that owns the zone's
// executors. The tasks that are watched ran at the other executors, which stay sound.
func takeover(w *world) (bool, error) {
	j := newJob("lasts", step{Count: 3, CPU: 17000, MemoryMB: 64, EstimateMS: 1000, LongRunning: true})
	if !w.submit(w.machines[0], j) || !w.awaitRunning(j, 5*time.Second) {
		return false, errUnplayable("the job does not run")
	}
	time.Sleep(3 * time.Second)
	e := w.where(j.tasks()[0])
	owner := w.owner(e.zone)
	watched := j
	watched.only = nil
	for _, task := range j.tasks() {
		if w.where(task) != e {
			watched.only = append(watched.only, task)
		}
	}
	w.record.say("the 3 tasks run at 3 of the 4 executors of %s, which %s owns", e.zone, owner.name)
	if w.trouble {
		e.crash(0)
		time.Sleep(300 * time.Millisecond)
		w.record.say("trouble: machine %s is lost for good", owner.name)
		owner.kill()
	}
	time.Sleep(calmBefore)
	lost := w.watchLasting(watched, 24*time.Second)
	var longest time.Duration
	for _, span := range lost {
		longest = max(longest, span)
	}
	w.record.say("%d of the %d tasks at sound executors were lost for a time, %v at most beyond the %v that a task may be away", len(lost), len(watched.only), longest.Round(time.Millisecond), lastingAway)
	return len(lost) == 0, nil
}
