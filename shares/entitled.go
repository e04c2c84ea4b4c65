package shares

import (
	"cmp"
	"slices"
)

// Entitled returns the processor that an account with unlimited work can hold, given what the others use
// and wait for: its guarantee, and by its weight a part of what they leave unused, up to its limit.
func (l *Ledger) Entitled(of int, capacity int64) int64 {
	entitled := make([]int64, len(l.accounts))
	left := capacity
	for i := range l.accounts {
		entitled[i] = min(share(capacity, l.accounts[i].Guarantee), l.wanted(i, of, capacity))
		left -= entitled[i]
	}
	open := make([]int, 0, len(l.accounts))
	for i := range l.accounts {
		if l.wanted(i, of, capacity) > entitled[i] {
			open = append(open, i)
		}
	}
	// Accounts that want least in relation to their weight come first: what they leave goes to the others.
	ratio := func(i int) float64 {
		return float64(l.wanted(i, of, capacity)-entitled[i]) / l.accounts[i].Weight
	}
	slices.SortStableFunc(open, func(a, b int) int { return cmp.Compare(ratio(a), ratio(b)) })
	weights := 0.0
	for _, i := range open {
		weights += l.accounts[i].Weight
	}
	for _, i := range open {
		part := min(int64(float64(max(left, 0))*l.accounts[i].Weight/weights), l.wanted(i, of, capacity)-entitled[i])
		if i == of {
			return entitled[i] + part
		}
		left -= part
		weights -= l.accounts[i].Weight
	}
	return entitled[of]
}

// wanted returns what an account uses and waits for, up to its limit; for the given account its limit.
func (l *Ledger) wanted(i, unlimited int, capacity int64) int64 {
	a := &l.accounts[i]
	limit := share(capacity, a.Limit)
	if i == unlimited {
		return limit
	}
	return min(a.used+a.waiting, limit)
}

// WaitingJob is a job with nothing started.
type WaitingJob struct {
	// CPU is the processor that its tasks want, in thousandths of a core.
	CPU int64
	// Refusable says that the job may be refused.
	Refusable bool
}

// Excess returns the indexes of the waiting jobs, given from the oldest to the newest, to refuse so that
// the account's use and its waiting work fit its limit: the newest ones.
func (l *Ledger) Excess(i int, capacity int64, jobs []WaitingJob) []int {
	over := -l.UnderLimit(i, capacity)
	for _, j := range jobs {
		over += j.CPU
	}
	var refused []int
	for at := len(jobs) - 1; at >= 0 && over > 0; at-- {
		if jobs[at].Refusable {
			refused = append(refused, at)
			over -= jobs[at].CPU
		}
	}
	return refused
}
