package target

import (
	"encoding/json"
	"net/http"
	"testing"

	client "github.com/burdockward/burdockward/targetclient"
	"github.com/shoenig/test/must"
)

func TestRevokedLeaseStartsNothing(t *testing.T) {
	bubble(t, Options{}, func(t *testing.T, s *Server, lease string) {
		ended := goStart(t, s, lease, 0, Payload{RunMS: 1000})
		kept := takeLease(t, s, "vm/2")
		other := goStart(t, s, kept, 1, Payload{RunMS: 1000})
		answer := revokeExcept(t, s, "vm/2")
		must.Eq(t, []client.RunningTask{{TaskID: client.TaskID{Submission: "k"}, Limits: []string{"profile/p"}}}, answer)
		must.Eq(t, string(client.ReasonLeaseLapsed), startTask(t, s, lease, 2, Payload{}, 0).Reason)
		must.Eq(t, client.OutcomeDone, startTask(t, s, kept, 3, Payload{}, 0).Outcome)
		must.Eq(t, client.OutcomeDone, (<-ended).Outcome)
		must.Eq(t, client.OutcomeDone, (<-other).Outcome)
		must.SliceEmpty(t, revokeExcept(t, s, "vm/2"))
		// A revoked holder can take a new lease.
		must.NotEq(t, lease, takeLease(t, s, "vm/1"))
	})
}

func revokeExcept(t *testing.T, s *Server, holders ...string) []client.RunningTask {
	got, body := call(t, s, client.PathRevoke, client.RevokeRequest{Holders: holders})
	must.Eq(t, http.StatusOK, got.status)
	var answer client.RevokeResponse
	must.NoError(t, json.Unmarshal(body, &answer))
	return answer.Running
}
