package domains

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/burdockward/burdockward/tableservice"
	"github.com/uber-go/tally/v4"
)

const (
	// tickInterval is the time between two checks for a list that is due.
	tickInterval = time.Second
	// maxExchanges is the largest number of concurrent exchanges; more are not begun.
	maxExchanges = 64
)

// Source is the platform's list of entry VMs.
type Source interface {
	// EntryVMs returns the entry VMs of a failure domain. A list whose version is
	// not above since comes without VMs.
	EntryVMs(ctx context.Context, domain string, since uint64) (tableservice.List, error)
}

// Options are the settings of a Duty.
type Options struct {
	Directory *Directory
	Source    Source
	Peers     Peers
	// Now is the monotonic time since the start of the process.
	Now func() time.Duration
	// OnAddresses gets the peer addresses of all other failure domains at the start and
	// whenever they change.
	OnAddresses func([]string)
	Log         *slog.Logger
	Scope       tally.Scope
}

// Duty reads the lists of other failure domains and burns keys there.
type Duty struct {
	options Options
	slots   chan struct{}

	mu        sync.Mutex
	directory *Directory
	// readFails says that the last read failed, so that only changes are logged.
	readFails bool

	reads, failed, exchanges, unclear tally.Counter
}

// New returns a duty.
func New(o Options) *Duty {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return &Duty{
		options:   o,
		slots:     make(chan struct{}, maxExchanges),
		directory: o.Directory,
		reads:     o.Scope.Tagged(map[string]string{"kind": "platform"}).Counter("messages_sent"),
		failed:    o.Scope.Counter("domain_list_reads_failed"),
		exchanges: o.Scope.Counter("burns_sent"),
		unclear:   o.Scope.Counter("burns_unclear"),
	}
}

// Run reads lists until the context ends.
func (d *Duty) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	known := d.addresses()
	d.options.OnAddresses(known)
	for {
		d.read(ctx)
		if now := d.addresses(); !slices.Equal(known, now) {
			known = now
			d.options.OnAddresses(known)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (d *Duty) addresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.directory.Addresses()
}

// read reads the list that is due, if any.
func (d *Duty) read(ctx context.Context) {
	d.mu.Lock()
	domain, since, due := d.directory.Due(d.options.Now())
	d.mu.Unlock()
	if !due {
		return
	}
	d.reads.Inc(1)
	list, err := d.options.Source.EntryVMs(ctx, domain, since)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.failed.Inc(1)
		d.directory.ReadFailed(d.options.Now(), domain)
	} else {
		d.directory.ListRead(d.options.Now(), domain, list)
	}
	d.logChange(err)
}

// logChange logs when reading the lists begins to fail and when it works again.
func (d *Duty) logChange(err error) {
	if down := err != nil; down != d.readFails {
		d.readFails = down
		if down {
			d.options.Log.Warn("the VM lists of other failure domains can't be read, what is known stays in use", "error", err)
			return
		}
		d.options.Log.Info("the VM lists of other failure domains can be read again")
	}
}
