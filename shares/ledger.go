package shares

import (
	"math"
	"time"
)

// RestName names the account of the queues in no profile.
const RestName = "rest"

// Band ranks profiles by whether they are below their guarantee.
type Band int

const (
	// Guaranteed profiles use less than their guarantee.
	Guaranteed Band = iota
	// Lent profiles use all of their guarantee, and get what others leave unused.
	Lent
	bands
)

// fairPickInterval is the number of starts of which one goes to the profile that was served least
// recently, whatever its band, so that none starves.
const fairPickInterval = 16

// Ledger divides the capacity of one service's targets. Its accounts are the profiles in their order,
// and one for the queues in no profile, which has no guarantee and a weight of 1: these queues share
// what the guarantees leave with the profiles that are above theirs.
type Ledger struct {
	accounts []account
	byQueue  map[string]int
	// virtual is the start tag of the newest start of each band.
	virtual [bands]float64
	// starts counts all starts; at nextFair of them the next fair pick is due.
	starts, nextFair uint64
}

// account is what a Ledger records of a profile.
type account struct {
	Profile
	// used is the processor of its runs, waiting that of its waiting tasks, in thousandths of a core.
	used, waiting int64
	// tag is the processor time that was charged to it in each band, divided by its weight there.
	tag [bands]float64
	// servedAt is the value of Ledger.starts at its newest start.
	servedAt uint64
}

// Pick is a decision of which account's work starts next.
type Pick struct {
	Account int
	Band    Band
	// Fair says that the account was picked as the least recently served one.
	Fair bool
}

// NewLedger returns a ledger without runs. The profiles must be valid.
func NewLedger(profiles []Profile) *Ledger {
	l := &Ledger{byQueue: map[string]int{}, nextFair: fairPickInterval - 1}
	for i, p := range profiles {
		l.accounts = append(l.accounts, account{Profile: p})
		for _, queue := range p.Queues {
			l.byQueue[queue] = i
		}
	}
	l.accounts = append(l.accounts, account{Profile: Profile{Name: RestName, Limit: 1, Weight: 1}})
	return l
}

// Accounts returns the number of accounts.
func (l *Ledger) Accounts() int { return len(l.accounts) }

// Name returns the name of an account's profile.
func (l *Ledger) Name(i int) string { return l.accounts[i].Name }

// AccountOf returns the account of a queue.
func (l *Ledger) AccountOf(queue string) int {
	if i, is := l.byQueue[queue]; is {
		return i
	}
	return len(l.accounts) - 1
}

// AddUsed adds the processor of a run that counts, or subtracts that of one that no longer does.
func (l *Ledger) AddUsed(i int, cpu int64) { l.accounts[i].used += cpu }

// Used returns the processor of an account's runs.
func (l *Ledger) Used(i int) int64 { return l.accounts[i].used }

// Waiting returns the processor of an account's waiting tasks.
func (l *Ledger) Waiting(i int) int64 { return l.accounts[i].waiting }

// AddWaiting adds the processor of waiting tasks, or subtracts that of tasks that wait no longer.
func (l *Ledger) AddWaiting(i int, cpu int64) { l.accounts[i].waiting += cpu }

// share returns a share of a capacity.
func share(of int64, part float64) int64 { return int64(math.Round(part * float64(of))) }

// BandOf returns the band of an account.
func (l *Ledger) BandOf(i int, capacity int64) Band {
	if a := &l.accounts[i]; a.used < share(capacity, a.Guarantee) {
		return Guaranteed
	}
	return Lent
}

// HasLimit reports whether an account's limit is below the whole capacity. One that is not never keeps a
// task from starting: the targets do.
func (l *Ledger) HasLimit(i int) bool { return l.accounts[i].Limit < 1 }

// UnderLimit returns the processor that an account may still start; below 0 where it exceeds its limit,
// math.MaxInt64 where it has none.
func (l *Ledger) UnderLimit(i int, capacity int64) int64 {
	if !l.HasLimit(i) {
		return math.MaxInt64
	}
	a := &l.accounts[i]
	return share(capacity, a.Limit) - a.used
}

// Limit returns the processor that an account may use.
func (l *Ledger) Limit(i int, capacity int64) int64 { return share(capacity, l.accounts[i].Limit) }

// Next picks one of the accounts for which hasWork is true; false if there is none.
func (l *Ledger) Next(capacity int64, hasWork func(i int) bool) (Pick, bool) {
	fair := l.starts >= l.nextFair
	best := Pick{Account: -1, Fair: fair}
	for i := range l.accounts {
		if !hasWork(i) {
			continue
		}
		candidate := Pick{Account: i, Band: l.BandOf(i, capacity), Fair: fair}
		if best.Account < 0 || l.goesBefore(candidate, best) {
			best = candidate
		}
	}
	return best, best.Account >= 0
}

// goesBefore reports whether a candidate is picked rather than one that comes before it in order.
func (l *Ledger) goesBefore(a, b Pick) bool {
	switch {
	case a.Fair:
		return l.accounts[a.Account].servedAt < l.accounts[b.Account].servedAt
	case a.Band != b.Band:
		return a.Band < b.Band
	default:
		return l.startTag(a) < l.startTag(b)
	}
}

// startTag returns the tag with which a picked account's next start begins. An account that had no
// work, or was in the other band, gets no credit for that time.
func (l *Ledger) startTag(p Pick) float64 {
	return max(l.accounts[p.Account].tag[p.Band], l.virtual[p.Band])
}

// Charge records a start under a pick.
func (l *Ledger) Charge(p Pick, cpu int64, expected time.Duration) {
	a := &l.accounts[p.Account]
	l.starts++
	a.servedAt = l.starts
	begin := l.startTag(p)
	if p.Fair {
		// The fair starts of a job with many tasks delay the next fair pick accordingly.
		l.nextFair += fairPickInterval
	} else {
		l.virtual[p.Band] = begin
	}
	a.tag[p.Band] = begin + float64(cpu)*expected.Seconds()/a.weight(p.Band)
}

// weight returns the weight of an account in a band.
func (a *account) weight(band Band) float64 {
	if band == Guaranteed && a.Guarantee > 0 {
		return a.Guarantee
	}
	return a.Weight
}
