// Package quota moves shares of a team's quota between failure domains.
//
// A quota holds over all failure domains together. Each has a base share by the
// configuration. Where the operators allow it, a failure domain that does not need its
// base share lends a part of it to others. The lent and borrowed units are stored in the
// platform's table service, in a row for each team and failure domain. Rows change only
// by compare-and-set, so that the shares never add up to more than the quota:
//
//   - A failure domain lowers the share that it uses before it commits that it lends or
//     returns, and raises it only after a commit of its own has taken effect.
//   - One process of a failure domain decides for a team, the home of the team's pool.
//     It uses more than MinShare only after it has taken over the row, which makes
//     pending commits of previous homes fail. It takes over only after the view lease
//     of its predecessor has ended, and commits only under its own, so that a previous
//     home never takes the row back.
//   - Borrowed units are held under a lease, which counts from the sending of a commit
//     on the home's own clock. Others reclaim them only after the row has stayed
//     unchanged for the lease and for as long as tasks may run beyond it.
//
// State is plain data: the time is an argument, and commits are results. Duty runs a
// State in a goroutine.
package quota

import "time"

// Table is the table of the platform's table service.
const Table = "quota_shares"

// Entry is the row of a team in one failure domain.
type Entry struct {
	// Holder names the process, and its term as the home, that decides here.
	Holder string `json:"holder"`
	// Delta is the number of units that the failure domain has borrowed; a negative
	// one is the number that it has lent.
	Delta int `json:"delta"`
	// Want is how many more units it could use.
	Want int `json:"want"`
	// Beat grows with each write, so that a lease is renewed by any write.
	Beat uint64 `json:"beat"`
}

// Team is a team whose shares may move.
type Team struct {
	Name string
	// Base is the share of each failure domain by the configuration, in units.
	Base map[string]int
}

// Usage is the use of a team's share in the failure domain, as the home of the team's
// pool records it.
type Usage struct {
	// Home says that this VM is the home.
	Home bool
	// Valid says that the VM holds its view lease.
	Valid bool
	// Known says that Out is complete: every member has reported.
	Known bool
	// Capacity is the share that the home uses.
	Capacity int
	// Out is the number of units that are lent to members, in use here or reserved.
	Out int
	// Want is how many more units members and this VM would use.
	Want int
}

// Options are the settings of a State. A zero duration takes the default.
type Options struct {
	// Domain is this failure domain, and Self names this process.
	Domain, Self string
	// Lease is how long borrowed units are used without a new commit. Default 90 s.
	Lease time.Duration
	// RenewInterval is the time between two commits that renew a lease. Default 30 s.
	RenewInterval time.Duration
	// TakeoverAfter is how long a new home waits before it takes over the row. It must
	// be longer than the view lease. Default 6 s.
	TakeoverAfter time.Duration
	// IdleAfter is how long borrowed units must not have been needed before they are
	// returned. Default 20 s.
	IdleAfter time.Duration
	// WantInterval is the minimum time between a commit for a team and the next one
	// that changes only Entry.Want. Default 5 s.
	WantInterval time.Duration
}

// Defaults of Options.
const (
	DefaultLease         = 90 * time.Second
	DefaultRenewInterval = 30 * time.Second
	DefaultIdleAfter     = 20 * time.Second
	DefaultWantInterval  = 5 * time.Second

	DefaultTakeoverAfter = 6 * time.Second
)

// reclaimMargin is added to the wait for the lease of others. It covers clocks that run
// at different speeds and the recall of units within a failure domain.
const reclaimMargin = time.Minute

func (o Options) withDefaults() Options {
	setDefault(&o.Lease, DefaultLease)
	setDefault(&o.RenewInterval, DefaultRenewInterval)
	setDefault(&o.IdleAfter, DefaultIdleAfter)
	setDefault(&o.WantInterval, DefaultWantInterval)
	setDefault(&o.TakeoverAfter, DefaultTakeoverAfter)
	return o
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// MinShare returns the share that a failure domain always keeps. It lends at most half
// of its base share, so that a new home can serve while the table service is down.
func MinShare(base int) int { return (base + 1) / 2 }
