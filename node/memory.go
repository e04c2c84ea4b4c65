package node

import "github.com/burdockward/burdockward/intake"

const (
	// DefaultRequestMemoryShare is the default of Options.RequestMemoryShare.
	DefaultRequestMemoryShare = 0.125
	// MinRequestMemoryShare and MaxRequestMemoryShare bound it. With more the process could not hold what it
	// needs for its other duties.
	MinRequestMemoryShare, MaxRequestMemoryShare = 0.05, 0.25
	// guaranteedBytes is what each connection of a caller may hold beside that share: a job of a few steps with
	// the largest payload, in its encoded and its decoded form.
	guaranteedBytes = 16 << 10
	// minRequestBytes is enough to serve the largest request that an operator can allow, one at a time.
	minRequestBytes = 4 << 20
	// assumedMemoryMB is the memory of a VM whose settings do not name it: that of the smallest one.
	assumedMemoryMB = 128
)

// jobMemoryShare is the share of the VM's memory that the jobs of an owner may take. With the requests of callers and
// of other VMs it leaves a third of the soft memory limit for everything else.
const jobMemoryShare = 0.2

// maxJobBytes returns how much memory the jobs of an owner may take.
func (o Options) maxJobBytes() int64 { return int64(jobMemoryShare * float64(o.memoryBytes())) }

// memoryBytes returns the memory of this VM.
func (o Options) memoryBytes() int64 {
	if o.Settings.MemoryMB <= 0 {
		return assumedMemoryMB << 20
	}
	return o.Settings.MemoryMB << 20
}

// requestBudget returns the memory for requests at one of the addresses of this VM.
func (o Options) requestBudget() *intake.Budget {
	share := o.RequestMemoryShare
	if share == 0 {
		share = DefaultRequestMemoryShare
	}
	return intake.NewBudget(guaranteedBytes, max(int64(share*float64(o.memoryBytes())), minRequestBytes))
}
