package scheduler

import (
	"time"
)

// Load summarizes for other VMs how busy the targets of a service are.
func (s *State) Load(now time.Duration, service string) Load {
	p := s.poolOf(service)
	load := Load{Cordoned: s.cordon.isCordoned()}
	load.CPU = p.openCPU
	load.AnswerTime = s.resend.slowMean
	load.FreeCPU = p.freeCPU(0)
	load.FreeCapacity.Tasks = s.acceptableTasks(now, p)
	_, rate := p.supply(now, 0)
	ahead := int64(0)
	var waits [Priorities]int64
	for _, j := range s.waiting {
		if j.pool == p && !j.ended {
			need := j.initialNeed().total
			ahead += need
			waits[priorityOf(j.sub.Queue)] += need
		}
	}
	before := int64(0)
	for priority := range load.Wait {
		if load.Cordoned {
			load.Wait[priority] = maxForecast
			continue
		}
		before += waits[priority]
		if short := before - load.FreeCPU; short > 0 && rate > 0 {
			load.Wait[priority] = time.Duration(float64(short) / rate * float64(time.Millisecond))
		}
	}
	return load
}
