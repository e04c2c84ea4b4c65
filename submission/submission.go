// Package submission decides what happens to each submission of a caller.
//
// It reserves the key in this VM and claims it in the failure domain. When the key is
// granted, the dispatch duty runs the tasks here; else this VM waits for the answer of
// the VM that runs it. Every caller of a key gets the same outcome. One key is submitted
// to a dispatch duty at most once, and with one content. Answers of submissions that
// this VM ran are kept within a budget of bytes. Keys of other failure domains are
// refused, and burned at their home.
package submission

import (
	"encoding/json"
	"time"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/key"
	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/trace"
)

// Submission is one accepted request of a caller.
type Submission struct {
	// Key is the parsed key, KeyText its text.
	Key     key.Key
	KeyText string
	// Profile names the profile.
	Profile string
	// Deadline is the time until the answer that the caller asked for; 0 stands for the
	// profile's.
	Deadline time.Duration
	// Idempotent is the caller's statement; it only changes the advice in failures.
	Idempotent bool
	Tasks      []api.Task
	// Fingerprint is a hash of the content, by which a second content under the same
	// key is refused.
	Fingerprint uint64
	// Span is the span of the caller's request; later spans of the submission are its
	// children.
	Span trace.SpanContext
}

// maxMS bounds the durations that a caller gives, in milliseconds. A day is longer than
// any submission may take, and sums of such durations do not overflow.
const maxMS = int64(24 * time.Hour / time.Millisecond)

// New returns the submission of a valid request.
func New(request *api.Submission, k key.Key) *Submission {
	for i := range request.Tasks {
		request.Tasks[i].ExpectedMS = min(request.Tasks[i].ExpectedMS, maxMS)
	}
	return &Submission{
		Key:         k,
		KeyText:     request.Key,
		Profile:     request.Profile,
		Deadline:    time.Duration(min(request.DeadlineMS, maxMS)) * time.Millisecond,
		Idempotent:  request.Idempotent,
		Tasks:       request.Tasks,
		Fingerprint: fingerprint(request),
	}
}

// submissionBytes is what a submission takes beside its payloads.
const submissionBytes = 512

// bytes returns about how much memory the submission takes.
func (s *Submission) bytes() int64 {
	bytes := submissionBytes
	for _, task := range s.Tasks {
		bytes += len(task.Payload)
	}
	return int64(bytes)
}

// fingerprint returns a hash of the profile and the payloads. It is never 0, which means
// "not compared" between VMs.
func fingerprint(request *api.Submission) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(request.Profile)
	for _, task := range request.Tasks {
		_, _ = d.Write([]byte{0})
		_, _ = d.Write(task.Payload)
	}
	if sum := d.Sum64(); sum != 0 {
		return sum
	}
	return 1
}

// Outcome is the final answer of a submission, as every caller gets it.
type Outcome struct {
	// Status is the HTTP status.
	Status int
	// Body is the JSON body.
	Body []byte
	// RetryAfter is the time after which to retry; 0 means that a retry does not help.
	RetryAfter time.Duration
	// Run says what happened to the tasks; it is api.Completed for an answer.
	Run api.RunState
	// Kind is the kind of failure; empty for an answer.
	Kind api.Kind
}

// Answered returns the outcome of a submission whose tasks have all completed.
func Answered(keyText string, results []json.RawMessage) *Outcome {
	body, err := json.Marshal(&api.Answer{Key: keyText, Results: results})
	if err != nil {
		return Refused(&api.Failure{
			Kind:    api.KindTaskFailed,
			Message: "a target answered with a result that is not JSON: have the service's task return JSON",
			Run:     api.Failed,
			Key:     keyText,
		})
	}
	return &Outcome{Status: statusOK, Body: append(body, '\n'), Run: api.Completed}
}

// Refused returns the outcome of a failure.
func Refused(f *api.Failure) *Outcome {
	body, err := json.Marshal(&api.FailureBody{Error: f})
	if err != nil {
		// Failure holds only strings and numbers, so it can always be encoded.
		panic(err)
	}
	return &Outcome{
		Status:     StatusOf(f.Kind),
		Body:       append(body, '\n'),
		RetryAfter: time.Duration(f.RetryAfterMS) * time.Millisecond,
		Run:        f.Run,
		Kind:       f.Kind,
	}
}
