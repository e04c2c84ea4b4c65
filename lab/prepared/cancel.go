package prepared

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/burdockward/burdockward/platform/wire"
)

// CancelTally counts the outcomes of durable jobs whose callers cancel them.
type CancelTally struct {
	mu sync.Mutex
	// Accepted jobs were cancelled after their acceptance, Unanswered ones by callers that got no answer.
	// Refused jobs weren't cancelled. Unacknowledged counts cancellations without an answer in time.
	Accepted, Unanswered, Refused, Unacknowledged int
	// Violations lists tasks that were started after the cancellation of their job was acknowledged.
	Violations []string
}

// String formats the counts as one line.
func (t *CancelTally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d cancelled after their acceptance, %d without an answer, %d refused, %d not acknowledged, %d wrong",
		t.Accepted, t.Unanswered, t.Refused, t.Unacknowledged, len(t.Violations))
}

func (t *CancelTally) update(change func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change()
}

const (
	// cancelTime is how long after the acknowledgement of its cancellation a job may still start tasks. It
	// outlasts orders that targets carry out late.
	cancelTime = 3 * time.Second
	// cancelledSteps and cancelledStepTime are such that a job whose cancellation is forgotten starts tasks
	// for longer than cancelTime.
	cancelledSteps    = 16
	cancelledStepTime = 400 * time.Millisecond
	// acknowledgeTimeout is how long callers repeat a cancellation.
	acknowledgeTimeout = 15 * time.Second
)

// LoadCancelled submits durable jobs at a rate until the context ends, and cancels them: at once if there is no
// answer, after a while otherwise, each time at any VM.
func (d *Deployment) LoadCancelled(ctx context.Context, perSecond int) *CancelTally {
	tally := &CancelTally{}
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
			callers.Go(func() { d.submitAndCancel(client, tally) })
		}
	}
}

// submitAndCancel submits one job, cancels it and checks that it doesn't start after that.
func (d *Deployment) submitAndCancel(client *http.Client, tally *CancelTally) {
	id := fmt.Sprintf("%s%015x", durablePrefix, rand.Uint64()>>4)
	p := plan{runTime: cancelledStepTime}
	job := wire.Job{Spec: p.payload()}
	for i := range cancelledSteps {
		step := wire.Step{Count: 1, CPU: taskCPU, EstimateMS: float64(cancelledStepTime.Milliseconds())}
		if i > 0 {
			step.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, step)
	}
	body, err := json.Marshal(job)
	if err != nil {
		panic("encode job: " + err.Error())
	}
	switch status, _ := post(client, d.pickVM(d.drawDomain()), Path+id, body); status {
	case http.StatusOK:
		tally.update(func() { tally.Accepted++ })
		time.Sleep(rand.N(time.Second))
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		tally.update(func() { tally.Refused++ })
		return
	default:
		tally.update(func() { tally.Unanswered++ })
	}
	for end := time.Now().Add(acknowledgeTimeout); time.Now().Before(end); time.Sleep(statePollInterval) {
		if status, _ := d.requestState(client, http.MethodDelete, d.drawDomain(), id); status == http.StatusOK || status == http.StatusGone {
			acknowledged := time.Now()
			time.Sleep(cancelledSteps * cancelledStepTime)
			if late := d.Recorder.StartedAfter(id, acknowledged.Add(cancelTime)); len(late) > 0 {
				tally.update(func() {
					tally.Violations = append(tally.Violations, fmt.Sprintf("%s: %d tasks were started over %v after status %d acknowledged the cancellation", id, len(late), cancelTime, status))
				})
			}
			return
		}
	}
	tally.update(func() { tally.Unacknowledged++ })
}

// drawDomain draws the name of a failure domain.
func (d *Deployment) drawDomain() string { return domainName(rand.IntN(d.options.Domains)) }
