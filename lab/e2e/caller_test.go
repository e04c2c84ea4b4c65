//go:build linux

package e2e

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/lab/standin/target"
)

// response is what one request of a caller got: an answer, a failure, or an error err when there is
// no whole response.
type response struct {
	key     string
	tasks   int
	vm      int
	status  int
	header  http.Header
	body    []byte
	answer  *api.Answer
	failure *api.Failure
	err     error
}

// hasAnswer reports whether the response is an answer with results.
func (r *response) hasAnswer() bool { return r.answer != nil }

// runState returns the run state of a failure, or "".
func (r *response) runState() api.RunState {
	if r.failure == nil {
		return ""
	}
	return r.failure.Run
}

func (r *response) kind() api.Kind {
	if r.failure == nil {
		return ""
	}
	return r.failure.Kind
}

// isUndecided reports whether the outcome of the key is still open, so that the caller has to send
// the same key again.
func (r *response) isUndecided() bool { return r.err != nil || r.kind() == api.KindUnavailable }

// neverConnected reports whether the request failed before it reached any process.
func (r *response) neverConnected() bool {
	var op *net.OpError
	return errors.As(r.err, &op) && op.Op == "dial"
}

func (r *response) String() string {
	if r.err != nil {
		return fmt.Sprintf("%s at VM %d: %v", r.key, r.vm, r.err)
	}
	return fmt.Sprintf("%s at VM %d: status %d %s", r.key, r.vm, r.status, bytes.TrimSpace(r.body))
}

// callers opens a connection for each request. A process may close an idle connection, which a test
// would otherwise mistake for a request that was cut off.
var callers = &http.Client{
	Timeout:   2 * waitTimeout,
	Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: 5 * time.Second}).DialContext},
}

// sleepTasks returns n tasks that run for a time and have their index as result.
func sleepTasks(n int, run time.Duration, label string) []api.Task {
	tasks := make([]api.Task, n)
	for i := range tasks {
		payload, _ := json.Marshal(target.Payload{
			RunMS:  float64(run) / float64(time.Millisecond),
			Result: json.RawMessage(fmt.Sprint(i)),
			Label:  label,
		})
		tasks[i].Payload = payload
	}
	return tasks
}

// key waits for the VM's epoch and returns a new key with it.
func (w *world) key(vm int) string {
	w.t.Helper()
	var key string
	w.await(w.vms[vm].id+" has an epoch", func() bool {
		var ok bool
		key, ok = w.tryKey(vm)
		return ok
	})
	return key
}

// tryKey returns a new key, or false when the VM has no epoch. Unlike key it does not end the test,
// so that the goroutines of a load can use it.
func (w *world) tryKey(vm int) (string, bool) {
	resp, err := callers.Get(w.url(vm) + "/v1/epoch")
	if err != nil {
		return "", false
	}
	defer resp.Body.Close()
	var epoch struct {
		Prefix string `json:"key_prefix"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&epoch) != nil {
		return "", false
	}
	return fmt.Sprintf("%sk%d", epoch.Prefix, w.unique.Add(1)), true
}

func (w *world) url(vm int) string { return "http://" + w.vms[vm].callers.String() }

// job returns a submission of the common profile.
func job(key string, tasks []api.Task) api.Submission {
	return api.Submission{Key: key, Profile: common.Name, Tasks: tasks}
}

// submit sends a submission and waits for its response.
func (w *world) submit(vm int, s api.Submission) *response {
	body, err := json.Marshal(s)
	if err != nil {
		return &response{err: err}
	}
	return w.send(http.MethodPost, vm, "/v1/submissions", s.Key, len(s.Tasks), body)
}

// submitUntilDecided sends the submission to one VM of the list after another, under the same key,
// until a response decides it.
func (w *world) submitUntilDecided(s api.Submission, vms ...int) *response {
	w.t.Helper()
	var last *response
	i := 0
	w.await("a decision about "+s.Key, func() bool {
		last = w.submit(vms[i%len(vms)], s)
		i++
		return !last.isUndecided()
	})
	return last
}

// send makes one request about a key and adds the response to the ledger.
func (w *world) send(method string, vm int, path, key string, tasks int, body []byte) *response {
	r := &response{key: key, tasks: tasks, vm: vm}
	defer func() { w.ledger.add(r) }()
	req, err := http.NewRequest(method, w.url(vm)+path, bytes.NewReader(body))
	if err != nil {
		r.err = err
		return r
	}
	resp, err := callers.Do(req)
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	r.status, r.header = resp.StatusCode, resp.Header
	if r.body, r.err = io.ReadAll(resp.Body); r.err != nil {
		return r
	}
	r.decode()
	return r
}

// decode sets the answer or the failure from the body, or err when it is neither.
func (r *response) decode() {
	if r.status == http.StatusOK {
		r.answer = &api.Answer{}
		r.err = json.Unmarshal(r.body, r.answer)
		return
	}
	var failure api.FailureBody
	if r.err = json.Unmarshal(r.body, &failure); r.err == nil && failure.Error == nil {
		r.err = fmt.Errorf("status %d without a typed failure: %s", r.status, r.body)
	}
	r.failure = failure.Error
}

// load is a set of callers that each submit jobs, one after the other, until stop.
type load struct {
	stopped chan struct{}
	once    sync.Once
	callers sync.WaitGroup
}

// thinkTime is the pause of a caller between two jobs.
const thinkTime = 5 * time.Millisecond

// startLoad starts callersOfVM callers at each of the VMs. A caller switches to the next VM when
// its own is stopping or can't be reached.
func (w *world) startLoad(callersOfVM int, s api.Submission, vms ...int) *load {
	l := &load{stopped: make(chan struct{})}
	w.t.Cleanup(l.stop)
	for i := range callersOfVM * len(vms) {
		l.callers.Go(func() { w.caller(l, s, vms, i) })
	}
	return l
}

// caller submits jobs, one after the other, until the load is stopped.
func (w *world) caller(l *load, s api.Submission, vms []int, at int) {
	for ; !closed(l.stopped); time.Sleep(thinkTime) {
		vm := vms[at%len(vms)]
		key, ok := w.tryKey(vm)
		if !ok {
			at++
			continue
		}
		s.Key = key
		r := w.submit(vm, s)
		if r.kind() == api.KindDraining || r.neverConnected() {
			at++
		}
	}
}

// stop ends the load and waits for the last responses.
func (l *load) stop() {
	l.once.Do(func() { close(l.stopped) })
	l.callers.Wait()
}

// pending is a request that runs concurrently with the test. got is set when done is closed.
type pending struct {
	done chan struct{}
	got  *response
}

func (w *world) submitAsync(vm int, s api.Submission) *pending {
	return w.runAsync(func() *response { return w.submit(vm, s) })
}

// runAsync makes a request in a goroutine.
func (w *world) runAsync(request func() *response) *pending {
	p := &pending{done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.got = request()
	}()
	return p
}

// hasResponse reports whether the response has arrived.
func (p *pending) hasResponse() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// wait returns the response; a request that hangs fails the test.
func (w *world) wait(p *pending) *response {
	w.t.Helper()
	select {
	case <-p.done:
		return p.got
	case <-time.After(2 * waitTimeout):
		w.t.Fatal("a request got no response at all")
		return nil
	}
}

// awaitStarted waits until a task of each key was started by the VM.
func (w *world) awaitStarted(vm int, keys ...string) {
	w.t.Helper()
	w.await(fmt.Sprintf("%s starts %v", w.vms[vm].id, keys), func() bool {
		holders := map[string]string{}
		for _, s := range w.starts() {
			holders[s.Submission] = s.Holder
		}
		for _, k := range keys {
			if !isHeldBy(holders[k], w.vms[vm].id) {
				return false
			}
		}
		return true
	})
}

// awaitGranted waits until each key was granted to the VM, so that no other VM can start it, or was
// answered.
func (w *world) awaitGranted(vm int, keys ...string) {
	w.t.Helper()
	for _, key := range keys {
		w.await(w.vms[vm].id+" is granted "+key, func() bool {
			resp, err := callers.Get(w.url(vm) + "/v1/submissions/" + key)
			if err != nil {
				return false
			}
			defer resp.Body.Close()
			var got struct {
				api.Status
				Results []json.RawMessage `json:"results"`
			}
			return resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(&got) == nil &&
				(got.Runner == w.vms[vm].id || len(got.Results) > 0)
		})
	}
}

// isHeldBy reports whether the holder of a lease is a process of the VM.
func isHeldBy(holder, vm string) bool { return len(holder) > len(vm) && holder[:len(vm)+1] == vm+"/" }

// startedTasks counts the starts of a key.
func (w *world) startedTasks(key string) int {
	n := 0
	for _, s := range w.starts() {
		if s.Submission == key {
			n++
		}
	}
	return n
}

// mustAnswer submits small jobs to the VM, each under a new key, until one is answered. It fails
// the test when none is within the timeout.
func (w *world) mustAnswer(vm int) *response {
	w.t.Helper()
	last := &response{}
	defer func() {
		if !last.hasAnswer() {
			w.t.Logf("the last response: %s", last)
		}
	}()
	w.await(fmt.Sprintf("%s answers new work", w.vms[vm].id), func() bool {
		last = w.submit(vm, job(w.key(vm), sleepTasks(2, time.Millisecond, "")))
		return last.hasAnswer()
	})
	return last
}
