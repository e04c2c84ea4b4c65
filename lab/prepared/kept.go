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

// keptDigit begins the IDs of kept jobs, otherDigit those of others.
const (
	keptDigit  = "f"
	otherDigit = "0"
)

// Times of callers whose jobs are kept.
const (
	// askPause is between two questions for a job's state.
	askPause = 100 * time.Millisecond
	// settleTime is how long after the end of the load jobs have to end.
	settleTime = 15 * time.Second
)

// KeptTally counts how kept jobs fared.
type KeptTally struct {
	mu sync.Mutex
	// Accepted jobs ended as Completed, Failed or Cancelled; Refused ones were not
	// accepted, Unsaid ones had no answer to any send.
	Accepted, Completed, Failed, Cancelled, Refused, Unsaid int
	// Wrong lists what must not be: accepted jobs that are gone or don't end, refused
	// ones that ran, and cancelled ones that were done.
	Wrong []string
}

// String is one line.
func (t *KeptTally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d accepted, %d completed, %d failed, %d cancelled, %d refused, %d without an answer, %d wrong",
		t.Accepted, t.Completed, t.Failed, t.Cancelled, t.Refused, t.Unsaid, len(t.Wrong))
}

func (t *KeptTally) add(change func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change()
}

func (t *KeptTally) wrong(id, what string) {
	t.add(func() { t.Wrong = append(t.Wrong, id+" "+what) })
}

// LoadKept has callers hand in jobs that are to be kept until the context ends, cancel
// one in ten of them, and ask until all have ended.
func (d *Deployment) LoadKept(ctx context.Context, perSecond int) *KeptTally {
	tally := &KeptTally{}
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
			callers.Go(func() { d.keep(ctx, client, tally) })
		}
	}
}

// keep hands in one job and follows it to its end.
func (d *Deployment) keep(ctx context.Context, client *http.Client, tally *KeptTally) {
	id := fmt.Sprintf("%s%015x", keptDigit, rand.Uint64()>>4)
	domain := domainName(rand.IntN(d.options.Domains))
	job, p := d.keptJob()
	body, err := json.Marshal(job)
	if err != nil {
		panic("encode job: " + err.Error())
	}
	for send := range maxSends {
		if send > 0 {
			time.Sleep(resendAfter)
		}
		switch status, _ := post(client, d.pick(domain), p.path()+id, body); status {
		case http.StatusOK:
			tally.add(func() { tally.Accepted++ })
			if p.lasting {
				d.last(ctx, client, tally, id, domain)
			} else {
				d.follow(ctx, client, tally, id, domain, rand.IntN(10) == 0)
			}
			return
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			tally.add(func() { tally.Refused++ })
			if send == 0 {
				time.Sleep(settlePause)
				if d.Recorder.Started(id) {
					tally.wrong(id, "was refused and ran")
				}
			}
			return
		}
	}
	tally.add(func() { tally.Unsaid++ })
}

// settlePause is after which a refused job that was going to run has begun.
const settlePause = 2 * time.Second

// last lets a job run till the load ends, when it must still run, or do so again soon; then
// it is cancelled.
func (d *Deployment) last(ctx context.Context, client *http.Client, tally *KeptTally, id, domain string) {
	<-ctx.Done()
	task := id + ".0.0.0"
	deadline := time.Now().Add(settleTime)
	for !d.Recorder.Running(task) {
		if time.Now().After(deadline) {
			tally.wrong(id, "lasts and does not run")
			break
		}
		time.Sleep(askPause)
	}
	d.follow(ctx, client, tally, id, domain, true)
	time.Sleep(askPause)
	if d.Recorder.Running(task) {
		tally.wrong(id, "runs on after it was cancelled")
	}
}

// follow asks for an accepted job's state until it has ended.
func (d *Deployment) follow(ctx context.Context, client *http.Client, tally *KeptTally, id, domain string, cancel bool) {
	deadline := time.Time{}
	cancelled := false
	for {
		if ctx.Err() != nil && deadline.IsZero() {
			deadline = time.Now().Add(settleTime)
		}
		if !deadline.IsZero() && time.Now().After(deadline) {
			tally.wrong(id, "did not end in time")
			return
		}
		method := http.MethodGet
		if cancel && !cancelled {
			method = http.MethodDelete
		}
		status, state := d.ask(client, method, domain, id)
		cancelled = cancelled || method == http.MethodDelete && status == http.StatusOK
		switch {
		case status == http.StatusGone:
			tally.wrong(id, "is gone")
			return
		case state == "completed":
			tally.add(func() { tally.Completed++ })
			d.remembered(ctx, client, tally, id, domain, state)
			return
		case state == "failed":
			tally.add(func() { tally.Failed++ })
			d.remembered(ctx, client, tally, id, domain, state)
			return
		case state == "cancelled":
			tally.add(func() { tally.Cancelled++ })
			if !cancel {
				tally.wrong(id, "was cancelled by nobody")
			}
			d.remembered(ctx, client, tally, id, domain, state)
			return
		}
		time.Sleep(askPause)
	}
}

// remembered asks for the state of an ended job once more when the load has ended.
func (d *Deployment) remembered(ctx context.Context, client *http.Client, tally *KeptTally, id, domain, state string) {
	<-ctx.Done()
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(askPause) {
		switch status, now := d.ask(client, http.MethodGet, domain, id); {
		case status == http.StatusGone:
			tally.wrong(id, "was "+state+" and is forgotten")
			return
		case status == http.StatusOK && now != state:
			tally.wrong(id, "was "+state+" and is "+now)
			return
		case status == http.StatusOK:
			return
		}
	}
	tally.wrong(id, "was "+state+" and nobody tells")
}

// ask asks a VM of a domain about a job.
func (d *Deployment) ask(client *http.Client, method, domain, id string) (status int, state string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.pick(domain).Frontend()+Path+id, http.NoBody)
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
