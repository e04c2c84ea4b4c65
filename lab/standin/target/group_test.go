package target

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/burdockward/burdockward/lab/standin/platform"
	platformclient "github.com/burdockward/burdockward/tableservice"
	client "github.com/burdockward/burdockward/targetclient"
	"github.com/shoenig/test/must"
)

// runGroup serves a group that is registered at a platform stand-in.
func runGroup(t *testing.T, options GroupOptions) (*Group, *platformclient.Client) {
	server := httptest.NewServer(platform.New(platform.Options{}))
	t.Cleanup(server.Close)
	options.Platform, options.Domain = server.URL, "d"
	options.Listen, options.Control = "127.0.0.1:0", "127.0.0.1:0"
	group, err := NewGroup(options)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ready, done := make(chan struct{}), make(chan error, 1)
	go func() {
		done <- group.Run(ctx, func() error { close(ready); return nil })
	}()
	<-ready
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
	list, err := platformclient.New(platformclient.Options{URL: server.URL})
	must.NoError(t, err)
	return group, list
}

func postFault(t *testing.T, address, query, faults string) int {
	t.Helper()
	response, err := http.Post("http://"+address+"/fault"+query, "application/json", strings.NewReader(faults))
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	return response.StatusCode
}

func TestGroupRegistersAndLeaves(t *testing.T) {
	group, platform := runGroup(t, GroupOptions{Count: 3, Slots: 4, RackSize: 2, IDPrefix: "x"})
	list, err := platform.VMs(t.Context(), "d", 0)
	must.NoError(t, err)
	must.Len(t, 3, list.VMs)
	must.Eq(t, platformclient.VM{
		ID: "x-2", Kind: platformclient.KindTarget, Domain: "d", Rack: "x-rack-1",
		Address: group.Targets[2].Address, Slots: 4, State: platformclient.StateLive,
	}, list.VMs[2])

	must.Eq(t, http.StatusOK, postFault(t, group.Control, "?target=x-1", `{"leaving":true}`))
	must.Eq(t, http.StatusNotFound, postFault(t, group.Control, "?target=x-9", `{}`))
	list, err = platform.VMs(t.Context(), "d", 0)
	must.NoError(t, err)
	must.Eq(t, []platformclient.State{"live", "leaving", "live"}, []platformclient.State{list.VMs[0].State, list.VMs[1].State, list.VMs[2].State})
}

// TestClientWorksWithStandIn runs the real target client against the stand-in.
func TestClientWorksWithStandIn(t *testing.T) {
	group, _ := runGroup(t, GroupOptions{Count: 1, Slots: 4, RackSize: 1, IDPrefix: "x"})
	address := group.Targets[0].Address
	c := client.New(client.Options{})
	lease, err := c.Lease(t.Context(), address, "vm/1")
	must.NoError(t, err)
	must.Eq(t, 4, lease.Slots)

	request := client.StartRequest{Submission: "k", Lease: lease.ID, RunLimitMS: 60_000, Payload: json.RawMessage(`{"run_ms":1,"result":[7]}`)}
	response, err := c.Start(t.Context(), address, request)
	must.NoError(t, err)
	must.Eq(t, client.StartResponse{Outcome: client.OutcomeDone, Result: json.RawMessage(`[7]`), Load: client.Load{Slots: 4}}, response)

	var unknown *client.UnknownOutcomeError
	must.Eq(t, http.StatusOK, postFault(t, address, "", `{"drop_after_start":true}`))
	request.Task = 1
	_, err = c.Start(t.Context(), address, request)
	must.True(t, errors.As(err, &unknown), must.Sprint(err))

	var refused *client.NotStartedError
	must.Eq(t, http.StatusOK, postFault(t, address, "", `{"restart":true}`))
	request.Task = 2
	_, err = c.Start(t.Context(), address, request)
	must.True(t, errors.As(err, &refused), must.Sprint(err))
	must.Eq(t, client.ReasonLeaseLapsed, refused.Reason)

	summary := group.log.Summary()
	must.Eq(t, 2, summary.Total)
	must.Eq(t, 0, summary.DuplicateTasks)
}

func TestNthAddress(t *testing.T) {
	for _, test := range []struct{ listen, want string }{{"127.0.0.1:0", "127.0.0.1:0"}, {"127.0.0.1:80", "127.0.0.1:83"}} {
		got, err := nthAddress(test.listen, 3)
		must.NoError(t, err)
		must.Eq(t, test.want, got)
	}
}
