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
	Start(ctx context.Context, to work.TargetAddress, order work.StartOrder, token int64) work.OrderAnswer
	Stop(ctx context.Context, to work.TargetAddress, run work.RunID, token int64) work.OrderAnswer
	Poll(ctx context.Context, to work.TargetAddress, token, until, seen int64, wait time.Duration) (work.PollAnswer, work.Verdict)
}

// maxMessageBytes bounds a message; the largest lists all runs and completions of a target.
const maxMessageBytes = 1 << 20

func runToWire(r work.RunID) *linkpb.Run { return &linkpb.Run{Task: r.Task, Number: r.Number} }

func runFromWire(r *linkpb.Run) work.RunID {
	return work.RunID{Task: r.GetTask(), Number: r.GetNumber()}
}

func startToWire(o work.StartOrder) *linkpb.Carry_Start {
	return &linkpb.Carry_Start{Start: &linkpb.CarryStart{
		Run: runToWire(o.Run), Payload: o.Payload, Saved: o.SavedState, Ticket: o.Ticket, UntilMs: o.LeaseUntilMS,
	}}
}

func startFromWire(s *linkpb.CarryStart) work.StartOrder {
	return work.StartOrder{Run: runFromWire(s.GetRun()), Payload: s.GetPayload(), SavedState: s.GetSaved(), Ticket: s.GetTicket(), LeaseUntilMS: s.GetUntilMs()}
}

func pollAnswerToWire(answer work.PollAnswer) *linkpb.Carried {
	wire := &linkpb.Carried{ClockMs: answer.ClockMS, Life: answer.Incarnation}
	for _, running := range answer.Running {
		wire.Running = append(wire.Running, &linkpb.RunningRun{Run: runToWire(running.Run), Saved: running.SavedState})
	}
	for _, end := range answer.Completions {
		wire.Ended = append(wire.Ended, &linkpb.EndedRun{Number: end.Number, Run: runToWire(end.Run), Kind: string(end.Kind), Saved: end.SavedState})
	}
	if c := answer.Capacity; c != nil {
		wire.Capacity = &linkpb.Resources{Cpu: c.CPU, MemoryMb: c.MemoryMB, Gpu: c.GPU}
	}
	return wire
}

func pollAnswerFromWire(wire *linkpb.Carried) work.PollAnswer {
	answer := work.PollAnswer{ClockMS: wire.GetClockMs(), Incarnation: wire.GetLife()}
	for _, running := range wire.GetRunning() {
		answer.Running = append(answer.Running, work.RunningRun{Run: runFromWire(running.GetRun()), SavedState: running.GetSaved()})
	}
	for _, end := range wire.GetEnded() {
		answer.Completions = append(answer.Completions, work.Completion{
			Number: end.GetNumber(), Run: runFromWire(end.GetRun()), Kind: work.CompletionKind(end.GetKind()), SavedState: end.GetSaved(),
		})
	}
	if c := wire.GetCapacity(); c != nil {
		answer.Capacity = &work.Resources{CPU: c.GetCpu(), MemoryMB: c.GetMemoryMb(), GPU: c.GetGpu()}
	}
	return answer
}
