package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/burdockward/burdockward/platform/wire"
)

// step is a step of a job as a client sends it; takes is how long a task works, 0 for one that lasts.
type step struct {
	wire.Step
	takes time.Duration
}

// job is a job that a client hands in.
type job struct {
	id, prefix, label, zone, spec string
	steps                         []step
	// accepted is when a 2xx came; zero before.
	accepted time.Time
}

// body is the job as it is sent, without fields that are 0, false or empty.
func (j *job) body() []byte {
	sent := wire.Job{Spec: j.spec}
	for _, st := range j.steps {
		sent.Steps = append(sent.Steps, st.Step)
	}
	data, _ := json.Marshal(sent)
	var fields any
	_ = json.Unmarshal(data, &fields)
	data, _ = json.Marshal(withoutZeros(fields))
	return data
}

// withoutZeros removes the fields of objects that are 0, false, empty or null.
func withoutZeros(value any) any {
	switch v := value.(type) {
	case []any:
		for i := range v {
			v[i] = withoutZeros(v[i])
		}
	case map[string]any:
		for name, field := range v {
			if field == nil || field == false || field == 0.0 || field == "" {
				delete(v, name)
				continue
			}
			v[name] = withoutZeros(field)
		}
	}
	return value
}

// newJob registers a job for the executors' checks.
func (w *world) newJob(label, zone, prefix string, steps ...step) *job {
	j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), label: label, zone: zone, prefix: prefix, steps: steps}
	j.spec = "work of " + j.id
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[j.id] = j
	return j
}

// pick returns a daemon for a client of a zone: one of the zone in rotation, else one of another zone.
func (w *world) pick(zone string) *daemon {
	var near, far []*daemon
	for _, d := range w.daemons {
		switch {
		case !d.isInRotation():
		case d.zone == zone:
			near = append(near, d)
		default:
			far = append(far, d)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return w.daemons[rand.IntN(len(w.daemons))]
	}
	return near[rand.IntN(len(near))]
}

// call sends a request to a daemon; status 0 means that no whole answer came.
func (w *world) call(d *daemon, method, path string, body []byte) (int, map[string]any) {
	request, err := http.NewRequest(method, "http://"+d.address(frontendPort)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(wire.DeadlineHeader, "1500")
	response, err := w.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	answer := map[string]any{}
	_ = json.Unmarshal(data, &answer)
	return response.StatusCode, answer
}

// submit hands a job in, again while there is no answer, and reports whether it was accepted.
func (w *world) submit(j *job) bool {
	body := j.body()
	for range 6 {
		d := w.pick(j.zone)
		w.rec.line("sent: POST %s (%s) to %s", j.id, j.label, d.name)
		status, _ := w.call(d, http.MethodPost, j.prefix+j.id, body)
		w.rec.line("answered: POST %s %d", j.id, status)
		switch {
		case status/100 == 2:
			w.mu.Lock()
			j.accepted = time.Now()
			w.mu.Unlock()
			return true
		case status == 0 || status == http.StatusBadGateway || status == http.StatusGatewayTimeout:
			time.Sleep(1300 * time.Millisecond)
		default:
			return false
		}
	}
	return false
}

// submitUntilAccepted hands in jobs made by a function until one is accepted.
func (w *world) submitUntilAccepted(attempts int, make func() *job) *job {
	for range attempts {
		if j := make(); w.submit(j) {
			return j
		}
		time.Sleep(time.Second)
	}
	return nil
}

// ask asks for a job's state; "" where there is no answer of status 200.
func (w *world) ask(j *job) (status int, state string) {
	d := w.pick(j.zone)
	status, answer := w.call(d, http.MethodGet, j.prefix+j.id, nil)
	state, _ = answer["state"].(string)
	w.rec.line("answered: GET %s %d %s by %s", j.id, status, state, d.name)
	return status, state
}
