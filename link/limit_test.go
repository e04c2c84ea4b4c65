package link

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/intake"
	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/work"
)

// countingHandler counts the jobs that are handed on.
type countingHandler struct {
	Handler
	runs int
}

func (h *countingHandler) Run(context.Context, Order) work.Outcome {
	h.runs++
	return work.Outcome{Result: work.Completed}
}

// startLimited serves calls whose requests share some bytes, and returns its address.
func startLimited(t *testing.T, h Handler, shared int64) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	limited := intake.Limit(listener, intake.Options{
		Name: "control", Places: 10, Budget: intake.NewBudget(8<<10, shared), WriteTimeout: time.Second, Log: slog.New(slog.DiscardHandler), Count: func(string, string) {},
	})
	server := &http.Server{Handler: NewServer(h), ConnState: limited.TrackState, ConnContext: intake.ConnContext}
	go func() { _ = server.Serve(limited) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// runAt runs a job with a payload at an address.
func runAt(t *testing.T, address string, payload int) work.Outcome {
	t.Helper()
	client := NewClient()
	t.Cleanup(client.Close)
	job := work.Job{ID: "1", Payload: strings.Repeat("x", payload), Steps: []work.Step{{Tasks: 1}}}
	return client.RunWhileAlive(t.Context(), context.Background(), heartbeat.Owner{ControlAddress: address}, Order{Job: job})
}

// An owner without memory for a job refuses it before it is handed on, and takes small ones meanwhile.
func TestCallBeyondMemoryIsRefusedAsNotRun(t *testing.T) {
	h := &countingHandler{}
	address := startLimited(t, h, 1)
	outcome := runAt(t, address, 100_000)
	must.Eq(t, work.Refused, outcome.Result)
	must.Positive(t, outcome.RetryAfter)
	must.Eq(t, 0, h.runs)
	must.Eq(t, work.Completed, runAt(t, address, 100).Result)
	must.Eq(t, 1, h.runs)
}

func TestCallOfTheLargestJobIsServed(t *testing.T) {
	h := &countingHandler{}
	must.Eq(t, work.Completed, runAt(t, startLimited(t, h, 10*maxCallBytes), maxCallBytes-1000).Result)
	must.Eq(t, 1, h.runs)
}

func TestCallBeyondItsBoundIsNotRead(t *testing.T) {
	h := &countingHandler{}
	address := startLimited(t, h, 10*maxCallBytes)
	conn, err := net.Dial("tcp4", address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /twirp/burdockward.link.Fleet/Run HTTP/1.1\r\nHost: vm\r\nContent-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n", maxCallBytes+1)
	must.NoError(t, err)
	answer, _ := io.ReadAll(conn)
	must.StrHasPrefix(t, "HTTP/1.1 400", string(answer))
	must.Eq(t, 0, h.runs)
}

// Decoding a request takes no more memory than was reserved for it, also if it has many empty parts.
func TestDecodingStaysWithinItsReservation(t *testing.T) {
	steps, names := &linkpb.Job{}, []string{}
	for range 20_000 {
		steps.Steps = append(steps.Steps, &linkpb.Step{})
		names = append(names, "")
	}
	for _, request := range []*linkpb.RunRequest{
		{Job: steps}, {Part: names}, {Job: &linkpb.Job{Id: "1", Payload: strings.Repeat("x", 100_000)}},
		{Group: "g", Entry: "vm-1", Job: jobToWire(work.Job{ID: "1", Payload: "x", Steps: []work.Step{{Tasks: 2}, {Tasks: 3, DependsOn: []int{0}}}})},
	} {
		body, err := proto.Marshal(request)
		must.NoError(t, err)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		var decoded linkpb.RunRequest
		must.NoError(t, proto.Unmarshal(body, &decoded))
		_ = jobFromWire(decoded.GetJob())
		runtime.ReadMemStats(&after)
		must.LessEq(t, uint64(decodingBytes(body)+4<<10), after.TotalAlloc-before.TotalAlloc)
	}
}

func TestCallsInOtherEncodingsAreNotDecoded(t *testing.T) {
	h := &countingHandler{}
	address := startLimited(t, h, 1<<20)
	response, err := http.Post("http://"+address+"/twirp/burdockward.link.Fleet/Run", "application/json", strings.NewReader("{}"))
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	must.Eq(t, http.StatusBadRequest, response.StatusCode)
	must.Eq(t, 0, h.runs)
}
