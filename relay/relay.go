// Package relay lets an owner send orders to its targets through other VMs of its failure domain.
// The Router, at the owner, decides which VM sends the orders of each target. Its input is the
// processor, sockets and memory of the owner's process, the number of targets, the rate of calls
// and the VMs that can relay. The Server, at a relay, forwards orders to targets and returns their
// answers. It opens the connections, waits and decodes, which is most of the processor time that a
// target costs. So an owner can keep one queue over all its targets even with a weak processor.
//
// Invariants: only the owner decides what runs where. A relay keeps no state: each order carries
// the owner's fencing token, and an order whose relay is lost counts as unanswered.
package relay

import (
	"context"
	"time"

	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/work"
)

// Targets sends orders to targets.
type Targets interface {
	Start(ctx context.Context, to work.Address, order work.Order, token int64) work.OrderAnswer
	Stop(ctx context.Context, to work.Address, run work.Run, token int64) work.OrderAnswer
	Look(ctx context.Context, to work.Address, token, until, seen int64, wait time.Duration) (work.Held, work.Verdict)
}

// maxMessageBytes bounds a message; the largest lists all runs and completions of a target.
const maxFrame = 1 << 20

func runToWire(r work.Run) *linkpb.Run { return &linkpb.Run{Task: r.Task, Number: r.Number} }

func runFromWire(r *linkpb.Run) work.Run {
	return work.Run{Task: r.GetTask(), Number: r.GetNumber()}
}

func startToWire(o work.Order) *linkpb.Carry_Start {
	return &linkpb.Carry_Start{Start: &linkpb.CarryStart{
		Run: runToWire(o.Run), Payload: o.Payload, Saved: o.Saved, Ticket: o.Ticket, UntilMs: o.Until,
	}}
}

func startFromWire(s *linkpb.CarryStart) work.Order {
	return work.Order{Run: runFromWire(s.GetRun()), Payload: s.GetPayload(), Saved: s.GetSaved(), Ticket: s.GetTicket(), Until: s.GetUntilMs()}
}

func heldToWire(held work.Held) *linkpb.Carried {
	wire := &linkpb.Carried{ClockMs: held.Clock, Life: held.Life}
	for _, running := range held.Running {
		wire.Running = append(wire.Running, &linkpb.RunningRun{Run: runToWire(running.Run), Saved: running.Saved})
	}
	for _, end := range held.Ended {
		wire.Ended = append(wire.Ended, &linkpb.EndedRun{Number: end.Number, Run: runToWire(end.Run), Kind: string(end.Kind), Saved: end.Saved})
	}
	if c := held.Capacity; c != nil {
		wire.Capacity = &linkpb.Resources{Cpu: c.CPU, MemoryMb: c.MemoryMB, Gpu: c.GPU}
	}
	return wire
}

func heldFromWire(wire *linkpb.Carried) work.Held {
	held := work.Held{Clock: wire.GetClockMs(), Life: wire.GetLife()}
	for _, running := range wire.GetRunning() {
		held.Running = append(held.Running, work.Running{Run: runFromWire(running.GetRun()), Saved: running.GetSaved()})
	}
	for _, end := range wire.GetEnded() {
		held.Ended = append(held.Ended, work.End{
			Number: end.GetNumber(), Run: runFromWire(end.GetRun()), Kind: work.EndKind(end.GetKind()), Saved: end.GetSaved(),
		})
	}
	if c := wire.GetCapacity(); c != nil {
		held.Capacity = &work.Resources{CPU: c.GetCpu(), MemoryMB: c.GetMemoryMb(), GPU: c.GetGpu()}
	}
	return held
}
