package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
	"time"
)

// Sizes of the case of the growing row.
const (
	rowTasks    = 170
	occurrences = 47
	rowInterval = 900 * time.Millisecond
	rowCrashes  = 5
	shortJobs   = 8
	cancelJobs  = 24
	rowVictims  = shortJobs + cancelJobs
	ackTime     = 4 * time.Second
	fillerJobs  = 16
	fillerTasks = 170
	lastJobs    = 8
)

// growingRow has a repeated job run while an executor crashes now and then; meanwhile other jobs are
// handed in, of which some are cancelled later.
func growingRow(w *world) (bool, error) {
	j := newJob("work=500", step{Count: rowTasks, CPU: 180, MemoryMB: 64, EstimateMS: 500})
	j.RepeatCount, j.FirstRunMS, j.IntervalMS = occurrences, float64(time.Now().Add(time.Second).UnixMilli()), float64(rowInterval.Milliseconds())
	if !w.submit(w.machines[0], j) {
		return false, errUnplayable("the job was not accepted")
	}
	began := time.Now()
	for i := range rowCrashes {
		time.Sleep(time.Until(began.Add(time.Duration(3500+4500*i) * time.Millisecond)))
		for end := time.Now().Add(2 * time.Second); w.trouble && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if e, runs := w.busiest(); runs >= rowTasks*3/4 {
				e.crash(3500 * time.Millisecond)
				break
			}
		}
	}
	time.Sleep(time.Until(began.Add(26 * time.Second)))
	var victims []job
	for i := range rowVictims {
		spec, estimate := "work=20000", 20000.0
		if i >= shortJobs {
			spec, estimate = "work=200000", 200000.0
		}
		v := newJob(spec, step{Count: 1, CPU: 100, MemoryMB: 64, EstimateMS: estimate, Requires: "r1-1"})
		v.ID = evenID(i)
		if w.submit(w.machines[0], v) {
			victims = append(victims, v)
		}
	}
	for time.Sleep(time.Until(began.Add(30 * time.Second))); time.Since(began) < 52*time.Second; time.Sleep(3 * time.Second) {
		w.record.add("store      the progress row of the repeated job has %d bytes", w.progressBytes(j.ID))
	}
	return w.judgeRow(partitionOf(j.ID), victims)
}

// judgeRow hands in further jobs, whose IDs are of the other partitions, and returns whether the last of
// them were done or at least ran. It also counts the earlier jobs that get no answer.
func (w *world) judgeRow(partition int, victims []job) (bool, error) {
	w.countUnanswered(victims)
	for range fillerJobs {
		j := newJob("work=30", step{Count: fillerTasks, CPU: 500, MemoryMB: 16, EstimateMS: 30, Requires: "r1-1"})
		j.ID = idOutside(partition)
		if !w.submit(w.machines[0], j) {
			return false, errUnplayable("a job was not accepted")
		}
	}
	time.Sleep(3 * time.Second)
	var jobs []job
	for range lastJobs {
		j := newJob("work=300", step{Count: 2, CPU: 1000, MemoryMB: 16, EstimateMS: 300, Requires: "r1-1"})
		j.Steps = append(j.Steps, step{Count: 2, CPU: 1000, MemoryMB: 16, EstimateMS: 300, Requires: "r1-1", After: []int{0}})
		j.ID = idOutside(partition)
		if !w.submit(w.machines[0], j) {
			return false, errUnplayable("a job was not accepted")
		}
		jobs = append(jobs, j)
	}
	time.Sleep(finishTime)
	lost := w.watchJobs(jobs, 5*time.Second)
	w.record.say("of %d jobs of two steps in other partitions %d were lost", len(jobs), len(lost))
	return len(lost) == 0, nil
}

// countUnanswered cancels the long jobs and asks for the short ones, which have all run.
func (w *world) countUnanswered(victims []job) {
	asked := w.in(w.zones[1])[0]
	var unanswered, cancels, unshown, ended int
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, v := range victims {
		long := v.Spec != "work=20000"
		if !long && !w.runs.isDone(v.tasks()[0]) {
			continue
		}
		calls.Go(func() {
			ok := false
			for end := time.Now().Add(ackTime); !ok && time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				if long {
					status, _ := w.send(asked, http.MethodDelete, prefix+v.ID, nil)
					ok = status == http.StatusOK || status == http.StatusGone
				} else {
					_, state := w.state(asked, v.ID)
					ok = state == "completed"
				}
			}
			mu.Lock()
			defer mu.Unlock()
			switch {
			case long && !ok:
				unanswered++
				fallthrough
			case long:
				cancels++
			case !ok:
				unshown++
				fallthrough
			default:
				ended++
			}
		})
	}
	calls.Wait()
	w.record.say("cancels without 2xx or 410 after %v: %d of %d; jobs whose tasks have ended done and that aren't shown as completed: %d of %d; writes that the store refused: %d",
		ackTime, unanswered, cancels, unshown, ended, w.store.refused)
}

// busiest returns the executor with the most runs, and their number.
func (w *world) busiest() (*executor, int) {
	var best *executor
	most := 0
	for _, e := range w.executors {
		e.mu.Lock()
		if n := len(e.running); e.alive && n > most {
			best, most = e, n
		}
		e.mu.Unlock()
	}
	return best, most
}

// progressBytes is the size of a job's progress row.
func (w *world) progressBytes(id string) int {
	for part := range partitions {
		if value, ok := w.store.get("progress", fmt.Sprintf("jobs-%d", part), id); ok {
			return len(value)
		}
	}
	return 0
}

// partitionOf is the partition of the project's job rows that an ID falls into.
func partitionOf(id string) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return int(hash.Sum32() % partitions)
}

// evenID returns a random ID. Each four that follow each other fall into the four partitions, so that a
// run doesn't depend on the luck of the draw.
func evenID(i int) string {
	for {
		if id := newID(); partitionOf(id) == i%partitions {
			return id
		}
	}
}

// idOutside returns a random ID that falls into any partition but one.
func idOutside(partition int) string {
	for {
		if id := newID(); partitionOf(id) != partition {
			return id
		}
	}
}

// partitions is the number of partitions of the project's job rows.
const partitions = 4
