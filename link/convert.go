package link

import (
	"time"

	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/work"
)

// micros converts a duration to microseconds, the unit of all durations on the wire.
func micros(d time.Duration) int64 { return d.Microseconds() }

func duration(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

func jobToWire(job work.Job) *linkpb.Job {
	wire := &linkpb.Job{
		Id: job.ID, Payload: job.Payload, Kept: job.Kept,
		Repeats: int32(job.Repeats.Count), FirstUs: micros(job.Repeats.First), IntervalUs: micros(job.Repeats.Interval),
	}
	for _, step := range job.Steps {
		wire.Steps = append(wire.Steps, stepToWire(step))
	}
	return wire
}

func resourcesToWire(r work.Resources) *linkpb.Resources {
	return &linkpb.Resources{Cpu: r.CPU, MemoryMb: r.MemoryMB, Gpu: r.GPU}
}

func resourcesFromWire(wire *linkpb.Resources) work.Resources {
	return work.Resources{CPU: wire.GetCpu(), MemoryMB: wire.GetMemoryMb(), GPU: wire.GetGpu()}
}

func targetToWire(t work.Target) *linkpb.Target {
	return &linkpb.Target{
		Id: t.ID, Service: t.Service, Address: t.Address, FailureDomain: t.FailureDomain,
		Capacity: resourcesToWire(t.Capacity), Labels: t.Labels, Rack: t.Rack, Draining: t.Draining, WarmInUs: micros(t.WarmIn),
		Life: t.Life,
	}
}

func targetFromWire(wire *linkpb.Target) work.Target {
	return work.Target{
		ID: wire.GetId(), Service: wire.GetService(), Address: wire.GetAddress(), FailureDomain: wire.GetFailureDomain(),
		Capacity: resourcesFromWire(wire.GetCapacity()), Labels: wire.GetLabels(), Rack: wire.GetRack(), Draining: wire.GetDraining(), WarmIn: duration(wire.GetWarmInUs()),
		Life: wire.GetLife(),
	}
}

func stepToWire(step work.Step) *linkpb.Step {
	wire := &linkpb.Step{
		Tasks:      int32(step.Tasks),
		Each:       resourcesToWire(step.Each),
		EstimateUs: micros(step.Estimate),
		Label:      step.Label,
		Rack:       step.Rack,
		Spread:     int32(step.Spread),
		Gang:       step.Gang,
		OneRack:    step.OneRack,
		Lasting:    step.Lasting,
		Fills:      step.Fills,
		Serves:     step.Serves,
	}
	for _, before := range step.After {
		wire.After = append(wire.After, int32(before))
	}
	return wire
}

func jobFromWire(wire *linkpb.Job) work.Job {
	job := work.Job{ID: wire.GetId(), Payload: wire.GetPayload(), Kept: wire.GetKept()}
	job.Repeats = work.Repeats{
		Count: int(wire.GetRepeats()), First: duration(wire.GetFirstUs()), Interval: duration(wire.GetIntervalUs()),
	}
	for _, step := range wire.GetSteps() {
		job.Steps = append(job.Steps, stepFromWire(step))
	}
	return job
}

func stepFromWire(wire *linkpb.Step) work.Step {
	step := work.Step{
		Tasks:    int(wire.GetTasks()),
		Each:     resourcesFromWire(wire.GetEach()),
		Estimate: duration(wire.GetEstimateUs()),
		Label:    wire.GetLabel(),
		Rack:     wire.GetRack(),
		Spread:   int(wire.GetSpread()),
		Gang:     wire.GetGang(),
		OneRack:  wire.GetOneRack(),
		Lasting:  wire.GetLasting(),
		Fills:    wire.GetFills(),
		Serves:   wire.GetServes(),
	}
	for _, before := range wire.GetAfter() {
		step.After = append(step.After, int(before))
	}
	return step
}

func queueToWire(q work.Queue) *linkpb.Queue {
	return &linkpb.Queue{
		Name:        q.Name,
		Service:     q.Service,
		Priority:    int32(q.Priority),
		MaxAttempts: int32(q.MaxAttempts),
		Stretch:     q.Stretch,
		AllowanceUs: micros(q.Allowance),
		TimeoutUs:   micros(q.Timeout),
		Advised:     q.Advised,
	}
}

func queueFromWire(wire *linkpb.Queue) work.Queue {
	return work.Queue{
		Name:        wire.GetName(),
		Service:     wire.GetService(),
		Priority:    int(wire.GetPriority()),
		MaxAttempts: int(wire.GetMaxAttempts()),
		Stretch:     wire.GetStretch(),
		Allowance:   duration(wire.GetAllowanceUs()),
		Timeout:     duration(wire.GetTimeoutUs()),
		Advised:     wire.GetAdvised(),
	}
}

func outcomeToWire(outcome work.Outcome) *linkpb.RunReply {
	return &linkpb.RunReply{
		Result:       int32(outcome.Result),
		Reason:       outcome.Reason,
		RetryAfterUs: micros(outcome.RetryAfter),
	}
}

func outcomeFromWire(wire *linkpb.RunReply) work.Outcome {
	return work.Outcome{
		Result:     work.Result(wire.GetResult()),
		Reason:     wire.GetReason(),
		RetryAfter: duration(wire.GetRetryAfterUs()),
	}
}
