package load

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"strings"

	"github.com/burdockward/burdockward/lab/standin/target"
)

// taskResult is the result that a target stand-in is asked to return.
type taskResult struct {
	Nonce   string `json:"nonce"`
	Padding string `json:"padding,omitempty"`
}

// taskPayload makes the payload that has a target stand-in run the task and return the nonce.
func taskPayload(job *Job, t Task, nonce string) json.RawMessage {
	return mustMarshal(target.Payload{
		RunMS:  float64(t.Run.Milliseconds()),
		Result: mustMarshal(taskResult{Nonce: nonce, Padding: strings.Repeat("x", t.Padding)}),
		Label:  job.Profile,
	})
}

func mustMarshal(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // the types of this package always marshal
	}
	return data
}

// nonce returns a value that is unique to one task of one submission of one run. It doesn't contain
// the key, so that a result can only have it from the task's payload.
func nonce(run string, job, resubmission, task int) string {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%d/%d/%d", run, job, resubmission, task)
	return fmt.Sprintf("%016x", h.Sum64())
}

// checkResults returns what is wrong with the results of a submission and its detail, or empty
// strings when each task's result has its nonce.
func checkResults(results []json.RawMessage, nonces []string) (Finding, string) {
	if len(results) != len(nonces) {
		return FindingPartial, fmt.Sprintf("%d results for %d tasks", len(results), len(nonces))
	}
	for i, raw := range results {
		var res taskResult
		if err := json.Unmarshal(raw, &res); err != nil {
			return FindingPartial, fmt.Sprintf("result %d: %v", i, err)
		}
		if res.Nonce != nonces[i] {
			return FindingForeign, fmt.Sprintf("result %d has the nonce %q, want %q", i, res.Nonce, nonces[i])
		}
	}
	return "", ""
}
