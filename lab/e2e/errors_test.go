//go:build linux

package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/profile"
)

func TestFaultyRequestsGetTypedErrors(t *testing.T) {
	w := newWorld(t, []profile.Profile{common}, rack{targets: 2, slots: 8})
	body := func(s api.Submission) string {
		text, err := json.Marshal(s)
		must.NoError(t, err)
		return string(text)
	}
	small := sleepTasks(1, time.Millisecond, "")
	used := job(w.key(0), small)
	w.wantWhole(w.submit(0, used))
	foreign := "hall-b" + strings.TrimPrefix(w.key(0), domain)
	tooLong := job(w.key(0), small)
	tooLong.DeadlineMS = common.MaxDeadlineMS + 1
	noProfile := job(w.key(0), small)
	noProfile.Profile = "nobody-offers-this"
	for _, test := range []struct {
		name   string
		body   string
		status int
		kind   api.Kind
		run    api.RunState
	}{
		{"other failure domain", body(job(foreign, small)), http.StatusMisdirectedRequest, api.KindWrongDomain, api.OutcomeUnknown},
		{"not JSON", "{", http.StatusBadRequest, api.KindMalformed, api.NotRun},
		{"no tasks", body(job(w.key(0), nil)), http.StatusBadRequest, api.KindMalformed, api.NotRun},
		{"no key", body(job("x", small)), http.StatusBadRequest, api.KindInvalidKey, api.NotRun},
		{"unknown epoch", body(job(domain+".tzzzzz-1.k", small)), http.StatusGone, api.KindKeyExpired, api.OutcomeUnknown},
		{"too many tasks", body(job(w.key(0), sleepTasks(api.MaxTasks+1, 0, ""))), http.StatusRequestEntityTooLarge, api.KindTooLarge, api.NotRun},
		{"too many bytes", fmt.Sprintf(`{"key":%q}`, strings.Repeat("x", api.MaxBodyBytes)), http.StatusRequestEntityTooLarge, api.KindTooLarge, api.NotRun},
		{"unknown profile", body(noProfile), http.StatusUnprocessableEntity, api.KindUnknownProfile, api.NotRun},
		{"deadline beyond the profile's", body(tooLong), http.StatusUnprocessableEntity, api.KindNeverRunnable, api.NotRun},
		{"other content", body(job(used.Key, sleepTasks(2, time.Millisecond, ""))), http.StatusConflict, api.KindKeyConflict, api.OutcomeUnknown},
	} {
		for vm := range vmCount {
			r := w.send(http.MethodPost, vm, "/v1/submissions", "", 0, []byte(test.body))
			must.NoError(t, r.err, must.Sprint(test.name, ": ", r))
			must.Eq(t, test.kind, r.kind(), must.Sprint(test.name, ": ", r))
			must.Eq(t, test.status, r.status, must.Sprint(test.name, ": ", r))
			must.Eq(t, test.run, r.runState(), must.Sprint(test.name, ": ", r))
			must.StrContains(t, r.failure.Message, ":", must.Sprint("no remedy: ", r))
		}
	}
	// The key that was sent again with other content still has its first answer.
	w.wantWhole(w.submitUntilDecided(used, 1))
	unknown := w.send(http.MethodGet, 0, "/v1/submissions/"+w.key(0), "", 0, nil)
	must.Eq(t, api.KindNotFound, unknown.kind(), must.Sprint(unknown))
}
