// Package targetclient is the client of targets, the back ends that run tasks under
// leases. docs/PLATFORM.md describes the messages.
//
// A start is sent at most once. Its error says whether the task can have begun:
// *NotStartedError (it has not and will not) or *UnknownOutcomeError (it may have, and must
// not be started again).
package targetclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/burdockward/burdockward/sendonce"
)

// Defaults of Options.
const (
	DefaultCallTimeout = time.Second
	DefaultAnswerGrace = 5 * time.Second
)

// Paths of the target's interface.
const (
	PathLeases = "/v1/leases"
	PathTasks  = "/v1/tasks"
	PathStop   = "/v1/tasks/stop"
)

// Options are the settings of a Client; zero values stand for the defaults.
type Options struct {
	// CallTimeout bounds a lease, stop or revoke call.
	CallTimeout time.Duration
	// AnswerGrace is how long after the run limit of a task its answer is awaited.
	AnswerGrace time.Duration
	// HTTP are the settings of the connections.
	HTTP sendonce.Options
}

// Client sends requests to any number of targets. It is safe for concurrent use.
type Client struct {
	once        *sendonce.Client
	callTimeout time.Duration
	answerGrace time.Duration
}

// New returns a client.
func New(options Options) *Client {
	if options.CallTimeout == 0 {
		options.CallTimeout = DefaultCallTimeout
	}
	if options.AnswerGrace == 0 {
		options.AnswerGrace = DefaultAnswerGrace
	}
	return &Client{
		once:        sendonce.New(options.HTTP),
		callTimeout: options.CallTimeout,
		answerGrace: options.AnswerGrace,
	}
}

// Close closes the connections that are not in use.
func (c *Client) Close() { c.once.Close() }

// Lease acquires or renews the lease of a holder ("<vm id>/<incarnation>") at the target
// with the address "IP:port". The caller counts the time to live from before the call. A
// refusal is a *LeaseRefusedError.
func (c *Client) Lease(ctx context.Context, address, holder string) (Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	answer, err := c.post(ctx, address, PathLeases, leaseRequest{Holder: holder})
	if err != nil {
		return Lease{}, fmt.Errorf("lease at target %s: %w", address, err)
	}
	return readLease(address, answer)
}

func readLease(address string, answer *sendonce.Answer) (Lease, error) {
	switch answer.Status {
	case http.StatusOK:
		var lease Lease
		if err := json.Unmarshal(answer.Body, &lease); err != nil {
			return Lease{}, fmt.Errorf("lease at target %s: malformed answer, check the target's version: %w", address, err)
		}
		if lease.ID == "" || lease.TTLMS <= 0 {
			return Lease{}, fmt.Errorf("lease at target %s: answer without lease or ttl_ms, check the target's version", address)
		}
		return lease, nil
	case http.StatusConflict:
		var refusal leaseRefusal
		if err := json.Unmarshal(answer.Body, &refusal); err != nil {
			return Lease{}, fmt.Errorf("lease at target %s: malformed refusal, check the target's version: %w", address, err)
		}
		return Lease{}, &LeaseRefusedError{Address: address, Reason: refusal.Reason}
	}
	return Lease{}, fmt.Errorf("lease at target %s: status %d, check that the address is a target", address, answer.Status)
}

// Start starts a task and waits until it ends. The error is a *NotStartedError or an
// *UnknownOutcomeError. If ctx ends before the first byte is written, the start is never
// sent.
func (c *Client) Start(ctx context.Context, address string, request StartRequest) (StartResponse, error) {
	if request.RunLimitMS > 0 {
		limit := time.Duration(request.RunLimitMS)*time.Millisecond + c.answerGrace
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	answer, err := c.post(ctx, address, PathTasks, request)
	if err != nil {
		return StartResponse{}, startError(ctx, address, err)
	}
	return readStart(address, request, answer)
}

func startError(ctx context.Context, address string, err error) error {
	var unsent *sendonce.UnsentError
	if !errors.As(err, &unsent) {
		return &UnknownOutcomeError{Address: address, Err: err}
	}
	reason := ReasonUnreachable
	if ctx.Err() != nil {
		reason = ReasonCancelled
	}
	return &NotStartedError{Address: address, Reason: reason, Err: unsent.Err}
}

// readStart accepts only answers that follow the protocol and repeat the task. After any
// other answer it is unknown whether the task ran.
func readStart(address string, request StartRequest, answer *sendonce.Answer) (StartResponse, error) {
	unknown := func(format string, args ...any) (StartResponse, error) {
		return StartResponse{}, &UnknownOutcomeError{Address: address, Err: fmt.Errorf(format, args...)}
	}
	if answer.Status != http.StatusOK && answer.Status != http.StatusConflict {
		return unknown("status %d, check that the address is a target", answer.Status)
	}
	var body startAnswer
	if err := json.Unmarshal(answer.Body, &body); err != nil {
		return unknown("malformed answer, check the target's version: %w", err)
	}
	if body.Submission != request.Submission || body.Task == nil || *body.Task != request.Task {
		return unknown("answer is not for this task, check the target's version")
	}
	if answer.Status == http.StatusConflict {
		if body.Outcome != outcomeNotStarted {
			return unknown("conflict with outcome %q, check the target's version", body.Outcome)
		}
		return StartResponse{}, &NotStartedError{Address: address, Reason: body.Reason, Load: &body.Load}
	}
	switch body.Outcome {
	case OutcomeDone, OutcomeFailed, OutcomeStopped:
		return StartResponse{Outcome: body.Outcome, Result: body.Result, Error: body.Error, Load: body.Load}, nil
	}
	return unknown("outcome %q, check the target's version", body.Outcome)
}

// Stop stops running tasks, after a checkpoint if requested, and returns how many of them
// were running. It may be repeated. The start of a stopped task returns OutcomeStopped.
func (c *Client) Stop(ctx context.Context, address string, tasks []TaskID, checkpoint bool) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	answer, err := c.post(ctx, address, PathStop, stopRequest{Tasks: tasks, Checkpoint: checkpoint})
	if err != nil {
		return 0, fmt.Errorf("stop at target %s: %w", address, err)
	}
	if answer.Status != http.StatusOK {
		return 0, fmt.Errorf("stop at target %s: status %d, check that the address is a target", address, answer.Status)
	}
	var body stopAnswer
	if err := json.Unmarshal(answer.Body, &body); err != nil {
		return 0, fmt.Errorf("stop at target %s: malformed answer, check the target's version: %w", address, err)
	}
	return body.Stopped, nil
}

func (c *Client) post(ctx context.Context, address, path string, message any) (*sendonce.Answer, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, &sendonce.UnsentError{Err: fmt.Errorf("encode request, check its payload: %w", err)}
	}
	return c.once.Post(ctx, "http://"+address+path, body)
}
