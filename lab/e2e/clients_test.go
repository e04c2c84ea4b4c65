//go:build linux

package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/lab/crowd"
	"github.com/burdockward/burdockward/lab/usage"
	"github.com/burdockward/burdockward/profile"
)

const (
	// daemonMemoryBytes is the memory that CONTRIBUTING.md allows a daemon.
	daemonMemoryBytes = 128 << 20
	// fewDescriptors is a limit of open files that a crowd exceeds.
	fewDescriptors = 300
	// crowdSize is the number of clients of a crowd.
	crowdSize = 100
	// peerBodyBytes is the size of a message to the port of the peers.
	peerBodyBytes = 4 << 20
)

// newCrowdWorld starts a world for clients that misbehave, beside no other test.
func newCrowdWorld(t *testing.T, descriptors int) *world {
	t.Helper()
	return newWorldWith(t, options{profiles: []profile.Profile{common}, alone: true, descriptors: descriptors}, rack{targets: 2, slots: 8})
}

// checkCrowd has a crowd behave at an address of the first VM. Its daemon must live, stay within its memory,
// and serve a submission while the clients keep their connections.
func checkCrowd(t *testing.T, w *world, address fmt.Stringer, size int, behave crowd.Behaviour) {
	t.Helper()
	clients := crowd.New()
	t.Cleanup(clients.Close)
	clients.Add(address.String(), size, behave)
	w.checkMemory(0)
	w.wantServed(0)
	w.checkMemory(0)
}

// checkMemory checks that the daemon of a VM lives and has stayed within its memory.
func (w *world) checkMemory(vm int) {
	w.t.Helper()
	used, err := usage.Of(w.vms[vm].process.cmd.Process.Pid)
	must.NoError(w.t, err)
	w.t.Logf("at most %d MB resident, %d descriptors", used.PeakMemoryBytes>>20, used.Descriptors)
	must.LessEq(w.t, daemonMemoryBytes, used.PeakMemoryBytes)
}

// wantServed checks that a submission gets its whole answer; its caller makes it again, under a new key, while it
// is refused.
func (w *world) wantServed(vm int) {
	w.t.Helper()
	w.await("a submission is served", func() bool {
		key, ok := w.tryKey(vm)
		return ok && w.submit(vm, job(key, sleepTasks(1, time.Millisecond, ""))).hasAnswer()
	})
}

// submitHeader is the header of a submission with one more field.
func submitHeader(field string) []byte {
	return fmt.Appendf(nil, "POST /v1/submissions HTTP/1.1\r\nHost: vm\r\nContent-Type: application/json\r\n%s\r\n\r\n", field)
}

// largeSubmission is the beginning of a submission of the largest legal size.
func largeSubmission() []byte {
	return crowd.Repeat(`{"profile":"common","key":"`, "x", "", api.MaxBodyBytes)
}

func TestUnfinishedBodiesLeaveDaemonWithinMemory(t *testing.T) {
	w := newCrowdWorld(t, 0)
	body := largeSubmission()
	request := append(submitHeader(fmt.Sprintf("Content-Length: %d", len(body))), body[:len(body)-1]...)
	checkCrowd(t, w, w.vms[0].callers, crowdSize, crowd.Send(request))
}

func TestUnfinishedChunksLeaveDaemonWithinMemory(t *testing.T) {
	w := newCrowdWorld(t, 0)
	body := crowd.Chunks(largeSubmission(), 4<<10)
	request := append(submitHeader("Transfer-Encoding: chunked"), body[:len(body)-1]...)
	checkCrowd(t, w, w.vms[0].callers, crowdSize, crowd.Send(request))
}

// The decoded form of a body is many times as large, as each three bytes are a task.
func TestBodiesOfManyTasksLeaveDaemonWithinMemory(t *testing.T) {
	w := newCrowdWorld(t, 0)
	body := crowd.Repeat(`{"profile":"common","tasks":[`, "{},", "{}]}", api.MaxBodyBytes)
	request := append(submitHeader(fmt.Sprintf("Content-Length: %d", len(body))), body...)
	checkCrowd(t, w, w.vms[0].callers, crowdSize, crowd.Send(request))
}

// Whole submissions whose callers don't wait come at once, more than run at a time.
func TestAcceptedSubmissionsLeaveDaemonWithinMemory(t *testing.T) {
	w := newCrowdWorld(t, 0)
	tasks := sleepTasks(1, time.Second, strings.Repeat("x", api.MaxBodyBytes-1<<10))
	var keys sync.Mutex
	checkCrowd(t, w, w.vms[0].callers, crowdSize, func(conn net.Conn) {
		keys.Lock()
		body, err := json.Marshal(job(w.key(0), tasks))
		keys.Unlock()
		must.NoError(t, err)
		header := bytes.Replace(submitHeader(fmt.Sprintf("Content-Length: %d", len(body))), []byte("submissions "), []byte("submissions?wait=false "), 1)
		crowd.Send(header, body)(conn)
		// The answer is read, so that the connection isn't closed under it.
		_, _ = conn.Read(make([]byte, 1))
	})
}

// The decoded form of a header is many times as large, as each six bytes are a field.
func TestUnfinishedHeadersLeaveDaemonWithinMemory(t *testing.T) {
	w := newCrowdWorld(t, 0)
	checkCrowd(t, w, w.vms[0].callers, 5*crowdSize, crowd.Send(crowd.ManyFields("GET / HTTP/1.1", 16<<10)))
}

func TestUnfinishedCallsLeaveDaemonWithinMemory(t *testing.T) {
	w := newCrowdWorld(t, 0)
	call := fmt.Appendf(nil, "POST /twirp/burdockward.peer.Peer/Deliver HTTP/1.1\r\nHost: vm\r\nContent-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n", peerBodyBytes)
	call = append(call, make([]byte, peerBodyBytes-1)...)
	checkCrowd(t, w, w.vms[0].peers, crowdSize, crowd.Send(call))
}

// Clients that open connections to all ports leave descriptors for the rest of the daemon, and places for others.
func TestConnectionsLeaveDescriptorsToDaemon(t *testing.T) {
	w := newCrowdWorld(t, fewDescriptors)
	clients := crowd.New()
	t.Cleanup(clients.Close)
	for _, address := range []fmt.Stringer{w.vms[0].peers, w.vms[0].admin, w.vms[0].callers} {
		clients.Add(address.String(), 2*fewDescriptors, crowd.Send())
	}
	w.wantServed(0)
	response, err := w.admin.Get("http://" + w.vms[0].admin.String() + "/metrics")
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	must.Eq(t, http.StatusOK, response.StatusCode)
	w.checkMemory(0)
}

// Clients that never read their answers leave places for others.
func TestUnreadAnswersLeavePlacesAtDaemon(t *testing.T) {
	w := newCrowdWorld(t, fewDescriptors)
	checkCrowd(t, w, w.vms[0].callers, 2*fewDescriptors, crowd.Flood([]byte("GET /v1/epoch HTTP/1.1\r\nHost: vm\r\n\r\n")))
}
