package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/burdockward/burdockward/platform/wire"
)

// Sizes of the case of the timed jobs.
const (
	memoryLimitMB = 284
	timedJobs     = 120
	timedRepeats  = 7200
	timedInterval = 10 * time.Second
	timedPause    = 33 * time.Millisecond
	memoryWatch   = 45 * time.Second
	restartDelay  = time.Second
	endsAllowed   = 3
	endsMachines  = 2
	otherJobs     = 6
)

// residentMB is the resident memory of the daemon's process in megabytes; 0 if it has ended.
func (m *machine) residentMB() int {
	m.mu.Lock()
	pid := m.process.Process.Pid
	m.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb >> 10
		}
	}
	return 0
}

// limitMemory kills the daemon whenever it exceeds its memory, as the platform does, and starts it
// again after a short delay, until the end of the case. It counts the kills.
func (m *machine) limitMemory(until time.Time, kills map[string]int, mu *sync.Mutex) {
	most := 0
	for time.Now().Before(until) {
		time.Sleep(20 * time.Millisecond)
		mb := m.residentMB()
		most = max(most, mb)
		if mb <= memoryLimitMB {
			continue
		}
		m.w.record.say("%s has %d MB of %d and is killed by the platform", m.name, mb, memoryLimitMB)
		m.kill()
		mu.Lock()
		kills[m.name]++
		mu.Unlock()
		time.Sleep(restartDelay)
		_ = m.start()
	}
	m.w.record.say("%s had %d MB at most", m.name, most)
}

// timed has a burst of jobs that repeat for a day come at once, at the machines of one zone, where other
// jobs run.
func timed(w *world) (bool, error) {
	var others []job
	for range otherJobs {
		j := newJob("work=12000", step{Count: 2, CPU: 2000, MemoryMB: 64, EstimateMS: 12000, Requires: "r1-1"})
		if !w.submit(w.in(w.zones[0])[0], j) {
			return false, errUnplayable("a job was not accepted")
		}
		others = append(others, j)
	}
	time.Sleep(time.Second)
	kills, mu := map[string]int{}, &sync.Mutex{}
	until := time.Now().Add(memoryWatch)
	var watches sync.WaitGroup
	for _, m := range w.machines {
		watches.Go(func() { m.limitMemory(until, kills, mu) })
	}
	jobs := timedJobs
	if !w.trouble {
		jobs = timedJobs / 10
	}
	accepted := 0
	for i := range jobs {
		j := newJob("work=30", step{Count: 1, CPU: 1000, MemoryMB: 64, EstimateMS: 30})
		j.RepeatCount, j.FirstRunMS, j.IntervalMS = timedRepeats, float64(time.Now().Add(time.Minute).UnixMilli()), float64(timedInterval.Milliseconds())
		w.demands.set(j.ID, []wire.Resources{{CPU: 1000, MemoryMB: 64}})
		if status, _ := w.send(w.in(w.zones[0])[i%2], "POST", prefix+j.ID, j); status == 200 {
			accepted++
		}
		time.Sleep(timedPause)
	}
	w.record.say("%d of %d jobs accepted", accepted, jobs)
	time.Sleep(finishTime)
	lost := w.watchJobs(others, time.Until(until)-time.Second)
	watches.Wait()
	for _, j := range others {
		_, state := w.state(w.in(w.zones[1])[0], j.ID)
		w.record.add("job        %s is %s", j.ID, state)
	}
	w.record.say("of %d other jobs %d were lost", len(others), len(lost))
	machines := 0
	for _, n := range kills {
		if n >= endsAllowed {
			machines++
		}
	}
	w.record.say("kills for exceeding the memory: %v", kills)
	if machines >= endsMachines {
		w.record.say("Fault: on %d machines the daemon was killed %d times or more", machines, endsAllowed)
	}
	return len(lost) == 0, nil
}
