package platform

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	client "github.com/burdockward/burdockward/tableservice"
	"github.com/shoenig/test/must"
)

// serve serves a stand-in on loopback and returns it with a client.
func serve(t *testing.T, options Options) (*Server, *client.Client) {
	s := New(options)
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	c, err := client.New(client.Options{URL: server.URL})
	must.NoError(t, err)
	return s, c
}

// write returns a commit that writes one row of table t if the row has the expected version.
func write(key string, expect uint64, value string) client.Commit {
	return client.Commit{
		Expect: []client.Expectation{{Table: "t", Key: key, Version: expect}},
		Writes: []client.Write{{Table: "t", Key: key, Value: json.RawMessage(value)}},
	}
}

func TestCommitsAndChanges(t *testing.T) {
	_, c := serve(t, Options{})
	for i, commit := range []client.Commit{write("a", 0, "1"), write("b", 0, "2"), write("a", 1, "3"), write("b", 2, "null")} {
		version, err := c.Commit(t.Context(), commit)
		must.NoError(t, err)
		must.Eq(t, uint64(i+1), version)
	}
	changes, err := c.Changes(t.Context(), "t", 1)
	must.NoError(t, err)
	must.Eq(t, client.Changes{Version: 4, Rows: []client.Row{{Key: "a", Version: 3, Value: json.RawMessage("3")}, {Key: "b", Version: 4}}}, changes)
	changes, err = c.Changes(t.Context(), "other", 0)
	must.NoError(t, err)
	must.Eq(t, client.Changes{Version: 4, Rows: []client.Row{}}, changes)
}

func TestCommitIsAllOrNothing(t *testing.T) {
	s, c := serve(t, Options{})
	_, err := c.Commit(t.Context(), write("a", 0, "1"))
	must.NoError(t, err)
	both := write("b", 0, "2")
	both.Expect = append(both.Expect, client.Expectation{Table: "t", Key: "a", Version: 7})
	_, err = c.Commit(t.Context(), both)
	var conflict *client.ConflictError
	must.True(t, errors.As(err, &conflict), must.Sprint(err))
	must.Eq(t, client.Expectation{Table: "t", Key: "a", Version: 1}, conflict.Expectation)
	_, err = c.Commit(t.Context(), write("a", 0, "2"))
	must.True(t, errors.As(err, &conflict), must.Sprint("a row that exists"))
	must.Eq(t, uint64(1), s.Stats().Version)
	must.Eq(t, uint64(2), s.Stats().Conflicts)
}

func TestDeletedRowDoesNotExist(t *testing.T) {
	_, c := serve(t, Options{})
	for _, commit := range []client.Commit{write("a", 0, "1"), write("a", 1, "null"), write("a", 0, "2")} {
		_, err := c.Commit(t.Context(), commit)
		must.NoError(t, err)
	}
}

func TestCommitWithLostAnswerTakesEffect(t *testing.T) {
	s, c := serve(t, Options{})
	s.SetFaults(Faults{LoseAnswers: true})
	_, err := c.Commit(t.Context(), write("a", 0, "1"))
	must.ErrorIs(t, err, client.ErrUnknownOutcome)
	must.Eq(t, uint64(1), s.Stats().Version)
	s.SetFaults(Faults{Cut: true})
	_, err = c.Commit(t.Context(), write("b", 0, "1"))
	must.ErrorIs(t, err, client.ErrUnknownOutcome)
	must.Eq(t, uint64(1), s.Stats().Version)
}

func TestDownRefusesCalls(t *testing.T) {
	s, c := serve(t, Options{})
	s.SetFaults(Faults{Down: true})
	_, err := c.Commit(t.Context(), write("a", 0, "1"))
	must.ErrorIs(t, err, client.ErrUnavailable)
	_, err = c.Changes(t.Context(), "t", 0)
	must.ErrorIs(t, err, client.ErrUnavailable)
	_, err = c.VMs(t.Context(), "d", 0)
	must.ErrorIs(t, err, client.ErrUnavailable)
	must.Eq(t, uint64(0), s.Stats().Version)
	must.Eq(t, uint64(3), s.Stats().Refused)
}

func TestReadsShowEarlierCommits(t *testing.T) {
	s, c := serve(t, Options{})
	for i := range uint64(3) {
		_, err := c.Commit(t.Context(), write("a", i, "1"))
		must.NoError(t, err)
	}
	versions := func(faults Faults, since uint64) (seen []uint64) {
		s.SetFaults(faults)
		for range 2 {
			changes, err := c.Changes(t.Context(), "t", since)
			must.NoError(t, err)
			seen = append(seen, changes.Version)
			must.True(t, len(changes.Rows) == 1 == (changes.Version > since))
		}
		return seen
	}
	must.Eq(t, []uint64{1, 1}, versions(Faults{StaleCommits: 2}, 0))
	must.Eq(t, []uint64{1, 1}, versions(Faults{StaleCommits: 2}, 2))
	must.Eq(t, []uint64{0, 0}, versions(Faults{StaleCommits: 9}, 2))
	must.Eq(t, []uint64{2, 3}, versions(Faults{StaleCommits: 1, StaleAlternate: true}, 0))
	must.Eq(t, []uint64{3, 3}, versions(Faults{}, 0))
}

func TestVMListSinceVersion(t *testing.T) {
	s, c := serve(t, Options{})
	s.PutVM(client.VM{ID: "b", Domain: "d", State: client.StateLive})
	s.PutVM(client.VM{ID: "a", Domain: "d", State: client.StateLeaving})
	s.PutVM(client.VM{ID: "c", Domain: "other"})
	list, err := c.VMs(t.Context(), "d", 2)
	must.NoError(t, err)
	must.Eq(t, uint64(3), list.Version)
	must.Eq(t, []string{"a", "b"}, []string{list.VMs[0].ID, list.VMs[1].ID})
	s.PutVM(client.VM{ID: "c", Domain: "other"})
	list, err = c.VMs(t.Context(), "d", 3)
	must.NoError(t, err)
	must.Eq(t, client.List{Version: 3}, list)
}

// serveRequest passes one request to the handler without a network.
func serveRequest(s *Server, method, path, body string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	return recorder
}

func TestVMListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		must.Eq(t, http.StatusOK, serveRequest(s, "POST", "/fault", `{"list_lag_ms":2000}`).Code)
		must.Eq(t, http.StatusOK, serveRequest(s, "PUT", "/v1/vms/a", `{"domain":"d"}`).Code)
		time.Sleep(time.Second)
		must.Eq(t, http.StatusNoContent, serveRequest(s, "DELETE", "/v1/vms/a", "").Code)
		listed := func() int {
			return strings.Count(serveRequest(s, "GET", "/v1/vms?domain=d", "").Body.String(), `"id":"a"`)
		}
		must.Eq(t, 0, listed())
		time.Sleep(time.Second)
		must.Eq(t, 1, listed())
		time.Sleep(time.Second)
		must.Eq(t, 0, listed())
	})
}

func TestSlowCommitTakesEffectLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		s.SetFaults(Faults{SlowMS: 3000})
		go serveRequest(s, "POST", "/v1/commit", `{"writes":[{"table":"t","key":"a","value":1}]}`)
		time.Sleep(2999 * time.Millisecond)
		must.Eq(t, uint64(0), s.Stats().Version)
		time.Sleep(2 * time.Millisecond)
		must.Eq(t, uint64(1), s.Stats().Version)
	})
}

func TestReadsBeyondLimitAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{ReadsPerSecond: 2})
		codes := func() (codes []int) {
			for range 3 {
				codes = append(codes, serveRequest(s, "GET", "/v1/tables/t?since=0", "").Code)
			}
			return codes
		}
		must.Eq(t, []int{200, 200, 429}, codes())
		time.Sleep(500 * time.Millisecond)
		must.Eq(t, []int{200, 429, 429}, codes())
		time.Sleep(time.Hour)
		must.Eq(t, []int{200, 200, 429}, codes())
	})
}

func TestReadsAndCommitsBeyondLimitAreDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{ReadsPerSecond: 2, WritesPerSecond: 4, DelayReads: true, CommitTime: 5 * time.Millisecond})
		began := time.Now()
		for range 4 {
			must.Eq(t, http.StatusOK, serveRequest(s, "GET", "/v1/tables/t?since=0", "").Code)
		}
		must.Eq(t, time.Second, time.Since(began))
		began = time.Now()
		for range 4 {
			must.Eq(t, http.StatusOK, serveRequest(s, "POST", "/v1/commit", `{}`).Code)
		}
		must.Eq(t, 20*time.Millisecond, time.Since(began))
		must.Eq(t, uint64(4), s.Stats().Reads["t"])
	})
}

func TestResetClearsFaults(t *testing.T) {
	s := New(Options{})
	serveRequest(s, "POST", "/fault", `{"down":true}`)
	must.Eq(t, http.StatusServiceUnavailable, serveRequest(s, "GET", "/v1/vms", "").Code)
	serveRequest(s, "POST", "/fault", `{"reset":true,"down":true}`)
	must.Eq(t, http.StatusOK, serveRequest(s, "GET", "/v1/vms", "").Code)
	must.Eq(t, http.StatusBadRequest, serveRequest(s, "GET", "/v1/vms?since=x", "").Code)
	must.Eq(t, http.StatusBadRequest, serveRequest(s, "GET", "/v1/tables/t", "").Code)
}
