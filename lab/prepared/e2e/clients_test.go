package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/lab/crowd"
	"github.com/burdockward/burdockward/lab/prepared"
	"github.com/burdockward/burdockward/platform/wire"
)

// Clients that misbehave must not end or block a process. These tests check that it lives, that its memory and
// its open descriptors stay within the limits of its settings, and that a job is served while the clients keep
// their connections. Nothing that they check depends on the speed of the machine.

const (
	// crowdMemoryMB is smaller than the memory of any VM in use, so that a small crowd suffices.
	crowdMemoryMB = 96
	// crowdDescriptors allows as many callers as a crowd has.
	crowdDescriptors = 1800
	// fewDescriptors leaves places for 20 callers.
	fewDescriptors = 260
	// maxBody is the largest body that the operator allows.
	maxBody = 256 << 10
	// maxHeader is the largest header that the process takes.
	maxHeader = 16 << 10
	// maxTasks is the most tasks of a job.
	maxTasks = 1000
	// callBytes is the size of a call or an order that is sent to the ports for other VMs.
	callBytes = 1 << 20
	// crowdSize is the number of clients of a crowd.
	crowdSize = 500
	// fewClients take all places of a process with fewDescriptors, and as many wait for one.
	fewClients = 40
	// hangTimeout is the time after which something that should happen counts as never happening.
	hangTimeout = time.Minute
)

// crowdOptions are those of a deployment with one VM.
func crowdOptions() prepared.Options {
	return prepared.Options{
		Domains: 1, VMs: 1, Targets: 3, MemoryMB: crowdMemoryMB, Descriptors: crowdDescriptors, MaxBodyBytes: maxBody,
	}
}

// fewPlacesOptions are those of a deployment with one VM that has places for few callers.
func fewPlacesOptions() prepared.Options {
	o := crowdOptions()
	o.Descriptors = fewDescriptors
	return o
}

// newCrowd returns a crowd whose connections stay open until the test ends.
func newCrowd(t *testing.T) *crowd.Crowd {
	c := crowd.New()
	t.Cleanup(c.Close)
	return c
}

// settle waits until a process has taken what a crowd has sent: its usage no longer changes.
func settle(t *testing.T, vm *prepared.VM) {
	t.Helper()
	const samples = 5
	before, _ := vm.Usage()
	for same := 0; same < samples; {
		wait(100 * time.Millisecond)
		now, err := vm.Usage()
		must.NoError(t, err)
		if same++; now != before {
			same, before = 0, now
		}
	}
}

// checkUsage checks that the processes live and stay within the limits of their settings.
func checkUsage(t *testing.T, d *prepared.Deployment, o prepared.Options) {
	t.Helper()
	for _, vm := range d.VMs {
		usage, err := vm.Usage()
		must.NoError(t, err)
		t.Logf("%s: at most %d MB resident, %d descriptors", vm.Name, usage.PeakMemoryBytes>>20, usage.Descriptors)
		must.LessEq(t, int64(o.MemoryMB)<<20, usage.PeakMemoryBytes)
		must.LessEq(t, o.Descriptors, usage.Descriptors)
	}
}

// mustServe checks that a job of a size is completed; its caller sends it again while it is refused.
func mustServe(t *testing.T, d *prepared.Deployment, bytes int) {
	t.Helper()
	status, state := 0, ""
	for end := time.Now().Add(hangTimeout); time.Now().Before(end); wait(200 * time.Millisecond) {
		if status, state = d.Submit(d.VMs[0], bytes); status == http.StatusOK {
			break
		}
	}
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, "completed", state)
}

// checkCrowd starts a deployment and has a crowd behave at an address of its first VM. The processes must stay
// within their limits and serve a job.
func checkCrowd(t *testing.T, o prepared.Options, address func(*prepared.VM) string, size int, behave crowd.Behaviour) {
	t.Helper()
	d := startWith(t, o)
	newCrowd(t).Add(address(d.VMs[0]), size, behave)
	settle(t, d.VMs[0])
	checkUsage(t, d, o)
	mustServe(t, d, 0)
	checkUsage(t, d, o)
}

// checkReturningCrowd is checkCrowd for clients that come back as soon as they are closed.
func checkReturningCrowd(t *testing.T, behave crowd.Behaviour) {
	t.Helper()
	o := fewPlacesOptions()
	d := startWith(t, o)
	newCrowd(t).AddReturning(d.VMs[0].Frontend(), fewClients, behave)
	for range 3 {
		mustServe(t, d, 0)
	}
	checkUsage(t, d, o)
}

// postHeader is the header of a submission with one more field.
func postHeader(field string) []byte {
	return fmt.Appendf(nil, "POST %s%016x HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n%s\r\n\r\n", prepared.Path, 1, prepared.Host, field)
}

// sizedHeader is the header of a submission that announces the length of its body.
func sizedHeader(length int) []byte { return postHeader(fmt.Sprintf("Content-Length: %d", length)) }

// chunkedHeader is the header of a submission whose body comes in chunks.
func chunkedHeader() []byte { return postHeader("Transfer-Encoding: chunked") }

// question is a request that has no body; fields end in line breaks.
func question(fields string) []byte {
	return fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n%s\r\n", prepared.Path, prepared.Host, fields)
}

// largeBody is the beginning of a job, of the largest legal size.
func largeBody() []byte { return crowd.Repeat(`{"spec":"`, "x", "", maxBody) }

// manySteps is a body of the largest legal size. Its decoded form is many times as large, as each three bytes
// are a step.
func manySteps() []byte { return crowd.Repeat(`{"steps":[`, "{},", "{}]}", maxBody) }

// submission is a whole submission with a body.
func submission(body []byte) []byte { return append(sizedHeader(len(body)), body...) }

// unfinishedCall is a call of another VM without its last byte, unfinishedOrder an order to be relayed.
func unfinishedCall() []byte {
	call := fmt.Appendf(nil, "POST /twirp/burdockward.link.Fleet/Run HTTP/1.1\r\nHost: vm\r\nContent-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n", callBytes)
	return append(call, make([]byte, callBytes-1)...)
}

func unfinishedOrder() []byte {
	length := []byte{0x80, 0x80, 0x40}
	return append(length, make([]byte, callBytes-1)...)
}

// unfinishedMetricsHeader is the header of a request for metrics.
func unfinishedMetricsHeader() []byte {
	return crowd.Repeat("GET /metrics HTTP/1.1\r\nHost: vm\r\n", "a:bcdef\r\n", "", 900<<10)
}

// withoutLast returns data without its last byte.
func withoutLast(data []byte) []byte { return data[:len(data)-1] }

// The addresses of a VM that are not for callers.
func control(vm *prepared.VM) string { address, _, _, _ := vm.OtherAddresses(); return address }
func ready(vm *prepared.VM) string   { _, address, _, _ := vm.OtherAddresses(); return address }
func metrics(vm *prepared.VM) string { _, _, address, _ := vm.OtherAddresses(); return address }
func relay(vm *prepared.VM) string   { _, _, _, address := vm.OtherAddresses(); return address }

func frontend(vm *prepared.VM) string { return vm.Frontend() }

func TestUnfinishedBodiesStayWithinMemory(t *testing.T) {
	checkCrowd(t, crowdOptions(), frontend, crowdSize, crowd.Send(append(sizedHeader(maxBody), withoutLast(largeBody())...)))
}

// Clients send the largest bodies again and again, each without its end.
func TestReturningUnfinishedBodiesStayWithinMemory(t *testing.T) {
	o := crowdOptions()
	d := startWith(t, o)
	clients := newCrowd(t)
	clients.AddReturning(d.VMs[0].Frontend(), crowdSize, crowd.Send(append(sizedHeader(maxBody), withoutLast(largeBody())...)))
	for range 5 {
		mustServe(t, d, 0)
		wait(time.Second)
		checkUsage(t, d, o)
	}
}

// Whole jobs of the largest legal size come at once.
func TestWholeLargeBodiesStayWithinMemory(t *testing.T) {
	body, err := json.Marshal(wire.Job{Spec: "1", BestEffort: true, Steps: []wire.Step{{Count: 1, CPU: 1000, EstimateMS: 1}}})
	must.NoError(t, err)
	body = append(body, bytes.Repeat([]byte{' '}, maxBody-len(body))...)
	checkCrowd(t, crowdOptions(), frontend, crowdSize, crowd.Send(submission(body)))
}

func TestUnfinishedBodiesInPiecesStayWithinMemory(t *testing.T) {
	const pieces = 16
	parts := append([][]byte{sizedHeader(maxBody)}, crowd.Split(withoutLast(largeBody()), maxBody/pieces)...)
	checkCrowd(t, crowdOptions(), frontend, crowdSize, crowd.Send(parts...))
}

func TestUnfinishedSmallChunksStayWithinMemory(t *testing.T) {
	checkCrowd(t, crowdOptions(), frontend, crowdSize, crowd.Send(append(chunkedHeader(), withoutLast(crowd.Chunks(largeBody(), 1))...)))
}

func TestUnfinishedLargeChunksStayWithinMemory(t *testing.T) {
	checkCrowd(t, crowdOptions(), frontend, crowdSize, crowd.Send(append(chunkedHeader(), withoutLast(crowd.Chunks(largeBody(), maxBody))...)))
}

func TestBodiesOfManyStepsStayWithinMemory(t *testing.T) {
	checkCrowd(t, crowdOptions(), frontend, crowdSize, crowd.Send(submission(manySteps())))
}

// The decoded form of a header is many times as large, as each six bytes are a field.
func TestUnfinishedHeadersStayWithinMemory(t *testing.T) {
	checkCrowd(t, crowdOptions(), frontend, crowdSize, crowd.Send(crowd.ManyFields("GET / HTTP/1.1", maxHeader)))
}

// wholeJobs returns a behaviour that submits a job of the most tasks under an ID of its own.
func wholeJobs(t *testing.T) crowd.Behaviour {
	t.Helper()
	steps := slices.Repeat([]wire.Step{{Count: 1, CPU: 1000, EstimateMS: 1}}, maxTasks)
	body, err := json.Marshal(wire.Job{Spec: "1", BestEffort: true, Steps: steps})
	must.NoError(t, err)
	request := submission(body)
	var ids atomic.Int64
	return func(conn net.Conn) {
		id := fmt.Appendf(nil, "%016x", ids.Add(1)+1)
		crowd.Send(bytes.Replace(request, fmt.Appendf(nil, "%016x", 1), id, 1))(conn)
	}
}

// Whole jobs of the most tasks wait or run.
func TestWholeJobsOfManyTasksStayWithinMemory(t *testing.T) {
	checkCrowd(t, crowdOptions(), frontend, crowdSize, wholeJobs(t))
}

// An owner receives the jobs of all VMs of its failure domain.
func TestWholeJobsFromSeveralVMsStayWithinMemory(t *testing.T) {
	o := crowdOptions()
	o.VMs = 3
	d := startWith(t, o)
	behave := wholeJobs(t)
	for _, vm := range d.VMs {
		newCrowd(t).Add(vm.Frontend(), crowdSize, behave)
	}
	checkUsage(t, d, o)
	mustServe(t, d, 0)
	checkUsage(t, d, o)
}

// A request of the largest legal size is served when nothing else is asked for.
func TestLargestBodyIsServed(t *testing.T) {
	o := crowdOptions()
	d := startWith(t, o)
	mustServe(t, d, maxBody)
	checkUsage(t, d, o)
}

// Clients that keep their connections after an answer take all places.
func TestIdleConnectionsLeavePlaces(t *testing.T) {
	checkCrowd(t, fewPlacesOptions(), frontend, fewClients, crowd.Send(question("")))
}

// Clients announce a body to a path that has no queue, and never send it.
func TestUnsentBodiesOfRefusedRequestsLeavePlaces(t *testing.T) {
	request := bytes.Replace(sizedHeader(1000), []byte(prepared.Path), []byte("/unknown/"), 1)
	checkCrowd(t, fewPlacesOptions(), frontend, fewClients, crowd.Send(request))
}

// Clients announce a body with a request that needs none, and never send it.
func TestUnsentBodiesOfQuestionsLeavePlaces(t *testing.T) {
	checkCrowd(t, fewPlacesOptions(), frontend, fewClients, crowd.Send(question("Content-Length: 1000\r\n")))
}

// Clients ask until the process can't write any more answers, and read none.
func TestUnreadAnswersLeavePlaces(t *testing.T) {
	checkCrowd(t, fewPlacesOptions(), frontend, fewClients, crowd.Flood(bytes.Repeat(question(""), 1000)))
}

// Clients send their headers so slowly that they never end, and come back when they are closed.
func TestDrippedHeadersLeavePlaces(t *testing.T) {
	checkReturningCrowd(t, crowd.Drip([]byte("GET / HTTP/1.1\r\n"), []byte("a:b\r\n")))
}

// Clients send their bodies so slowly that they never end, and come back when they are closed.
func TestDrippedBodiesLeavePlaces(t *testing.T) {
	checkReturningCrowd(t, crowd.Drip(sizedHeader(maxBody), []byte{' '}))
}

func TestUnfinishedCallsStayWithinMemory(t *testing.T) {
	checkCrowd(t, crowdOptions(), control, crowdSize, crowd.Send(unfinishedCall()))
}

func TestUnfinishedRelayedOrdersStayWithinMemory(t *testing.T) {
	checkCrowd(t, crowdOptions(), relay, crowdSize, crowd.Send(unfinishedOrder()))
}

func TestUnfinishedHeadersAtMetricsStayWithinMemory(t *testing.T) {
	checkCrowd(t, crowdOptions(), metrics, crowdSize, crowd.Send(unfinishedMetricsHeader()))
}

func TestUnfinishedHeadersAtReadinessStayWithinMemory(t *testing.T) {
	checkCrowd(t, crowdOptions(), ready, crowdSize, crowd.Send(crowd.ManyFields("GET "+wire.ReadinessPath+" HTTP/1.1", maxHeader)))
}

// Connections to all ports together stay within the descriptors, and the VM answers readiness checks.
func TestConnectionsToAllPortsStayWithinDescriptors(t *testing.T) {
	o := fewPlacesOptions()
	d := startWith(t, o)
	clients := newCrowd(t)
	for _, address := range []func(*prepared.VM) string{control, ready, metrics, relay, frontend} {
		clients.Add(address(d.VMs[0]), 2*fewDescriptors, crowd.Send())
	}
	// The process accepts connections after the clients have opened them.
	for range 10 {
		wait(100 * time.Millisecond)
		checkUsage(t, d, o)
	}
	mustServe(t, d, 0)
	must.True(t, d.WaitReady(hangTimeout))
	checkUsage(t, d, o)
}

// Clients ask for metrics and never read them. Others still get them.
func TestUnreadMetricsLeavePlaces(t *testing.T) {
	o := fewPlacesOptions()
	d := startWith(t, o)
	newCrowd(t).Add(metrics(d.VMs[0]), fewDescriptors, crowd.Flood([]byte("GET /metrics HTTP/1.1\r\nHost: vm\r\n\r\n")))
	checkUsage(t, d, o)
	client := http.Client{Timeout: hangTimeout}
	response, err := client.Get("http://" + metrics(d.VMs[0]) + "/metrics")
	must.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	mustServe(t, d, 0)
	checkUsage(t, d, o)
}

// Clients of all kinds come at once, and at all ports.
func TestCrowdsOfAllKindsStayWithinMemory(t *testing.T) {
	o := crowdOptions()
	d := startWith(t, o)
	clients := newCrowd(t)
	var kinds sync.WaitGroup
	for _, kind := range []struct {
		address func(*prepared.VM) string
		behave  crowd.Behaviour
	}{
		{frontend, crowd.Send(append(sizedHeader(maxBody), withoutLast(largeBody())...))},
		{frontend, crowd.Send(append(chunkedHeader(), withoutLast(crowd.Chunks(largeBody(), maxBody))...))},
		{frontend, crowd.Send(submission(manySteps()))},
		{frontend, crowd.Send(crowd.ManyFields("GET / HTTP/1.1", maxHeader))},
		{frontend, wholeJobs(t)},
		{frontend, crowd.Flood(question(""))},
		{control, crowd.Send(unfinishedCall())},
		{relay, crowd.Send(unfinishedOrder())},
		{metrics, crowd.Send(unfinishedMetricsHeader())},
		{ready, crowd.Send(crowd.ManyFields("GET "+wire.ReadinessPath+" HTTP/1.1", maxHeader))},
	} {
		kinds.Go(func() { clients.Add(kind.address(d.VMs[0]), crowdSize/5, kind.behave) })
	}
	kinds.Wait()
	settle(t, d.VMs[0])
	checkUsage(t, d, o)
	mustServe(t, d, 0)
	must.True(t, d.WaitReady(hangTimeout))
	checkUsage(t, d, o)
}
