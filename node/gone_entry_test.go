package node

import (
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/work"
)

// An owner starts nothing for a request that it reads after the entry VM has closed the connection,
// though the ping that gave the job up came earlier and found no job.
func TestRequestOfGoneEntryVMIsNotStarted(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	warm := f.runJob(t.Context(), "1")
	f.target.end(<-f.target.began, work.CompletionDone)
	must.Eq(t, work.Completed, (<-warm).Result)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	const jobs = 10
	for i := range jobs {
		id := fmt.Sprintf("%016d", i)
		body, err := proto.Marshal(&linkpb.RunRequest{
			Group: "d", Entry: entryVM, Stamp: int64(bootclock.Now()), Request: uint64(i + 10),
			Job:   &linkpb.Job{Id: id, Steps: []*linkpb.Step{{Tasks: 1, Each: &linkpb.Resources{Cpu: 1}, EstimateUs: 500000}}},
			Queue: &linkpb.Queue{Name: "q", Service: "s", MaxAttempts: 1, Stretch: 2, AllowanceUs: 60000000},
		})
		must.NoError(t, err)
		conn, err := net.Dial("tcp4", listener.Addr().String())
		must.NoError(t, err)
		_, err = fmt.Fprintf(conn, "POST %sRun HTTP/1.1\r\nHost: h\r\nContent-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n%s", linkpb.FleetPathPrefix, len(body), body)
		must.NoError(t, err)
		must.NoError(t, conn.Close())
		f.node.ReceiveKeepalive(entryVM, bootclock.Now()+time.Hour, []heartbeat.GivenUp{{Job: id}})
	}
	handled := make(chan struct{}, jobs)
	handler := f.node.handler()
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			handler.ServeHTTP(w, r)
			handled <- struct{}{}
		}),
		ConnContext: platform.CallerContext, ErrorLog: log.New(io.Discard, "", 0),
	}
	go func() { _ = server.Serve(listener) }()
	for range jobs {
		<-handled
	}
	must.NoError(t, server.Close())
	starts, _ := f.target.counts()
	must.Eq(t, 1, starts)
}
