package node

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/link"
	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/owner"
	"github.com/burdockward/burdockward/ownership"
	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

// releaseHandler answers requests for targets, and records which of them ask for running jobs.
type releaseHandler struct {
	link.Handler
	released  []owner.Released
	takesJobs []bool
}

func (h *releaseHandler) Release(_ context.Context, successor ownership.GroupClaim) owner.Released {
	released := h.released[len(h.takesJobs)]
	h.takesJobs = append(h.takesJobs, takesJobsAs(successor) == (scheduler.Successor{Owner: "7", Token: 5}))
	return released
}

// Running jobs are asked for until they come. While the previous owner keeps targets, each further answer
// would repeat all jobs with their payloads, every 40 ms.
func TestRunningJobsAreAskedForUntilTheyCome(t *testing.T) {
	self := heartbeat.EntryID("vm", 7)
	handler := &releaseHandler{released: []owner.Released{{}, {Handover: &scheduler.Handover{Jobs: []scheduler.HandedJob{{
		Submission: scheduler.Submission{Job: work.Job{ID: "job", Steps: []work.Step{{Tasks: 1}}}, Part: []string{"job.0.0.0"}, Vouchers: []string{self, "other"}},
	}}}}, {}}}
	server := httptest.NewServer(link.NewServer(handler))
	defer server.Close()
	n := &Node{peerClient: link.NewClient(), options: Options{HandOverJobs: true}}
	n.self.VM, n.self.Incarnation = "vm", 7
	held := ownership.GroupClaim{Group: "g", Version: 5, Claim: &linkpb.Claim{Life: 7}}
	ask := n.newPredecessorRequest(strings.TrimPrefix(server.URL, "http://"), held)
	for _, jobs := range []int{0, 1, 0} {
		released, err := ask(t.Context())
		must.NoError(t, err)
		if jobs == 0 {
			must.Nil(t, released.Handover)
			continue
		}
		must.Eq(t, []string{"other"}, released.Handover.Jobs[0].Submission.Vouchers)
	}
	must.Eq(t, []bool{true, true, false}, handler.takesJobs)
}
