package main

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/burdockward/burdockward/platform/wire"
)

// Bounds of the settings (kasa-sofia).
const (
	cancelTime  = 3000 * time.Millisecond
	contactTime = 3000 * time.Millisecond
	visibleTime = 3000 * time.Millisecond
	finishTime  = 14 * time.Second
	ackTimeout  = 4000 * time.Millisecond
	idleTime    = 3 * time.Second
)

// together runs functions at the same time and waits for all.
func together(n int, do func(int)) {
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() { do(i) })
	}
	all.Wait()
}

// startsOf lists the starts of a job.
func (w *world) startsOf(id string) []start {
	var list []start
	for _, s := range w.runs.all() {
		if s.job == id {
			list = append(list, s)
		}
	}
	return list
}

// hasRunning reports whether a task of a job is at work.
func (w *world) hasRunning(id string) bool {
	return slices.ContainsFunc(w.startsOf(id), func(s start) bool { return s.ended.IsZero() })
}

// isDone reports whether all tasks of a job have ended done.
func (w *world) isDone(j *job) bool {
	done := map[string]bool{}
	for _, s := range w.startsOf(j.ID) {
		if s.how == "done" {
			done[s.task] = true
		}
	}
	tasks := 0
	for _, st := range j.steps {
		tasks += st.Count
	}
	return len(done) == tasks
}

// use returns the processor of the service that is up, what is in use of it, and what is free for a job on the
// executors outside of a zone that have the labels which its steps require, and memory for one more of its tasks.
func (w *world) use(without string, j *job) (capacity, used, free int64) {
	for _, e := range w.executors {
		e.mu.Lock()
		if e.up {
			capacity += e.capacity
			busy, memory := int64(0), int64(0)
			for _, r := range e.running {
				busy += r.cpu
				memory += r.mem
			}
			used += busy
			if e.zone != without && j.mayUse(e.labels) && memory+j.largest() <= executorMB {
				free += e.capacity - busy
			}
		}
		e.mu.Unlock()
	}
	return capacity, used, free
}

// largest returns the memory of the job's largest task.
func (j *job) largest() int64 {
	most := int64(0)
	for _, st := range j.steps {
		most = max(most, st.MemMB)
	}
	return most
}

// mayUse reports whether an executor with these labels may run all of a job's tasks.
func (j *job) mayUse(labels []string) bool {
	for _, st := range j.steps {
		if st.Requires != "" && !slices.Contains(labels, st.Requires) {
			return false
		}
	}
	return true
}

// lostAtEnd is the check of LOST at the end of the traffic: of the jobs that aren't done, which have nothing
// running for 3 s although a task's turn has come, there is capacity for it twice over and under half of the
// service's capacity is in use; and which are unknown or without answer.
func (w *world) lostAtEnd(jobs []*job, at *machine, without string) string {
	idle := map[*job]time.Time{}
	for end := time.Now().Add(idleTime + 500*time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, j := range jobs {
			capacity, used, free := w.use(without, j)
			need := int64(0)
			for _, st := range j.steps {
				need = max(need, st.CPU*int64(st.Count))
			}
			if w.isDone(j) || w.hasRunning(j.ID) || free < 2*need || 2*used >= capacity {
				delete(idle, j)
			} else if idle[j].IsZero() {
				idle[j] = time.Now()
			}
		}
	}
	var lost []string
	for _, j := range jobs {
		state := w.ask(at, j, false)
		since, is := idle[j]
		switch {
		case is && time.Since(since) >= idleTime:
			lost = append(lost, fmt.Sprintf("%s (shown as %q, %d starts)", j.ID, state, len(w.startsOf(j.ID))))
		case state == "" || state == "410":
			lost = append(lost, fmt.Sprintf("%s (answer %q)", j.ID, state))
		}
	}
	if len(lost) == 0 {
		return ""
	}
	capacity, used, free := w.use(without, jobs[0])
	return fmt.Sprintf("LOST: %d of %d accepted jobs have nothing running for 3 s, %v after the end of the traffic; capacity %d, in use %d, free for the first of them %d (without %q); %s",
		len(lost), len(jobs), finishTime, capacity, used, free, without, strings.Join(lost[:min(4, len(lost))], ", "))
}

// threeZones adds the same executors in each zone.
func threeZones(w *world) error {
	w.addRoute("batch", 1, 60000, 3)
	for _, zone := range w.zones {
		if err := w.addExecutors(zone, 4, 8000, "a"); err != nil {
			return err
		}
	}
	return nil
}

// acceptJobs hands jobs in, at machines in turn, and returns those that were accepted.
func (w *world) acceptJobs(at []*machine, count int, pause time.Duration, make func(int) *job) []*job {
	var mu sync.Mutex
	var jobs []*job
	list := []*job{}
	for i := range count {
		list = append(list, make(i))
	}
	together(count, func(i int) {
		time.Sleep(time.Duration(i) * pause)
		if w.submitUntilAccepted(at[i%len(at):], list[i], 4*time.Second) {
			mu.Lock()
			jobs = append(jobs, list[i])
			mu.Unlock()
		}
	})
	return jobs
}

// zoneGone: the machines of one zone are removed for good, its executors stay.
func zoneGone(r *record, seed uint64, trouble bool) (string, error) {
	w, err := deploy(r, seed, 2, threeZones)
	if err != nil {
		return "", err
	}
	jobs := w.acceptJobs(w.in("hall-c"), 8, 50*time.Millisecond, func(int) *job {
		return w.newJob("batch", step{Count: 2, CPU: 2000, Estimate: 4000})
	})
	if len(jobs) == 0 {
		return "", fmt.Errorf("no job was accepted")
	}
	time.Sleep(time.Second)
	if trouble {
		together(2, func(i int) { w.in("hall-c")[i].removeForGood() })
	}
	time.Sleep(finishTime + 3*time.Second)
	why := w.lostAtEnd(jobs, w.in("hall-a")[0], "hall-c")
	// For the record alone: whether such a job can be cancelled.
	w.cancel(w.in("hall-b")[0], jobs[0], ackTimeout)
	return why, nil
}

// evacuated: a zone is evacuated while its jobs have a step to come.
func evacuated(r *record, seed uint64, trouble bool) (string, error) {
	w, err := deploy(r, seed, 2, threeZones)
	if err != nil {
		return "", err
	}
	jobs := w.acceptJobs(w.in("hall-c"), 8, 50*time.Millisecond, func(int) *job {
		return w.newJob("batch", step{Count: 1, CPU: 2000, Estimate: 2000}, step{Count: 1, CPU: 2000, Estimate: 1000, After: []int{0}})
	})
	if len(jobs) == 0 {
		return "", fmt.Errorf("no job was accepted")
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		w.store.put(wire.OperatorTable, wire.CordonPrefix+"hall-c", struct{}{})
		w.record.add("operator", "evacuates hall-c")
	}
	time.Sleep(finishTime + 3*time.Second)
	return w.lostAtEnd(jobs, w.in("hall-a")[0], "hall-c"), nil
}

// distrusted: the one executor of a kind in a zone fails all that it starts for some seconds, and is sound again.
func distrusted(r *record, seed uint64, trouble bool) (string, error) {
	w, err := deploy(r, seed, 1, func(w *world) error {
		w.addRoute("batch", 1, 60000, 3)
		for _, zone := range w.zones {
			if err := w.addExecutors(zone, 3, 8000, "a"); err != nil {
				return err
			}
			if err := w.addExecutors(zone, 1, 8000, "b"); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return "", err
	}
	grey := w.executors[len(w.executors)-1]
	if trouble {
		grey.setFailing(true)
		time.AfterFunc(6500*time.Millisecond, func() { grey.setFailing(false) })
	}
	jobs := w.acceptJobs(w.in("hall-c"), 4, 0, func(int) *job {
		return w.newJob("batch", step{Count: 1, CPU: 2000, Estimate: 500, Requires: "b"})
	})
	if len(jobs) == 0 {
		return "", fmt.Errorf("no job was accepted")
	}
	time.Sleep(6500*time.Millisecond + finishTime + 3*time.Second)
	return w.lostAtEnd(jobs, w.in("hall-a")[0], ""), nil
}

// Times of LOST for tasks that last: from lastingTime after its last run a task has to run again, if the idleTime and
// the calmBefore before it are calm.
const (
	lastingTime = 6 * time.Second
	calmBefore  = 4 * time.Second
)

// lastingAfterCrash: an executor crashes and is back some seconds later, while each executor of its zone runs a task
// that lasts.
func lastingAfterCrash(r *record, seed uint64, trouble bool) (string, error) {
	w, err := deploy(r, seed, 1, threeZones)
	if err != nil {
		return "", err
	}
	jobs := w.acceptJobs(w.in("hall-c"), 4, 20*time.Millisecond, func(int) *job {
		return w.newJob("batch", step{Count: 1, CPU: 5000, Estimate: 600_000, Lasting: true})
	})
	if len(jobs) == 0 {
		return "", fmt.Errorf("no job was accepted")
	}
	time.Sleep(10 * time.Second)
	calm := time.Now()
	if trouble {
		// The executor that runs the most tasks.
		var most *executor
		for _, e := range w.executors {
			if e.up && (most == nil || len(e.running) > len(most.running)) {
				most = e
			}
		}
		w.record.add("judge", "%d tasks run at %s", len(most.running), most.id)
		most.crash("crashed")
		id := most.id
		time.AfterFunc(4*time.Second, func() { w.store.remove(wire.TargetsTable, id) })
		time.Sleep(4500 * time.Millisecond)
		if err := most.bootAs(fmt.Sprintf("i-%08x", w.random.Uint32())); err != nil {
			return "", err
		}
		calm = time.Now()
	}
	// idle has the jobs whose task doesn't run, lost for how long it has been late.
	idle, lost := map[*job]time.Time{}, map[*job]time.Duration{}
	for end := time.Now().Add(50 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, j := range jobs {
			capacity, used, free := w.use("", j)
			starts := w.startsOf(j.ID)
			last := calm
			for _, s := range starts {
				if s.ended.After(last) {
					last = s.ended
				}
			}
			if w.hasRunning(j.ID) || free < 10000 || 2*used >= capacity || time.Since(last) < lastingTime || time.Since(calm) < calmBefore {
				delete(idle, j)
				continue
			}
			if idle[j].IsZero() {
				idle[j] = time.Now()
			}
			if late := time.Since(idle[j]); late >= idleTime {
				lost[j] = late
			}
		}
	}
	if len(lost) == 0 {
		return "", nil
	}
	longest := time.Duration(0)
	for j, late := range lost {
		longest = max(longest, late)
		w.record.add("judge", "%s: its task didn't run for %v, from %v after its last run or the end of the disruption on", j.ID, late.Round(time.Millisecond), lastingTime)
	}
	capacity, used, free := w.use("", jobs[0])
	return fmt.Sprintf("LOST: %d of %d tasks that last isn't started again for %v, counted from %v after the executor was back; capacity %d, in use %d, free %d",
		len(lost), len(jobs), longest.Round(time.Second), lastingTime, capacity, used, free), nil
}

// behindLargeMemory: a job waits for memory that tasks which last hold; small jobs come after it.
func behindLargeMemory(r *record, seed uint64, trouble bool) (string, error) {
	w, err := deploy(r, seed, 1, threeZones)
	if err != nil {
		return "", err
	}
	at := w.in("hall-c")
	held := w.acceptJobs(at, 4, 50*time.Millisecond, func(int) *job {
		return w.newJob("batch", step{Count: 1, CPU: 500, MemMB: 40000, Estimate: 600_000, Lasting: true})
	})
	time.Sleep(time.Second)
	if trouble {
		w.acceptJobs(at, 1, 0, func(int) *job {
			return w.newJob("batch", step{Count: 1, CPU: 500, MemMB: 40000, Estimate: 2000})
		})
	}
	time.Sleep(time.Second)
	jobs := w.acceptJobs(at, 8, 50*time.Millisecond, func(int) *job {
		return w.newJob("batch", step{Count: 1, CPU: 1000, MemMB: 64, Estimate: 1000})
	})
	if len(held) < 4 || len(jobs) == 0 {
		return "", fmt.Errorf("jobs were not accepted")
	}
	time.Sleep(finishTime + 3*time.Second)
	return w.lostAtEnd(jobs, w.in("hall-a")[0], ""), nil
}

// cancelWhileStored: answers of the store are lost, so that some clients get no 2xx; these cancel.
func cancelWhileStored(r *record, seed uint64, trouble bool) (string, error) {
	w, err := deploy(r, seed, 1, threeZones)
	if err != nil {
		return "", err
	}
	const jobsCount = 120
	steps := []step{}
	for i := range 10 {
		st := step{Count: 1, CPU: 500, Estimate: 1500}
		if i > 0 {
			st.After = []int{i - 1}
		}
		steps = append(steps, st)
	}
	jobs := []*job{}
	for range jobsCount {
		jobs = append(jobs, w.newJob("batch", steps...))
	}
	calm := time.Now()
	if trouble {
		w.store.setLost(0.35)
		calm = time.Now().Add(4500 * time.Millisecond)
		time.AfterFunc(4500*time.Millisecond, func() { w.store.setLost(0) })
	}
	together(jobsCount, func(i int) {
		time.Sleep(time.Duration(i) * 30 * time.Millisecond)
		at := w.machines[i%len(w.machines)]
		status := w.submit(at, jobs[i])
		switch {
		case status/100 == 2 && i%4 == 0:
			// Some clients cancel an accepted job.
			time.Sleep(300 * time.Millisecond)
			w.cancel(at, jobs[i], 10*time.Second)
		case status == 0 || status == 504 || status == 502:
			// A client without an answer leaves, and cancels what it may have handed in.
			w.cancel(at, jobs[i], 10*time.Second)
		}
	})
	time.Sleep(time.Until(calm.Add(contactTime + cancelTime + 8*time.Second)))
	late, ran := map[string]string{}, 0
	cancelled := 0
	for _, j := range jobs {
		if j.cancelOK.IsZero() {
			continue
		}
		cancelled++
		for _, s := range w.startsOf(j.ID) {
			if s.at.After(j.cancelOK.Add(cancelTime)) && s.at.After(calm.Add(contactTime)) {
				ran++
				late[j.ID] = fmt.Sprintf("%s was started %v after its cancelling was acknowledged with %d, %v after the store was calm", s.task,
					s.at.Sub(j.cancelOK).Round(time.Millisecond), j.cancelStatus, s.at.Sub(calm).Round(time.Millisecond))
			}
		}
	}
	w.record.add("judge", "%d jobs cancelled, %d of them started tasks later than cancel_ms after that", cancelled, len(late))
	for id, what := range late {
		w.record.add("judge", "%s: %s", id, what)
	}
	for _, what := range late {
		return fmt.Sprintf("UNASKED: %d of %d cancelled jobs had %d late starts, the last one of a job: %s", len(late), cancelled, ran, what), nil
	}
	return "", nil
}

// hugeCounts: a client hands in a job whose steps have counts beyond all bounds, and sends it again after
// each broken connection, as clients do.
func hugeCounts(r *record, seed uint64, trouble bool) (string, error) {
	w, err := deploy(r, seed, 1, threeZones)
	if err != nil {
		return "", err
	}
	counts := []int{4, 4}
	if trouble {
		counts = []int{math.MaxInt64, math.MaxInt64, 10}
	}
	var steps []step
	for _, count := range counts {
		steps = append(steps, step{Count: count, CPU: 500, Estimate: 100})
	}
	bad := w.newJob("batch", steps...)
	bad.body.BestEffort = true
	ordinary, answered := 0, 0
	var mu sync.Mutex
	stop := make(chan struct{})
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			m := w.machines[i%len(w.machines)]
			go func() {
				j := w.newJob("batch", step{Count: 2, CPU: 500, Estimate: 100})
				j.body.BestEffort = true
				status := w.submit(m, j)
				mu.Lock()
				defer mu.Unlock()
				ordinary++
				if status == 200 {
					answered++
				}
			}()
		}
	}()
	for i := range 9 {
		m := w.machines[i%len(w.machines)]
		for end := time.Now().Add(8 * time.Second); !m.isReady() && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		}
		status, answer, err := w.call(m, "POST", "/batch/"+bad.ID, bad.body, clientDeadline)
		w.record.add("client", "POST %s with counts %v at %s -> %d %v %s", bad.ID, counts, m.name, status, answer, errText(err))
		if status == 200 || status == 400 {
			break
		}
		time.Sleep(1300 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	over, total := 0, 0
	for _, m := range w.machines {
		m.mu.Lock()
		w.record.add("platform", "%s: %d ends by itself, %d of them over its memory, peak %d MB", m.name, m.ends, m.killed, m.peakMB)
		total += m.ends
		if m.ends >= 3 {
			over++
		}
		m.mu.Unlock()
	}
	mu.Lock()
	defer mu.Unlock()
	w.record.add("judge", "ordinary jobs: %d of %d answered with 200", answered, ordinary)
	if over >= 2 {
		return fmt.Sprintf("Fault: the processes of %d of %d machines ended by themselves three times, %d ends in all, without a disruption; ordinary jobs answered: %d of %d", over, len(w.machines), total, answered, ordinary), nil
	}
	return "", nil
}

// pendingAfterTakeover: the owner's process is killed while its jobs wait; another machine is asked for their number.
func pendingAfterTakeover(r *record, seed uint64, trouble bool) (string, error) {
	w, err := deploy(r, seed, 2, func(w *world) error {
		w.addRoute("batch", 1, 60000, 3)
		for _, zone := range w.zones {
			label := "a"
			if zone == "hall-c" {
				label = "b"
			}
			if err := w.addExecutors(zone, 2, 8000, label); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return "", err
	}
	// Two executors of kind b hold four of these tasks; the others wait.
	jobs := w.acceptJobs(w.in("hall-c"), 24, 30*time.Millisecond, func(int) *job {
		return w.newJob("batch", step{Count: 1, CPU: 4000, Estimate: 8000, Requires: "b"})
	})
	time.Sleep(visibleTime + 2*time.Second)
	asked := w.in("hall-a")[0]
	type sample struct {
		at               time.Time
		answer, expected int
	}
	var samples []sample
	if trouble {
		time.AfterFunc(time.Second, func() {
			if m := w.owner("hall-c"); m != nil {
				m.kill("node_kill, first that which last wrote to the store under a condition")
			}
		})
	}
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		// What has begun until the answer doesn't count.
		got := w.pending(asked, "batch")
		waiting := 0
		for _, j := range jobs {
			if time.Since(j.accepted) > visibleTime+2*time.Second && len(w.startsOf(j.ID)) == 0 {
				waiting++
			}
		}
		samples = append(samples, sample{time.Now(), got, waiting})
	}
	var wrong []sample
	for _, s := range samples {
		if s.answer >= 0 && 2*s.answer < s.expected {
			wrong = append(wrong, s)
		}
	}
	w.record.add("judge", "%d jobs accepted, %d answers, %d of them under half of the jobs that wait", len(jobs), len(samples), len(wrong))
	for _, s := range wrong {
		w.record.add("judge", "pending %d, while %d jobs wait that were accepted over 5 s before", s.answer, s.expected)
	}
	if len(wrong) == 0 {
		return "", nil
	}
	first, last := wrong[0], wrong[len(wrong)-1]
	return fmt.Sprintf("MIXED: %s, which is in touch, gives %d as pending while %d jobs wait that were accepted over 5 s before; %d such answers within %v",
		asked.name, first.answer, first.expected, len(wrong), last.at.Sub(first.at).Round(time.Millisecond)), nil
}

// adoptedWhileTakenOver: the executors of a kind leave one zone, so that the jobs that wait for them move to
// another zone. Its owner's process is killed meanwhile, while the store is slow.
func adoptedWhileTakenOver(r *record, seed uint64, trouble bool) (string, error) {
	w, err := deploy(r, seed, 2, func(w *world) error {
		w.addRoute("batch", 1, 600000, 3)
		for _, zone := range w.zones {
			if err := w.addExecutors(zone, 2, 32000, "a"); err != nil {
				return err
			}
		}
		if err := w.addExecutors("hall-a", 1, 2000, "b"); err != nil {
			return err
		}
		if err := w.addExecutors("hall-a", 1, 2000, "c"); err != nil {
			return err
		}
		if err := w.addExecutors("hall-b", 4, 32000, "b"); err != nil {
			return err
		}
		return w.addExecutors("hall-c", 4, 32000, "c")
	})
	if err != nil {
		return "", err
	}
	// Jobs for later, which the owners keep beside the others.
	w.acceptJobs(w.machines, 3600, 2*time.Millisecond, func(int) *job {
		j := w.newJob("batch", step{Count: 1, CPU: 500, Estimate: 1000})
		j.body.RepeatCount, j.body.FirstRunMS, j.body.IntervalMS = 1, float64(time.Now().Add(time.Hour).UnixMilli()), 1000
		return j
	})
	jobs := w.acceptJobs(w.in("hall-a"), 600, 4*time.Millisecond, func(i int) *job {
		return w.newJob("batch", step{Count: 1, CPU: 2000, Estimate: 300, Requires: []string{"b", "c"}[i%2]})
	})
	if len(jobs) < 500 {
		return "", fmt.Errorf("only %d jobs accepted", len(jobs))
	}
	leaving := slices.Clone(w.executors[6:8])
	time.Sleep(1500 * time.Millisecond)
	for _, e := range leaving {
		e.drain()
	}
	time.AfterFunc(2500*time.Millisecond, func() {
		for _, e := range leaving {
			e.leave()
		}
	})
	time.Sleep(1200 * time.Millisecond)
	if trouble {
		w.store.setSlow(60)
		time.AfterFunc(4500*time.Millisecond, func() { w.store.setSlow(1) })
		time.Sleep(300 * time.Millisecond)
		together(2, func(i int) {
			if m := w.owner([]string{"hall-b", "hall-c"}[i]); m != nil {
				m.kill("node_kill, first that which last wrote to the store under a condition")
			}
		})
	}
	time.Sleep(10*time.Second + finishTime + 12*time.Second)
	return w.lostAtEnd(jobs, w.in("hall-a")[0], ""), nil
}

// otherKind: executors crash and start again under their ID as another kind.
func otherKind(r *record, seed uint64, trouble bool) (string, error) {
	w, err := deploy(r, seed, 1, func(w *world) error {
		w.births = true
		w.addRoute("batch", 1, 600000, 3)
		for _, zone := range w.zones {
			if err := w.addExecutors(zone, 4, 4000, "a"); err != nil {
				return err
			}
			if err := w.addExecutors(zone, 4, 4000, "b"); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return "", err
	}
	var jobs []*job
	accepted := make(chan []*job, 1)
	go func() {
		accepted <- w.acceptJobs(w.machines, 300, 60*time.Millisecond, func(int) *job {
			return w.newJob("batch", step{Count: 1, CPU: 4000, Estimate: 900, Requires: "a"})
		})
	}()
	time.Sleep(3 * time.Second)
	if trouble {
		// One executor of kind a in each zone crashes, and is back as kind b 3.5 s later.
		crashed := []*executor{}
		for _, zone := range w.zones {
			for _, e := range w.executors {
				if e.zone == zone && e.labels[0] == "a" {
					crashed = append(crashed, e)
					break
				}
			}
		}
		for _, e := range crashed {
			e.crash("crashed")
		}
		time.Sleep(3500 * time.Millisecond)
		for _, e := range crashed {
			if err := e.boot([]string{"b", "r-" + e.zone}, 4000); err != nil {
				return "", err
			}
		}
	}
	jobs = <-accepted
	time.Sleep(4 * time.Second)
	wrong := 0
	example := ""
	for _, s := range w.runs.all() {
		if !slices.Contains(s.labels, "a") {
			wrong++
			example = fmt.Sprintf("%s at %s with labels %v", s.task, s.executor, s.labels)
			w.record.add("judge", "started without the label: %s", example)
		}
	}
	if wrong == 0 {
		return "", nil
	}
	return fmt.Sprintf("ROUTE: %d starts of %d jobs on executors without the label in requires: %s", wrong, len(jobs), example), nil
}

// farFuture: a client schedules a job for a time far ahead.
func farFuture(r *record, seed uint64, trouble bool) (string, error) {
	w, err := deploy(r, seed, 1, threeZones)
	if err != nil {
		return "", err
	}
	due := time.Now().Add(30 * time.Second).UnixMilli()
	if trouble {
		due = 253402300799000 // 9999-12-31
	}
	jobs := w.acceptJobs(w.machines, 3, 0, func(int) *job {
		j := w.newJob("batch", step{Count: 1, CPU: 500, Estimate: 500})
		j.body.RepeatCount, j.body.FirstRunMS, j.body.IntervalMS = 1, float64(due), 1000
		return j
	})
	time.Sleep(10 * time.Second)
	for _, j := range jobs {
		for _, s := range w.startsOf(j.ID) {
			if early := time.Until(time.UnixMilli(due)); early > 250*time.Millisecond {
				return fmt.Sprintf("ORDER: %s was started %v before its time", s.task, early), nil
			}
		}
	}
	return "", nil
}
