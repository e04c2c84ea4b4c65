package capacity

import "time"

// budget bounds the messages that move slots. Started tasks and time earn credit. A
// message that moves few units waits until there is credit for several messages, or
// until the want has lasted for a while: a VM that uses many units soon gets some of
// them free. A VM that uses none does not wait.
type budget struct {
	credit float64
	at     time.Duration
}

const (
	// maxCredit is the largest credit, in messages.
	maxCredit = 10
	// budgetRate is the credit that time earns, in messages a second.
	budgetRate = 2
	// maxReserve is the largest credit that must remain after a message, less one
	// for each unit that it moves. A want must last for a while when the reserve
	// exceeds maxCredit.
	maxReserve = 20
	// reservePerUsed is the reserve for each unit in use.
	reservePerUsed = 4
	// reserveDecay is the time of waiting that lowers the reserve by one message.
	reserveDecay = 10 * time.Millisecond
)

// earn adds the credit of a task.
func (b *budget) earn(messages float64) { b.credit = min(maxCredit, b.credit+messages) }

// spend takes the credit of one message and reports true, if enough credit remains.
// The reserve grows with the used units of the VM, and falls with the units that the
// message moves and the time that they have been wanted.
func (b *budget) spend(now time.Duration, units, used int, waited time.Duration) bool {
	b.earn(budgetRate * (now - b.at).Seconds())
	b.at = now
	reserve := min(maxReserve, reservePerUsed*used) + 1 - units - int(waited/reserveDecay)
	if b.credit < float64(1+max(0, reserve)) {
		return false
	}
	b.credit--
	return true
}
