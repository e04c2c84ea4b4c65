package prepared

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/burdockward/burdockward/platform/wire"
)

// retryDelay is how long callers wait before they send a job again.
const retryDelay = 1300 * time.Millisecond

// maxSends is how often a caller sends one job.
const maxSends = 4

// Tally counts the outcomes of best-effort jobs.
type Tally struct {
	mu sync.Mutex
	// Completed, Failed, Refused and Lost are numbers of jobs. A lost one had no answer to any of
	// its sends.
	Completed, Failed, Refused, Lost int
	// Resent counts the sends after each job's first.
	Resent int
	// FalseRefusals lists jobs that were refused at their first send although a task had started.
	FalseRefusals []string
	// Slowest is the longest time to an answer to a first send.
	Slowest time.Duration
}

// String formats the counts as one line.
func (t *Tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d completed, %d failed, %d refused, %d lost, %d sent again, slowest first answer %v",
		t.Completed, t.Failed, t.Refused, t.Lost, t.Resent, t.Slowest.Round(time.Millisecond))
}

// Load submits best-effort jobs at a rate until the context ends, and waits for their answers. Each
// caller belongs to a failure domain and calls the VMs of that domain only.
func (d *Deployment) Load(ctx context.Context, perSecond int) *Tally {
	tally := &Tally{}
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var callers sync.WaitGroup
	for {
		select {
		case <-ctx.Done():
			callers.Wait()
			return tally
		case <-ticker.C:
			callers.Go(func() { d.submitJob(client, tally) })
		}
	}
}

// submitJob submits one job, and sends it again after retryDelay while it has no answer.
func (d *Deployment) submitJob(client *http.Client, tally *Tally) {
	id := fmt.Sprintf("%s%015x", bestEffortPrefix, rand.Uint64()>>4)
	domain := domainName(rand.IntN(d.options.Domains))
	body := drawJobBody(true, 150, 4)
	began := time.Now()
	for send := range maxSends {
		if send > 0 {
			time.Sleep(retryDelay)
			tally.update(func() { tally.Resent++ })
		}
		vm := d.pickVM(domain)
		status, state := post(client, vm, Path+id, body)
		if d.countAnswer(tally, id, status, state, send) {
			if took := time.Since(began); send == 0 {
				tally.update(func() { tally.Slowest = max(tally.Slowest, took) })
			}
			return
		}
	}
	tally.update(func() { tally.Lost++ })
}

// drawJobBody draws a job of up to maxTasks tasks whose run time is between 20 ms and 20 ms plus
// runRange.
func drawJobBody(bestEffort bool, runRange, maxTasks int) []byte {
	run := 20 + rand.IntN(runRange)
	body, err := json.Marshal(wire.Job{
		Spec: fmt.Sprint(run), BestEffort: bestEffort,
		Steps: []wire.Step{{Count: 1 + rand.IntN(maxTasks), CPU: taskCPU, MemoryMB: 64, EstimateMS: float64(run)}},
	})
	if err != nil {
		panic("encode job: " + err.Error())
	}
	return body
}

// update changes the counts under the mutex.
func (t *Tally) update(change func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change()
}

// countAnswer counts a final answer and reports whether it was one. A refusal of the first send
// promises that nothing has started. A refusal of a later send does not, since an earlier send
// without an answer may have started the job.
func (d *Deployment) countAnswer(tally *Tally, id string, status int, state string, send int) bool {
	switch {
	case status == http.StatusOK && state == "completed":
		tally.update(func() { tally.Completed++ })
	case status == http.StatusOK:
		tally.update(func() { tally.Failed++ })
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		started := d.Recorder.HasStarted(id)
		tally.update(func() {
			tally.Refused++
			if started && send == 0 {
				tally.FalseRefusals = append(tally.FalseRefusals, id)
			}
		})
	default:
		return false
	}
	return true
}

// pickVM draws a VM of a failure domain that is in rotation, or any VM of it if none is.
func (d *Deployment) pickVM(domain string) *VM {
	var all, ready []*VM
	for _, vm := range d.VMs {
		if vm.Domain != domain {
			continue
		}
		all = append(all, vm)
		if vm.inRotation.Load() {
			ready = append(ready, vm)
		}
	}
	if len(ready) > 0 {
		all = ready
	}
	return all[rand.IntN(len(all))]
}

// post submits a job to a VM, with a deadline of 5 s. The status is 0 without an answer.
func post(client *http.Client, vm *VM, path string, body []byte) (status int, state string) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm.Frontend()+path, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = Host
	request.Header.Set(wire.DeadlineHeader, "5000")
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	var answer wire.State
	_ = json.Unmarshal(data, &answer)
	return response.StatusCode, answer.State
}

// SubmitOversized submits a job with a task that needs more than the capacity of any target.
func (d *Deployment) SubmitOversized() {
	body, err := json.Marshal(wire.Job{BestEffort: true, Steps: []wire.Step{{Count: 1, CPU: 2 * targetCPU, EstimateMS: 50}}})
	if err != nil {
		panic("encode job: " + err.Error())
	}
	client := &http.Client{}
	defer client.CloseIdleConnections()
	post(client, d.VMs[0], Path+fmt.Sprintf("%016x", rand.Uint64()), body)
}

// Submit submits a best-effort job of one task to a VM, padded with spaces to a number of bytes. It returns the
// status of the answer, 0 without one, and the job's state.
func (d *Deployment) Submit(vm *VM, padTo int) (status int, state string) {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	body := drawJobBody(true, 1, 1)
	body = append(body, bytes.Repeat([]byte{' '}, max(padTo-len(body), 0))...)
	return post(client, vm, Path+fmt.Sprintf("%s%015x", bestEffortPrefix, rand.Uint64()>>4), body)
}
