package heartbeat

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/link/linkpb"
)

// manyQueues returns pending jobs of a number of queues.
func manyQueues(n int) map[string]int32 {
	pending := map[string]int32{}
	for i := range n {
		pending[fmt.Sprintf("receipt-reimburse-%03d", i)] = int32(1 + i%7)
	}
	return pending
}

// busyListener reports pending jobs of many queues, and the loads of services.
type busyListener struct {
	silentListener
	pending map[string]int32
	loads   []*linkpb.Load
}

func (l busyListener) PendingJobs() map[string]int32 { return l.pending }
func (l busyListener) Loads() []*linkpb.Load         { return l.loads }

// TestMain fixes the seed, so that each run has the same result.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// newService makes a Service that reports what a listener has.
func newService(t *testing.T, incarnation uint64, l Listener) *Service {
	t.Helper()
	s, err := New(Self{VM: fmt.Sprint("vm", incarnation), Incarnation: incarnation, HeartbeatAddress: "127.0.0.1:0"}, l)
	must.NoError(t, err)
	must.NoError(t, s.conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	t.Cleanup(func() { _ = s.conn.Close() })
	return s
}

// exchange has an entry VM ping an owner over their sockets and take the answer, a number of times, and
// returns its view of the owner.
func exchange(t *testing.T, l Listener, pings int) View {
	t.Helper()
	owner, entry := newService(t, 1, l), newService(t, 2, silentListener{})
	entry.peers.setOwners(bootclock.Now(), []Owner{{VM: "vm1", Incarnation: 1, HeartbeatAddress: owner.conn.LocalAddr().String()}})
	buffer := make([]byte, maxDatagram)
	for range pings {
		entry.pingAll()
		must.NoError(t, owner.receiveOne(buffer))
		must.NoError(t, entry.receiveOne(buffer))
	}
	view, _ := entry.View(1)
	return view
}

// An owner with waiting jobs in hundreds of queues stays alive for the others, which know the jobs of
// each queue.
func TestOwnerWithManyQueuesIsHeard(t *testing.T) {
	pending := manyQueues(1000)
	view := exchange(t, busyListener{pending: pending}, maxPages+1)
	must.Eq(t, pending, view.PendingJobs)
	must.Positive(t, view.Timestamp)
}

// An owner of hundreds of services is heard as well.
func TestOwnerWithManyServicesIsHeard(t *testing.T) {
	var loads []*linkpb.Load
	for i := range 300 {
		loads = append(loads, &linkpb.Load{Group: "hall-a", Service: fmt.Sprintf("service-%03d", i), WaitUs: []int64{1e6, 2e6, 3e6}, FreeCpu: 1e5, Cpu: 1e6, Places: []int32{10, 10, 10}})
	}
	view := exchange(t, busyListener{loads: loads}, 1)
	must.Eq(t, len(loads), len(view.Loads))
}

// Whatever an owner has to report, its answer fits a datagram.
func TestAnswerFitsDatagram(t *testing.T) {
	pong := &linkpb.Pong{Vm: "o", Pending: manyQueues(100)}
	for range 3000 {
		pong.Loads = append(pong.Loads, &linkpb.Load{Group: "hall-a", Service: "a service with a long name"})
	}
	size := func(p *linkpb.Pong) int { return proto.Size(p) }
	must.True(t, fitDatagram(pong, size, 20<<10))
	must.LessEq(t, 20<<10, proto.Size(pong))
	must.SliceNotEmpty(t, pong.GetLoads())
	must.False(t, fitDatagram(&linkpb.Pong{Vm: "o"}, size, 100))
}

// Lost, repeated and late datagrams delay the pending jobs that an entry VM knows, and never mix them
// up; no page exceeds its size.
func TestFuzzPendingPages(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		queues := rapid.IntRange(0, 1500).Draw(rt, "queues")
		pending := manyQueues(queues)
		table := newPeerTable()
		table.setOwners(0, []Owner{{VM: "o", Incarnation: 1}})
		v := table.views[1]
		answer := func(after string, stamp int64) *linkpb.Pong {
			pong := &linkpb.Pong{Life: 1, Stamp: stamp}
			pong.Pending, pong.PendingPage = pendingPage(pending, after)
			must.LessEq(rt, maxPageBytes+64, proto.Size(pong))
			return pong
		}
		var late []*linkpb.Pong
		for i := range int64(60) {
			pong := answer(v.pages.last, i)
			switch rapid.IntRange(0, 5).Draw(rt, "fate") {
			case 0:
				late = append(late, pong)
				continue
			case 1:
				table.recordPong(0, pong)
			case 2:
				if len(late) > 0 {
					late[0].Stamp = i
					table.recordPong(0, late[0])
					late = late[1:]
				}
			}
			table.recordPong(0, pong)
			if v.PendingJobs != nil {
				must.MapLen(rt, queues, v.PendingJobs)
			}
		}
		for i := range int64(2 * maxPages) {
			table.recordPong(0, answer(v.pages.last, 100+i))
		}
		must.Eq(rt, pending, v.PendingJobs)
		pending = manyQueues(3)
		for i := range int64(maxPages + 1) {
			table.recordPong(0, answer(v.pages.last, 1000+i))
		}
		must.Eq(rt, pending, v.PendingJobs)
	})
}
