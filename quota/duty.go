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
	// tickInterval is the time between two looks at the use of shares. It is also
	// how long a share may be used beyond the end of its lease.
	tickInterval = time.Second
	// readWhileMoving and readAtRest are the times between two reads of the table.
	readWhileMoving = 2 * time.Second
	readAtRest      = 5 * time.Second
	// readTimeout bounds one read.
	readTimeout = 2 * time.Second
)

// Pools is the use of the teams' pools in this failure domain.
type Pools interface {
	// Look describes the use of each team, and how long tasks may run after the VM
	// that started them was lost.
	Look(teams []string) (map[string]Usage, time.Duration)
	// SetShares says how many units of each team may be used from now on.
	SetShares(shares map[string]int)
}

// DutyOptions are the settings of a Duty.
type DutyOptions struct {
	State Options
	Store tableservice.Tables
	Pools Pools
	// Now is the monotonic time since the start of the process.
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

	// The rest is used by the goroutine of Run alone.
	known   []Team
	reading bool
	readAt  time.Duration
	shares  map[string]int
}

type readResult struct {
	begunAt time.Duration
	changes tableservice.Changes
	err     error
}

type commitResult struct {
	attempt Attempt
	version uint64
	err     error
}

// NewDuty makes a duty. Run starts it.
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

// Run drives the duty until the context ends.
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
			d.state.Done(d.options.Now(), r.attempt, result(r.err), r.version)
		case <-ticker.C:
		}
		d.look()
		d.act(ctx)
	}
}

// look takes the use of the shares and says what they may be from now on.
func (d *Duty) look() {
	d.mu.Lock()
	teams := d.teams
	d.mu.Unlock()
	if len(teams) == 0 && len(d.known) == 0 {
		return
	}
	names := make([]string, 0, len(teams))
	for _, t := range teams {
		names = append(names, t.Name)
	}
	usages, reserve := d.options.Pools.Look(names)
	d.known = teams
	d.state.SetTeams(teams, reserve)
	now := d.options.Now()
	shares := make(map[string]int, len(teams))
	for _, name := range names {
		d.state.Use(now, name, usages[name])
		shares[name], _ = d.state.Share(now, name)
		d.note(name, usages[name], shares[name])
	}
	d.options.Pools.SetShares(shares)
}

// note logs a share that has changed at its home.
func (d *Duty) note(name string, u Usage, share int) {
	if !u.Home || d.shares[name] == share {
		return
	}
	d.shares[name] = share
	d.options.Scope.Counter("quota_shares_changed").Inc(1)
	d.options.Log.Info("quota share changed", "team", name, "share", share, "out", u.Out, "wanted", u.Want)
}

// act reads the table and commits what is due, one of each at a time.
func (d *Duty) act(ctx context.Context) {
	if !d.state.Homes() {
		return
	}
	now := d.options.Now()
	interval := readAtRest
	if d.state.Moving() {
		interval = readWhileMoving
	}
	if !d.reading && (d.readAt == 0 || now >= d.readAt+interval) {
		d.reading = true
		d.readAt = now
		go d.read(ctx, now, d.state.Version())
	}
	if a, ok := d.state.Next(now); ok {
		d.options.Scope.Counter("quota_commits").Inc(1)
		go d.commit(ctx, a)
	}
}

func (d *Duty) read(ctx context.Context, now time.Duration, since uint64) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	changes, err := d.options.Store.Changes(ctx, Table, since)
	d.reads <- readResult{begunAt: now, changes: changes, err: err}
}

func (d *Duty) commit(ctx context.Context, a Attempt) {
	commit, err := a.Commit()
	if err != nil {
		d.commits <- commitResult{attempt: a, err: tableservice.ErrInvalid.Wrap(err)}
		return
	}
	version, err := d.options.Store.Commit(ctx, commit)
	d.commits <- commitResult{attempt: a, version: version, err: err}
}

// result tells what became of a commit. Whatever is not known to have been refused may
// still take effect.
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
