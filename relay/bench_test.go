package relay

import (
	"bufio"
	"bytes"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/work"
)

// BenchmarkMessages encodes a start and decodes its answer, which is the owner's work for an order
// through a relay without that of the connection.
func BenchmarkMessages(b *testing.B) {
	order := work.StartOrder{Run: work.RunID{Task: "5c0e7a21d94b36f8.0.1.17", Number: 123456}, Payload: string(make([]byte, 200)), LeaseUntilMS: 486000}
	var answer bytes.Buffer
	_, err := protodelim.MarshalTo(&answer, &linkpb.Carried{Sequence: 1 << 20, Verdict: int32(work.VerdictDone), ClockMs: 482113, StoreAgeUs: 1e6})
	must.NoError(b, err)
	var out bytes.Buffer
	in := bytes.NewReader(nil)
	reader := bufio.NewReader(in)
	b.ReportAllocs()
	for i := range b.N {
		out.Reset()
		if _, err := protodelim.MarshalTo(&out, &linkpb.Carry{Sequence: uint64(i), Id: "target-0001", Address: "10.1.0.13:8169", Token: 7, What: startToWire(order)}); err != nil {
			b.Fatal(err)
		}
		in.Reset(answer.Bytes())
		reader.Reset(in)
		carried := &linkpb.Carried{}
		if err := protodelim.UnmarshalFrom(reader, carried); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCall sends a start through a relay and receives its answer, with both ends of the
// connection in one process.
func BenchmarkCall(b *testing.B) {
	f := newFleet(b, 1, 100)
	to := f.relayedTarget(b)
	b.ReportAllocs()
	b.SetParallelism(16)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if f.Start(b.Context(), to, work.StartOrder{}, 1).Verdict != work.VerdictDone {
				b.Error("no answer")
			}
		}
	})
	b.StopTimer()
	time.Sleep(time.Millisecond)
}

// BenchmarkRoute looks up the relay of a target in a plan.
func BenchmarkRoute(b *testing.B) {
	p := Plan{OwnTargets: 100, Relays: vms(20, weak)}
	b.ReportAllocs()
	for i := range b.N {
		p.RelayIndex(address(i%1000).ID, Load{}.coresPerTarget())
	}
}
