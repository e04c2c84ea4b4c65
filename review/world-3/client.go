package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/burdockward/burdockward/platform/wire"
)

// step is a step of a job as the cases describe it.
type step struct {
	Count    int
	CPU      int64
	MemMB    int64
	Estimate int64
	After    []int
	Requires string
	Lasting  bool
}

// message returns the step as clients send it.
func (s step) message() wire.Step {
	return wire.Step{
		Count: s.Count, CPU: s.CPU, MemoryMB: s.MemMB, EstimateMS: float64(s.Estimate), After: s.After, Requires: s.Requires, LongRunning: s.Lasting,
	}
}

// job is a job that a client hands in, with what the client has learned of it.
type job struct {
	ID    string
	queue string
	body  wire.Job
	steps []step

	mu sync.Mutex
	// accepted is when the first 2xx came, rejected counts the 429 and 503, unanswered the rest.
	accepted             time.Time
	rejected, unanswered int
	cancelSent, cancelOK time.Time
	cancelStatus         int
	state                string
}

// newJob makes a job whose tasks do what the steps say.
func (w *world) newJob(queue string, steps ...step) *job {
	spec, body := work{}, wire.Job{}
	for _, s := range steps {
		body.Steps = append(body.Steps, s.message())
		ms := s.Estimate
		if s.Lasting {
			ms = -ms
		}
		spec.MS, spec.CPU, spec.Mem = append(spec.MS, ms), append(spec.CPU, s.CPU), append(spec.Mem, s.MemMB)
	}
	text, _ := json.Marshal(spec)
	body.Spec = string(text)
	return &job{ID: fmt.Sprintf("%016x", w.random.Uint64()), queue: queue, steps: steps, body: body}
}

// call makes one request over a connection of its own, as a client that the platform forwards.
func (w *world) call(m *machine, method, path string, body any, deadline time.Duration) (status int, answer map[string]any, err error) {
	data := []byte{}
	if body != nil {
		if data, err = json.Marshal(body); err != nil {
			return 0, nil, err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", m.ip, frontendPort, path), bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	request.Host = host
	request.Close = true
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(wire.DeadlineHeader, strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, err
	}
	_ = json.Unmarshal(text, &answer)
	return response.StatusCode, answer, nil
}

// clientDeadline is how long the clients of kasa-sofia wait for an answer.
const clientDeadline = 1500 * time.Millisecond

// submit hands a job in once and returns the status, 0 without an answer.
func (w *world) submit(m *machine, j *job) int {
	status, answer, err := w.call(m, http.MethodPost, "/"+j.queue+"/"+j.ID, j.body, clientDeadline)
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case err != nil:
		status = 0
		j.unanswered++
	case status/100 == 2:
		if j.accepted.IsZero() {
			j.accepted = time.Now()
		}
	case status == 429 || status == 503:
		j.rejected++
	default:
		j.unanswered++
	}
	w.record.add("client", "POST %s at %s -> %d %v %v", j.ID, m.name, status, answer, errText(err))
	return status
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// submitUntilAccepted hands a job in, again after each loss, as the clients do.
func (w *world) submitUntilAccepted(at []*machine, j *job, within time.Duration) bool {
	for i, end := 0, time.Now().Add(within); time.Now().Before(end); i++ {
		if status := w.submit(at[i%len(at)], j); status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// ask asks for a job's state; "" without an answer, "410" if no such job exists.
func (w *world) ask(m *machine, j *job, quiet bool) string {
	status, answer, err := w.call(m, http.MethodGet, "/"+j.queue+"/"+j.ID, nil, clientDeadline)
	state := ""
	switch {
	case err != nil:
	case status == 200:
		state, _ = answer["state"].(string)
	default:
		state = strconv.Itoa(status)
	}
	if !quiet {
		w.record.add("client", "GET %s at %s -> %d %v %s", j.ID, m.name, status, answer, errText(err))
	}
	j.mu.Lock()
	j.state = state
	j.mu.Unlock()
	return state
}

// cancel cancels a job, again until a 2xx or 410.
func (w *world) cancel(m *machine, j *job, within time.Duration) {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		j.mu.Lock()
		if j.cancelSent.IsZero() {
			j.cancelSent = time.Now()
		}
		j.mu.Unlock()
		status, answer, err := w.call(m, http.MethodDelete, "/"+j.queue+"/"+j.ID, nil, clientDeadline)
		w.record.add("client", "DELETE %s at %s -> %d %v %s", j.ID, m.name, status, answer, errText(err))
		if err == nil && (status/100 == 2 || status == 410) {
			j.mu.Lock()
			j.cancelOK, j.cancelStatus = time.Now(), status
			j.mu.Unlock()
			return
		}
	}
}

// pending asks for the number of a queue's jobs that haven't begun; -1 without an answer.
func (w *world) pending(m *machine, queue string) int {
	status, answer, err := w.call(m, http.MethodGet, "/"+queue+"/", nil, clientDeadline)
	count, ok := answer["pending"].(float64)
	if err != nil || status != 200 || !ok {
		return -1
	}
	return int(count)
}
