package targetclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// PathRevoke is the path of Revoke.
const PathRevoke = "/v1/leases/revoke"

// RevokeRequest asks a target to revoke the leases of all holders but the named ones.
type RevokeRequest struct {
	// Holders keep their leases.
	Holders []string `json:"holders"`
}

// RevokeResponse names the tasks that were started under leases of other holders
// and still run.
type RevokeResponse struct {
	Running []RunningTask `json:"running"`
}

// RunningTask is a task that a target runs.
type RunningTask struct {
	TaskID
	// Limits are the limits that were sent with its start.
	Limits []string `json:"limits"`
}

// Revoke revokes the leases of all holders at a target but the given ones. It returns the
// tasks that were started under leases of other holders and still run there. It may be
// repeated. After an error it is unknown which tasks run.
func (c *Client) Revoke(ctx context.Context, address string, holders []string) ([]RunningTask, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	answer, err := c.post(ctx, address, PathRevoke, RevokeRequest{Holders: holders})
	if err != nil {
		return nil, fmt.Errorf("revoke leases at target %s: %w", address, err)
	}
	if answer.Status != http.StatusOK {
		return nil, fmt.Errorf("revoke leases at target %s: status %d, check that the target's version has this call", address, answer.Status)
	}
	var body RevokeResponse
	if err := json.Unmarshal(answer.Body, &body); err != nil {
		return nil, fmt.Errorf("revoke leases at target %s: malformed answer, check the target's version: %w", address, err)
	}
	if body.Running == nil {
		return nil, fmt.Errorf("revoke leases at target %s: answer without running tasks, check the target's version", address)
	}
	for _, task := range body.Running {
		if task.Limits == nil {
			return nil, fmt.Errorf("revoke leases at target %s: task %d of %s without limits, check the target's version", address, task.Task, task.Submission)
		}
	}
	return body.Running, nil
}
