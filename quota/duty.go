package quota

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/burdockward/burdockward/tableservice"
	"github.com/uber-go/tally/v4"
)

const (
	// tickInterval is the time between two updates of the shares. It is also how long
	// a share may be used beyond the end of its lease.
	tickInterval = time.Second
	// movingReadInterval and idleReadInterval are the times between two reads of the
	// table, with and without lent, borrowed or wanted units.
	movingReadInterval = 2 * time.Second
	idleReadInterval   = 5 * time.Second
	// readTimeout bounds one read.
	readTimeout = 2 * time.Second
)

// Pools accesses the teams' pools in this failure domain.
type Pools interface {
	// Usages returns the use of each team's share, and how long tasks may run after
	// the VM that started them was lost.
	Usages(teams []string) (map[string]Usage, time.Duration)
	// SetShares sets how many units of each team may be used from now on.
	SetShares(shares map[string]int)
}

// DutyOptions are the settings of a Duty.
type DutyOptions struct {
	State Options
	Store tableservice.Tables
	Pools Pools
	// Now returns the monotonic time since the start of the process.
	Now   func() time.Duration
	Log   *slog.Logger
	Scope tally.Scope
}

// Duty moves the shares of the teams whose pools have their home on this VM.
type Duty struct {
	options DutyOptions
	state   *State
	reads   chan readResult
	commits chan commitResult

	mu    sync.Mutex
	teams []Team

	// Only the goroutine of Run uses the following fields.
	currentTeams []Team
	reading      bool
	readAt       time.Duration
	shares       map[string]int
}

// readResult is the result of one read of the table.
type readResult struct {
	begunAt time.Duration
	changes tableservice.Changes
	err     error
}

// commitResult is the result of one commit.
type commitResult struct {
	attempt Attempt
	version uint64
	err     error
}

// NewDuty makes a duty, which does nothing before Run.
func NewDuty(options DutyOptions) *Duty {
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	return &Duty{
		options: options,
		state:   New(options.State),
		reads:   make(chan readResult, 1),
		commits: make(chan commitResult, 1),
		shares:  map[string]int{},
	}
}

// SetTeams replaces the teams whose shares may move.
func (d *Duty) SetTeams(teams []Team) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.teams = teams
}

// Run reads, commits and updates the shares until the context ends.
func (d *Duty) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-d.reads:
			d.reading = false
			if r.err == nil {
				d.state.Read(d.options.Now(), r.begunAt, r.changes)
			}
		case r := <-d.commits:
			d.state.RecordResult(d.options.Now(), r.attempt, result(r.err), r.version)
		case <-ticker.C:
		}
		d.updateShares()
		d.act(ctx)
	}
}

// updateShares records the use of the shares, and sets the shares that may be used from
// now on.
func (d *Duty) updateShares() {
	d.mu.Lock()
	teams := d.teams
	d.mu.Unlock()
	if len(teams) == 0 && len(d.currentTeams) == 0 {
		return
	}
	names := make([]string, 0, len(teams))
	for _, t := range teams {
		names = append(names, t.Name)
	}
	usages, reserve := d.options.Pools.Usages(names)
	d.currentTeams = teams
	d.state.SetTeams(teams, reserve)
	now := d.options.Now()
	shares := make(map[string]int, len(teams))
	for _, name := range names {
		d.state.RecordUsage(now, name, usages[name])
		shares[name], _ = d.state.Share(now, name)
		d.logShare(name, usages[name], shares[name])
	}
	d.options.Pools.SetShares(shares)
}

// logShare logs a share that has changed at its home.
func (d *Duty) logShare(name string, u Usage, share int) {
	if !u.Home || d.shares[name] == share {
		return
	}
	d.shares[name] = share
	d.options.Scope.Counter("quota_shares_changed").Inc(1)
	d.options.Log.Info("quota share changed", "team", name, "share", share, "out", u.Out, "wanted", u.Want)
}

// act starts a read of the table and a commit when they are due. At most one of each
// runs at a time.
func (d *Duty) act(ctx context.Context) {
	if !d.state.IsHome() {
		return
	}
	now := d.options.Now()
	interval := idleReadInterval
	if d.state.IsMoving() {
		interval = movingReadInterval
	}
	if !d.reading && (d.readAt == 0 || now >= d.readAt+interval) {
		d.reading = true
		d.readAt = now
		go d.read(ctx, now, d.state.Version())
	}
	if a, ok := d.state.NextAttempt(now); ok {
		d.options.Scope.Counter("quota_commits").Inc(1)
		go d.commit(ctx, a)
	}
}

// read reads the rows that changed since a version, and delivers them to Run.
func (d *Duty) read(ctx context.Context, now time.Duration, since uint64) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	changes, err := d.options.Store.Changes(ctx, Table, since)
	d.reads <- readResult{begunAt: now, changes: changes, err: err}
}

// commit makes the commit of an attempt, and delivers its result to Run.
func (d *Duty) commit(ctx context.Context, a Attempt) {
	commit, err := a.Commit()
	if err != nil {
		d.commits <- commitResult{attempt: a, err: tableservice.ErrInvalid.Wrap(err)}
		return
	}
	version, err := d.options.Store.Commit(ctx, commit)
	d.commits <- commitResult{attempt: a, version: version, err: err}
}

// result returns the result of a commit by its error. A commit that is not known to have
// been refused may still take effect.
func result(err error) Result {
	var conflict *tableservice.ConflictError
	switch {
	case err == nil:
		return Applied
	case errors.As(err, &conflict), errors.Is(err, tableservice.ErrUnavailable), errors.Is(err, tableservice.ErrInvalid):
		return Refused
	}
	return Unknown
}
