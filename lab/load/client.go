package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/burdockward/burdockward/api"
)

// Bounds of the callers' connections.
const (
	idleConnsPerVM   = 512
	dialTimeout      = 2 * time.Second
	maxResponseBytes = 16 << 20
)

// Outcome is how one request of a caller finished.
type Outcome string

// The outcomes of a request.
const (
	// Answered is an answer with status 200; its Finding is empty when it is whole and correct.
	Answered Outcome = "answered"
	// NotRun, Failed, Unknown and Completed are the run states of a failure.
	NotRun    Outcome = Outcome(api.NotRun)
	Failed    Outcome = Outcome(api.Failed)
	Unknown   Outcome = Outcome(api.OutcomeUnknown)
	Completed Outcome = Outcome(api.Completed)
	// Unreachable is a connection that failed or broke.
	Unreachable Outcome = "unreachable"
	// TimedOut is no response within the deadline and the margin.
	TimedOut Outcome = "timed_out"
	// Invalid is a response that breaks the callers' interface.
	Invalid Outcome = "invalid"
)

// Response is what one request of a caller got.
type Response struct {
	// VM is the index of the entry VM in its failure domain.
	VM int
	// Sent and Done count from the start of the run.
	Sent, Done time.Duration
	Outcome    Outcome
	// Kind and RetryAfter are those of the failure.
	Kind       api.Kind
	RetryAfter time.Duration
	// Runner is the id of the VM that ran or refused the submission, as the response names it.
	Runner string
	// Digest is a hash of the answer's body, to compare answers.
	Digest uint64
	// Unsent is set when no connection could be made, so that the VM can't know the key.
	Unsent bool
	// Finding is what is wrong with the response; empty is nothing. Detail describes it, or carries
	// the message of a failure.
	Finding Finding
	Detail  string
}

// isFinal reports whether the response decides the submission. Otherwise the caller sends the same
// key to another VM.
func (r *Response) isFinal() bool {
	undecided := r.Outcome == Unknown && r.Kind == api.KindUnavailable
	return r.Outcome != Unreachable && r.Outcome != TimedOut && !undecided
}

// Domain is a failure domain as callers see it.
type Domain struct {
	// Name is the first part of keys.
	Name string
	// Entries holds the base URLs of the entry VMs.
	Entries []string
}

// client sends submissions to the entry VMs of one failure domain.
type client struct {
	domain Domain
	http   *http.Client

	mu sync.Mutex
	// epochs holds the newest epoch token of each VM. A key with the token of the VM to which it is
	// sent costs the VMs no messages. A caller behind a balancer keeps one token for each
	// connection.
	epochs map[int]string
	// newest is the VM whose token was received last.
	newest int
	// nonHomeKeys makes each key with the token of another VM than it is sent to, when one is known.
	nonHomeKeys bool
}

func newClient(d Domain) *client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnsPerVM,
		DisableCompression:  true,
	}
	return &client{domain: d, http: &http.Client{Transport: transport}, epochs: map[int]string{}}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// fetchAnyEpoch requests an epoch token from one VM after another until one answers.
func (c *client) fetchAnyEpoch(ctx context.Context) error {
	var errs []error
	for vm, url := range c.domain.Entries {
		err := c.fetchEpoch(ctx, vm, url)
		if err == nil {
			return nil
		}
		errs = append(errs, err)
	}
	return fmt.Errorf("no entry VM of failure domain %s returns its epoch token: start one first: %w", c.domain.Name, errors.Join(errs...))
}

// fetchEpoch requests the epoch token of one VM and stores it.
func (c *client) fetchEpoch(ctx context.Context, vm int, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/v1/epoch", nil)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK || !c.storeEpoch(vm, resp) {
		return fmt.Errorf("GET %s/v1/epoch: status %d, header %s %q", url, resp.StatusCode, api.HeaderEpoch, resp.Header.Get(api.HeaderEpoch))
	}
	return nil
}

// storeEpoch stores the epoch token of a response and reports whether it has one.
func (c *client) storeEpoch(vm int, resp *http.Response) bool {
	epoch := resp.Header.Get(api.HeaderEpoch)
	if epoch == "" {
		return false
	}
	c.mu.Lock()
	c.epochs[vm] = epoch
	c.newest = vm
	c.mu.Unlock()
	return true
}

// newKey makes a key with the newest token of the VM to which it will be sent. When that is not
// known it takes the token that was received last.
func (c *client) newKey(vm int, unique string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nonHomeKeys {
		vm = c.otherVM(vm)
	}
	epoch, ok := c.epochs[vm]
	if !ok {
		epoch = c.epochs[c.newest]
	}
	return c.domain.Name + "." + epoch + "." + unique
}

// otherVM returns the next VM after vm whose token is known, or vm when there is none.
func (c *client) otherVM(vm int) int {
	n := len(c.domain.Entries)
	for i := 1; i < n; i++ {
		other := (vm + i) % n
		if _, ok := c.epochs[other]; ok {
			return other
		}
	}
	return vm
}

// submit sends the body to one VM and reads the whole response. It leaves the times of the Response
// to its caller.
func (c *client) submit(ctx context.Context, vm int, body []byte, nonces []string) Response {
	url := c.domain.Entries[vm] + "/v1/submissions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return Response{VM: vm, Outcome: Invalid, Detail: err.Error()}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return Response{VM: vm, Outcome: outcomeOfError(ctx), Unsent: isDialError(err), Detail: err.Error()}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return Response{VM: vm, Outcome: outcomeOfError(ctx), Detail: err.Error()}
	}
	c.storeEpoch(vm, resp)
	out := readResponse(resp.StatusCode, data, nonces)
	out.VM = vm
	out.Runner = resp.Header.Get(api.HeaderRunner)
	return out
}

// isDialError reports whether no connection could be made.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// outcomeOfError returns the outcome of a request whose response could not be read.
func outcomeOfError(ctx context.Context) Outcome {
	if ctx.Err() != nil {
		return TimedOut
	}
	return Unreachable
}

// readResponse decodes a response and checks it against the callers' interface.
func readResponse(status int, body []byte, nonces []string) Response {
	if status == http.StatusOK {
		return readAnswer(body, nonces)
	}
	var failure api.FailureBody
	if err := json.Unmarshal(body, &failure); err != nil || failure.Error == nil {
		return invalid("status %d with the body %.200q, want a typed failure", status, body)
	}
	f := failure.Error
	outcome := Outcome(f.Run)
	switch outcome {
	case NotRun, Failed, Unknown, Completed:
	default:
		return invalid("failure %s has the run state %q", f.Kind, f.Run)
	}
	return Response{
		Outcome:    outcome,
		Kind:       f.Kind,
		RetryAfter: time.Duration(f.RetryAfterMS) * time.Millisecond,
		Detail:     f.Message,
	}
}

// readAnswer decodes an answer and checks its results against the nonces.
func readAnswer(body []byte, nonces []string) Response {
	var answer api.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		return Response{Outcome: Answered, Finding: FindingPartial, Detail: err.Error()}
	}
	h := fnv.New64a()
	_, _ = h.Write(body)
	out := Response{Outcome: Answered, Digest: h.Sum64()}
	out.Finding, out.Detail = checkResults(answer.Results, nonces)
	return out
}

func invalid(format string, args ...any) Response {
	return Response{Outcome: Invalid, Finding: FindingInvalid, Detail: fmt.Sprintf(format, args...)}
}
