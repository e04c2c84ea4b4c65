package prepared

import (
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

// durablePrefix is the first digit of the IDs of durable jobs, bestEffortPrefix that of others.
const (
	durablePrefix    = "f"
	bestEffortPrefix = "0"
)

// Times of the callers of durable jobs.
const (
	// statePollInterval is the time between two requests for a job's state.
	statePollInterval = 100 * time.Millisecond
	// endTimeout is how long jobs have to end after the end of the load.
	endTimeout = 15 * time.Second
)

// DurableTally counts the outcomes of durable jobs.
type DurableTally struct {
	mu sync.Mutex
	// Accepted jobs ended as Completed, Failed or Cancelled. Refused jobs were not accepted.
	// Unanswered jobs had no answer to any send.
	Accepted, Completed, Failed, Cancelled, Refused, Unanswered int
	// Violations lists accepted jobs that are unknown, do not end or change their final state,
	// refused jobs that ran, jobs that were cancelled without a request, and lasting jobs that do
	// not run before they are cancelled or still run afterwards.
	Violations []string
}

// String formats the counts as one line.
func (t *DurableTally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d accepted, %d completed, %d failed, %d cancelled, %d refused, %d without an answer, %d wrong",
		t.Accepted, t.Completed, t.Failed, t.Cancelled, t.Refused, t.Unanswered, len(t.Violations))
}

// update changes the counts under the mutex.
func (t *DurableTally) update(change func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change()
}

// addViolation records what must not have happened to a job.
func (t *DurableTally) addViolation(id, what string) {
	t.update(func() { t.Violations = append(t.Violations, id+" "+what) })
}

// LoadDurable submits durable jobs at a rate until the context ends, cancels one in ten, and polls
// their states until all have ended.
func (d *Deployment) LoadDurable(ctx context.Context, perSecond int) *DurableTally {
	tally := &DurableTally{}
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
			callers.Go(func() { d.submitDurable(ctx, client, tally) })
		}
	}
}

// submitDurable submits one job, again after retryDelay while it has no answer, and follows it to
// its end if it is accepted. A job that is refused at its first send must not start.
func (d *Deployment) submitDurable(ctx context.Context, client *http.Client, tally *DurableTally) {
	id := fmt.Sprintf("%s%015x", durablePrefix, rand.Uint64()>>4)
	domain := domainName(rand.IntN(d.options.Domains))
	job, p := d.drawDurableJob()
	body, err := json.Marshal(job)
	if err != nil {
		panic("encode job: " + err.Error())
	}
	for send := range maxSends {
		if send > 0 {
			time.Sleep(retryDelay)
		}
		switch status, _ := post(client, d.pickVM(domain), p.path()+id, body); status {
		case http.StatusOK:
			tally.update(func() { tally.Accepted++ })
			if p.lasting {
				d.followLasting(ctx, client, tally, id, domain)
			} else {
				d.follow(ctx, client, tally, id, domain, rand.IntN(10) == 0)
			}
			return
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			tally.update(func() { tally.Refused++ })
			if send == 0 {
				time.Sleep(lateStartTime)
				if d.Recorder.HasStarted(id) {
					tally.addViolation(id, "was refused and has started")
				}
			}
			return
		}
	}
	tally.update(func() { tally.Unanswered++ })
}

// lateStartTime is the time within which a refused job would have started, if it were to.
const lateStartTime = 2 * time.Second

// followLasting waits for the end of the load, checks that a lasting job runs then or is restarted
// within endTimeout, cancels it, and checks that it does not run any more.
func (d *Deployment) followLasting(ctx context.Context, client *http.Client, tally *DurableTally, id, domain string) {
	<-ctx.Done()
	task := id + ".0.0.0"
	deadline := time.Now().Add(endTimeout)
	for !d.Recorder.IsRunning(task) {
		if time.Now().After(deadline) {
			tally.addViolation(id, "is lasting and does not run")
			break
		}
		time.Sleep(statePollInterval)
	}
	d.follow(ctx, client, tally, id, domain, true)
	time.Sleep(statePollInterval)
	if d.Recorder.IsRunning(task) {
		tally.addViolation(id, "still runs after it was cancelled")
	}
}

// follow polls the state of an accepted job until it has ended, and counts its outcome. With cancel
// it requests the cancellation until that is acknowledged.
func (d *Deployment) follow(ctx context.Context, client *http.Client, tally *DurableTally, id, domain string, cancel bool) {
	deadline := time.Time{}
	cancelled := false
	for {
		if ctx.Err() != nil && deadline.IsZero() {
			deadline = time.Now().Add(endTimeout)
		}
		if !deadline.IsZero() && time.Now().After(deadline) {
			tally.addViolation(id, "did not end in time")
			return
		}
		method := http.MethodGet
		if cancel && !cancelled {
			method = http.MethodDelete
		}
		status, state := d.requestState(client, method, domain, id)
		cancelled = cancelled || method == http.MethodDelete && status == http.StatusOK
		switch {
		case status == http.StatusGone:
			tally.addViolation(id, "is unknown before its end")
			return
		case state == "completed":
			tally.update(func() { tally.Completed++ })
			d.checkRemembered(ctx, client, tally, id, domain, state)
			return
		case state == "failed":
			tally.update(func() { tally.Failed++ })
			d.checkRemembered(ctx, client, tally, id, domain, state)
			return
		case state == "cancelled":
			tally.update(func() { tally.Cancelled++ })
			if !cancel {
				tally.addViolation(id, "was cancelled without a request")
			}
			d.checkRemembered(ctx, client, tally, id, domain, state)
			return
		}
		time.Sleep(statePollInterval)
	}
}

// checkRemembered polls the state of an ended job once more after the end of the load. It must not
// have changed.
func (d *Deployment) checkRemembered(ctx context.Context, client *http.Client, tally *DurableTally, id, domain, state string) {
	<-ctx.Done()
	for end := time.Now().Add(endTimeout); time.Now().Before(end); time.Sleep(statePollInterval) {
		switch status, now := d.requestState(client, http.MethodGet, domain, id); {
		case status == http.StatusGone:
			tally.addViolation(id, "was "+state+" and is unknown now")
			return
		case status == http.StatusOK && now != state:
			tally.addViolation(id, "was "+state+" and is "+now)
			return
		case status == http.StatusOK:
			return
		}
	}
	tally.addViolation(id, "was "+state+" and its state can't be read")
}

// requestState sends a request about a job to a VM of a failure domain: GET for its state, DELETE
// to cancel it. The status is 0 without an answer.
func (d *Deployment) requestState(client *http.Client, method, domain, id string) (status int, state string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.pickVM(domain).Frontend()+Path+id, http.NoBody)
	if err != nil {
		return 0, ""
	}
	request.Host = Host
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
