package targetclient

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestRevokeReturnsTasksAndRefusesMalformedAnswers(t *testing.T) {
	holders := []string{"vm/1"}
	running, err := New(Options{}).Revoke(t.Context(), serve(t, 200, `{"running":[{"submission":"k","task":2,"limits":["profile/p"]},{"submission":"k","task":3,"limits":[]}]}`), holders)
	must.NoError(t, err)
	must.Eq(t, []RunningTask{
		{TaskID: TaskID{Submission: "k", Task: 2}, Limits: []string{"profile/p"}},
		{TaskID: TaskID{Submission: "k", Task: 3}, Limits: []string{}},
	}, running)
	for body, status := range map[string]int{
		`{"running":[{"submission":"k","task":2}]}`: 200,
		`{}`:             200,
		`{"running":[]`:  200,
		`{"running":[]}`: 404,
	} {
		_, err := New(Options{}).Revoke(t.Context(), serve(t, status, body), holders)
		must.Error(t, err, must.Sprint(body))
	}
}
