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
		Id: job.ID, Payload: job.Payload, Kept: job.Durable,
		Repeats: int32(job.Recurrence.Count), FirstUs: micros(job.Recurrence.FirstDue), IntervalUs: micros(job.Recurrence.Interval),
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
		Capacity: resourcesToWire(t.Capacity), Labels: t.Labels, Rack: t.Rack, Draining: t.Draining, WarmInUs: micros(t.WarmUpLeft),
		Life: t.Incarnation,
	}
}

func targetFromWire(wire *linkpb.Target) work.Target {
	return work.Target{
		ID: wire.GetId(), Service: wire.GetService(), Address: wire.GetAddress(), FailureDomain: wire.GetFailureDomain(),
		Capacity: resourcesFromWire(wire.GetCapacity()), Labels: wire.GetLabels(), Rack: wire.GetRack(), Draining: wire.GetDraining(), WarmUpLeft: duration(wire.GetWarmInUs()),
		Incarnation: wire.GetLife(),
	}
}

func stepToWire(step work.Step) *linkpb.Step {
	wire := &linkpb.Step{
		Tasks:         int32(step.Tasks),
		Each:          resourcesToWire(step.PerTask),
		EstimateUs:    micros(step.DeclaredRunTime),
		Label:         step.RequiredLabel,
		Rack:          step.PreferredRack,
		Spread:        int32(step.MaxPerTarget),
		Gang:          step.Gang,
		OneRack:       step.PreferOneRack,
		Lasting:       step.Lasting,
		Fills:         step.Background,
		Serves:        step.LatencySensitive,
		KeepAvailable: step.KeepAvailable,
	}
	for _, before := range step.DependsOn {
		wire.After = append(wire.After, int32(before))
	}
	return wire
}

func jobFromWire(wire *linkpb.Job) work.Job {
	job := work.Job{ID: wire.GetId(), Payload: wire.GetPayload(), Durable: wire.GetKept()}
	job.Recurrence = work.Recurrence{
		Count: int(wire.GetRepeats()), FirstDue: duration(wire.GetFirstUs()), Interval: duration(wire.GetIntervalUs()),
	}
	for _, step := range wire.GetSteps() {
		job.Steps = append(job.Steps, stepFromWire(step))
	}
	return job
}

func stepFromWire(wire *linkpb.Step) work.Step {
	step := work.Step{
		Tasks:            int(wire.GetTasks()),
		PerTask:          resourcesFromWire(wire.GetEach()),
		DeclaredRunTime:  duration(wire.GetEstimateUs()),
		RequiredLabel:    wire.GetLabel(),
		PreferredRack:    wire.GetRack(),
		MaxPerTarget:     int(wire.GetSpread()),
		Gang:             wire.GetGang(),
		PreferOneRack:    wire.GetOneRack(),
		Lasting:          wire.GetLasting(),
		Background:       wire.GetFills(),
		LatencySensitive: wire.GetServes(),
		KeepAvailable:    wire.GetKeepAvailable(),
	}
	for _, before := range wire.GetAfter() {
		step.DependsOn = append(step.DependsOn, int(before))
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
		TimeoutUs:   micros(q.RequestTimeout),
		Advised:     q.RequiresAdvice,
	}
}

func queueFromWire(wire *linkpb.Queue) work.Queue {
	return work.Queue{
		Name:           wire.GetName(),
		Service:        wire.GetService(),
		Priority:       int(wire.GetPriority()),
		MaxAttempts:    int(wire.GetMaxAttempts()),
		Stretch:        wire.GetStretch(),
		Allowance:      duration(wire.GetAllowanceUs()),
		RequestTimeout: duration(wire.GetTimeoutUs()),
		RequiresAdvice: wire.GetAdvised(),
	}
}

func outcomeToWire(outcome work.Outcome) *linkpb.RunReply {
	return &linkpb.RunReply{
		Result:         int32(outcome.Result),
		Reason:         outcome.Reason,
		RetryAfterUs:   micros(outcome.RetryAfter),
		ForecastWaitUs: micros(outcome.ForecastWait),
	}
}

func outcomeFromWire(wire *linkpb.RunReply) work.Outcome {
	return work.Outcome{
		Result:       work.Result(wire.GetResult()),
		Reason:       wire.GetReason(),
		RetryAfter:   duration(wire.GetRetryAfterUs()),
		ForecastWait: duration(wire.GetForecastWaitUs()),
	}
}
