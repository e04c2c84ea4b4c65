package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/burdockward/burdockward/api"
)

// RetryMode is what a caller does after a refusal with a Retry-After.
type RetryMode string

// The retry modes.
const (
	// RetryNever gives the job up.
	RetryNever RetryMode = "never"
	// RetryHonour submits again under a new key after the Retry-After.
	RetryHonour RetryMode = "honour"
	// RetryImpatient submits again under a new key almost at once.
	RetryImpatient RetryMode = "impatient"
)

// RetryModeByName returns the retry mode never, honour or impatient.
func RetryModeByName(name string) (RetryMode, error) {
	for _, m := range []RetryMode{RetryNever, RetryHonour, RetryImpatient} {
		if string(m) == name {
			return m, nil
		}
	}
	return "", fmt.Errorf("unknown retry mode %q: take %s, %s or %s", name, RetryNever, RetryHonour, RetryImpatient)
}

// Bounds of a caller's retries.
const (
	// maxSends bounds the requests under one key, maxTimeouts those of them that may time out, and
	// maxResubmissions the further keys of one job.
	maxSends         = 8
	maxTimeouts      = 2
	maxResubmissions = 3
	// resendPause is the least wait before a key is sent to another VM, and impatientPause the wait
	// of RetryImpatient before a new key.
	resendPause    = 20 * time.Millisecond
	impatientPause = 10 * time.Millisecond
)

// Config describes the callers.
type Config struct {
	// Run is part of all keys and nonces, and distinguishes them from those of other runs.
	Run     string
	Domains []Domain
	// Deadline is the deadline of each submission, and Margin how much longer
	// callers wait for the response.
	Deadline, Margin time.Duration
	Retry            RetryMode
	// MaxInFlight bounds the jobs in flight. A job that is due beyond it is not sent; its JobResult
	// has Sent false.
	MaxInFlight int
	// NonHomeKeys sends each key to another VM than the one whose epoch token it has. Callers
	// behind a balancer that picks any VM mostly do so.
	NonHomeKeys bool
}

// Submission is one key with the responses to its requests. The responses of one series of requests
// are in the order in which they arrived; those of a duplicate come last.
type Submission struct {
	Key       string
	Job       int
	Tasks     int
	Responses []Response
}

// JobResult is the final outcome of one job for its caller.
type JobResult struct {
	// Response is the last response under the last key.
	Response
	// Time is from the intended send to the response.
	Time time.Duration
	// Sent is false for a job that was due beyond MaxInFlight, or after the context had ended.
	Sent bool
}

// Result holds the outcomes of all jobs and submissions of a run.
type Result struct {
	Jobs        []Job
	JobResults  []JobResult
	Submissions []Submission
	// Start is the time from which all times of the result count.
	Start time.Time
	// MaxLag is the longest delay between the intended and the actual time of sending. A long one
	// shows that the machine was too busy for the load tool.
	MaxLag time.Duration
}

// runner is one run of the load.
type runner struct {
	cfg     Config
	clients []*client

	mu     sync.Mutex
	result Result
}

// Run sends the jobs, which are sorted by intended time of sending, and returns when the last
// caller has its response. It stops sending when ctx ends. The last intended time, the deadline,
// the margin and the bounds of retries limit how long it takes.
func Run(ctx context.Context, cfg Config, jobs []Job) (*Result, error) {
	r := &runner{cfg: cfg}
	for _, d := range cfg.Domains {
		c := newClient(d)
		c.nonHomeKeys = cfg.NonHomeKeys
		defer c.close()
		if err := c.fetchAnyEpoch(ctx); err != nil {
			return nil, err
		}
		r.clients = append(r.clients, c)
	}
	r.result = Result{Jobs: jobs, JobResults: make([]JobResult, len(jobs)), Start: time.Now()}
	var callers sync.WaitGroup
	r.sendAll(ctx, &callers, r.runJob)
	callers.Wait()
	return &r.result, ctx.Err()
}

// sendAll starts a goroutine with runJob for each job at its intended time, without waiting for
// earlier ones. It skips jobs beyond MaxInFlight.
func (r *runner) sendAll(ctx context.Context, callers *sync.WaitGroup, runJob func(context.Context, int)) {
	inFlight := make(chan struct{}, r.cfg.MaxInFlight)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i := range r.result.Jobs {
		timer.Reset(r.result.Jobs[i].At - r.now())
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		select {
		case inFlight <- struct{}{}:
		default:
			continue
		}
		r.result.MaxLag = max(r.result.MaxLag, r.now()-r.result.Jobs[i].At)
		callers.Go(func() {
			runJob(ctx, i)
			<-inFlight
		})
	}
}

// now returns the time since the start of the run.
func (r *runner) now() time.Duration { return time.Since(r.result.Start) }

// runJob submits a job as its caller, under new keys after refusals, and records its result.
func (r *runner) runJob(ctx context.Context, i int) {
	job := &r.result.Jobs[i]
	result := JobResult{Sent: true}
	vm := job.VM
	for n := 0; n <= maxResubmissions; n++ {
		result.Response = r.runKey(ctx, i, n, vm)
		pause, again := r.resubmitPause(job, result.Response)
		if !again || n == maxResubmissions || !Sleep(ctx, pause) {
			break
		}
		vm = r.nextVM(job, vm)
	}
	result.Time = result.Done - job.At
	r.result.JobResults[i] = result
}

// resubmitPause reports whether the caller submits the job again under a new key, and after which
// pause.
func (r *runner) resubmitPause(job *Job, resp Response) (time.Duration, bool) {
	if resp.Outcome == NotRun && resp.Kind == api.KindKeyExpired {
		// Nothing was started, and a new key has a current epoch token: no pause is needed.
		return 0, r.now() < job.At+r.cfg.Deadline
	}
	if resp.Outcome != NotRun || resp.RetryAfter == 0 {
		return 0, false
	}
	pause := resp.RetryAfter
	switch r.cfg.Retry {
	case RetryHonour:
	case RetryImpatient:
		pause = impatientPause
	default:
		return 0, false
	}
	return pause, r.now()+pause < job.At+r.cfg.Deadline
}

// runKey submits the job under one key, records the submission and returns its last response. It
// sends the first key of a duplicated job to two VMs at once, and returns the last response of the
// first of the two series of requests.
func (r *runner) runKey(ctx context.Context, i, n, vm int) Response {
	job := &r.result.Jobs[i]
	var req request
	var responses, second []Response
	if job.Duplicated && n == 0 {
		var both sync.WaitGroup
		req = r.newRequest(i, n, vm)
		both.Go(func() { second = r.send(ctx, req, r.nextVM(job, vm)) })
		responses = r.send(ctx, req, vm)
		both.Wait()
	} else {
		var first Response
		req, first = r.sendFirst(ctx, i, n, vm)
		responses = r.retry(ctx, req, first)
	}
	last := len(responses) - 1
	responses = append(responses, second...)
	concludeNotRun(responses)
	r.mu.Lock()
	r.result.Submissions = append(r.result.Submissions, Submission{Key: req.key, Job: i, Tasks: len(job.Tasks), Responses: responses})
	r.mu.Unlock()
	return responses[last]
}

// sendFirst sends a new key to one VM and returns the request and its response. While no connection
// can be made, no VM can know the key, so the caller replaces it by a key of the next VM.
func (r *runner) sendFirst(ctx context.Context, i, n, vm int) (request, Response) {
	job := &r.result.Jobs[i]
	req := r.newRequest(i, n, vm)
	first := r.sendOnce(ctx, req, vm)
	for sends := 1; first.Unsent && sends < maxSends && Sleep(ctx, resendPause); sends++ {
		vm = r.nextVM(job, vm)
		req = r.newRequest(i, n, vm)
		first = r.sendOnce(ctx, req, vm)
	}
	return req, first
}

// concludeNotRun sets the outcome NotRun when every VM to which the key was sent refused it as
// expired: then the key started nothing. Only the caller can conclude this, since only it knows
// where it sent the key. Check later compares the outcome with the targets' starts.
func concludeNotRun(responses []Response) {
	for _, resp := range responses {
		if !resp.Unsent && resp.Kind != api.KindKeyExpired {
			return
		}
	}
	for i := range responses {
		if !responses[i].Unsent {
			responses[i].Outcome = NotRun
		}
	}
}

// request is the body of a submission, sent unchanged with each retry, and the nonces that its
// results must have.
type request struct {
	job    *Job
	key    string
	body   []byte
	nonces []string
}

// newRequest makes the request of the job's nth key, with the VM's epoch token.
func (r *runner) newRequest(i, n, vm int) request {
	job := &r.result.Jobs[i]
	req := request{
		job:    job,
		key:    r.clients[job.Domain].newKey(vm, fmt.Sprintf("%s-%d-%d", r.cfg.Run, i, n)),
		nonces: make([]string, len(job.Tasks)),
	}
	sub := api.Submission{
		Key:        req.key,
		Profile:    job.Profile,
		DeadlineMS: r.cfg.Deadline.Milliseconds(),
		Idempotent: job.Idempotent,
		Tasks:      make([]api.Task, len(job.Tasks)),
	}
	for k, t := range job.Tasks {
		req.nonces[k] = nonce(r.cfg.Run, i, n, k)
		sub.Tasks[k] = api.Task{
			Payload:    taskPayload(job, t, req.nonces[k]),
			ExpectedMS: t.Expected.Milliseconds(),
		}
	}
	req.body = mustMarshal(sub)
	return req
}

// send sends the request to one VM after another, under the same key, until a response is final or
// the bounds of retries are reached. It returns at least one response.
func (r *runner) send(ctx context.Context, req request, vm int) []Response {
	return r.retry(ctx, req, r.sendOnce(ctx, req, vm))
}

// retry continues send after the first response, and returns all responses.
func (r *runner) retry(ctx context.Context, req request, first Response) []Response {
	all := []Response{first}
	retryUntil := first.Sent + r.cfg.Deadline + r.cfg.Margin
	for len(all) < maxSends && r.shouldRetry(all, retryUntil) {
		last := all[len(all)-1]
		if !Sleep(ctx, max(last.RetryAfter, resendPause)) {
			break
		}
		all = append(all, r.sendOnce(ctx, req, r.nextVM(req.job, last.VM)))
	}
	return all
}

// shouldRetry reports whether the caller sends the key to another VM after these responses. Once a
// request has timed out, maxTimeouts bounds the retries instead of retryUntil.
func (r *runner) shouldRetry(all []Response, retryUntil time.Duration) bool {
	timeouts := 0
	for i := range all {
		if all[i].Outcome == TimedOut {
			timeouts++
		}
	}
	if timeouts > 0 {
		return !all[len(all)-1].isFinal() && timeouts < maxTimeouts
	}
	return !all[len(all)-1].isFinal() && r.now() <= retryUntil
}

// sendOnce sends the request to one VM and returns the response with its times.
func (r *runner) sendOnce(ctx context.Context, req request, vm int) Response {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Deadline+r.cfg.Margin)
	defer cancel()
	sent := r.now()
	resp := r.clients[req.job.Domain].submit(ctx, vm, req.body, req.nonces)
	resp.Sent, resp.Done = sent, r.now()
	return resp
}

// nextVM returns the index of the entry VM after vm, in the job's failure domain.
func (r *runner) nextVM(job *Job, vm int) int {
	return (vm + 1) % len(r.cfg.Domains[job.Domain].Entries)
}

// Sleep waits for d and returns true, or returns false when ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
