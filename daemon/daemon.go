// Package daemon combines the duties of an entry VM into one process. It passes views, VM
// lists, configurations, digests and outcomes between them, and serves the ports of
// callers, peers and operators. A planned stop refuses new submissions, finishes those in
// flight, hands records and units over to the other VMs, and then leaves the view.
package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/claim"
	"github.com/burdockward/burdockward/configuration"
	"github.com/burdockward/burdockward/dispatch"
	"github.com/burdockward/burdockward/domains"
	"github.com/burdockward/burdockward/frontend"
	"github.com/burdockward/burdockward/intake"
	"github.com/burdockward/burdockward/membership"
	"github.com/burdockward/burdockward/peer"
	"github.com/burdockward/burdockward/peer/peerpb"
	"github.com/burdockward/burdockward/quota"
	"github.com/burdockward/burdockward/ring"
	"github.com/burdockward/burdockward/settings"
	"github.com/burdockward/burdockward/submission"
	"github.com/burdockward/burdockward/tableservice"
	"github.com/burdockward/burdockward/targetclient"
	"github.com/burdockward/burdockward/telemetry"
	"github.com/burdockward/burdockward/vmlist"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"
)

const (
	// claimTimeout bounds a claim, which may have to wait for a view change.
	claimTimeout = 10 * time.Second
	// drainRetryAfter is the time after which callers that a planned stop refuses may
	// retry.
	drainRetryAfter = time.Second
	// drainPoll is the time between two checks for unfinished submissions during a
	// planned stop.
	drainPoll = 20 * time.Millisecond
	// viewChangeTime is the time allowed for a view change on a busy machine.
	viewChangeTime = 600 * time.Millisecond
	// idleTimeout is how long a connection may stay open between two requests.
	idleTimeout = 2 * time.Minute
	// closeTimeout bounds the end of the HTTP servers after the drain.
	closeTimeout = 2 * time.Second
)

// Daemon is one process of an entry VM.
type Daemon struct {
	settings    *settings.Settings
	telemetry   *telemetry.Telemetry
	log         *slog.Logger
	incarnation uint64
	started     time.Time
	draining    atomic.Bool

	platform *tableservice.Client
	targets  *targetclient.Client
	peers    *peer.Transport
	claims   *claim.Duty
	shared   *dispatch.Shared
	outcomes *ring.Ring[endedKey]
	// droppedOutcomes counts outcomes that the claim duty did not get.
	droppedOutcomes tally.Counter
	viewChanged     chan struct{}
	// listed are the entry VMs of the failure domain on the newest list.
	listed        atomic.Pointer[[]membership.ListedVM]
	dispatch      *dispatch.Duty
	service       *submission.Service
	configuration *configuration.Duty
	vmList        *vmlist.Duty
	quota         *quota.Duty
	domains       *domains.Duty
	frontend      *frontend.Server
}

// Run runs the daemon until the context ends, then stops it as planned: submissions in
// flight are finished first.
func Run(ctx context.Context, s *settings.Settings, tel *telemetry.Telemetry) error {
	d, err := newDaemon(s, tel)
	if err != nil {
		return err
	}
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	return d.run(ctx, listeners)
}

// listeners are the listeners of the process's ports.
type listeners struct {
	callers, peers, admin net.Listener
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.admin} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func (d *Daemon) listen() (listeners, error) {
	var l listeners
	for _, p := range []struct {
		into    *net.Listener
		address string
	}{
		{&l.callers, d.settings.Listen.Callers.String()},
		{&l.peers, d.settings.Listen.Peers.String()},
		{&l.admin, d.settings.Listen.Admin.String()},
	} {
		listener, err := net.Listen("tcp", p.address)
		if err != nil {
			l.close()
			return listeners{}, fmt.Errorf("listen: %w", err)
		}
		*p.into = listener
	}
	return l, nil
}

// run runs the duties and servers. They continue after the end of ctx, which begins the
// planned stop.
func (d *Daemon) run(ctx context.Context, l listeners) error {
	duties, stopDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer stopDuties()
	g, duties := errgroup.WithContext(duties)
	g.Go(func() error { return d.claims.Run(duties) })
	g.Go(func() error { return d.dispatch.Run(duties) })
	g.Go(func() error { return d.configuration.Run(duties) })
	g.Go(func() error { return d.vmList.Run(duties) })
	g.Go(func() error { return d.quota.Run(duties) })
	g.Go(func() error { return d.domains.Run(duties) })
	g.Go(func() error { return d.followViews(duties) })
	g.Go(func() error { return d.spreadDigests(duties) })
	g.Go(func() error { return d.forwardOutcomes(duties) })
	g.Go(func() error { return d.reportGauges(duties) })
	servers := d.servers(l)
	for _, server := range servers.all() {
		g.Go(server.serve)
	}
	d.log.Info("started", "callers", l.callers.Addr().String())
	select {
	case <-ctx.Done():
		d.stop(servers)
	case <-duties.Done():
	}
	stopDuties()
	servers.close()
	d.peers.Close()
	d.targets.Close()
	d.platform.Close()
	return g.Wait()
}

// servers are the HTTP servers of the process.
type servers struct {
	callers, peers, admin *gracefulServer
}

func (s servers) all() []*gracefulServer { return []*gracefulServer{s.callers, s.peers, s.admin} }

func (d *Daemon) servers(l listeners) servers {
	limits := d.settings.Limits
	// There is no write timeout, because an answer may take as long as the submission's
	// deadline. The callers' interface bounds the writing itself.
	server := func(p port) *gracefulServer {
		limited := d.limit(p)
		return newGracefulServer(limited, &http.Server{
			Handler:           p.handler,
			ReadHeaderTimeout: limits.ReadTimeout,
			ReadTimeout:       limits.ReadTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    limits.MaxHeaderBytes,
			ConnState:         limited.TrackState,
			ConnContext:       intake.ConnContext,
			ErrorLog:          slog.NewLogLogger(d.log.Handler(), slog.LevelDebug),
		})
	}
	callers, peers, admin := d.ports(l)
	return servers{callers: server(callers), peers: server(peers), admin: server(admin)}
}

// traced adds a span for each request of a peer, as a child of the peer's span.
func (d *Daemon) traced(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := d.telemetry.ExtractHTTP(r.Context(), r.Header)
		ctx, span := d.telemetry.StartSpan(ctx, "peer", trace.SpanKindServer)
		defer telemetry.EndSpan(span, nil)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func (s servers) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, server := range s.all() {
		if server.shutdown(ctx, 0) != nil {
			_ = server.Close()
		}
	}
}

// stop does the planned stop: it refuses new submissions, finishes those in flight, hands
// records and units over, and leaves the view.
func (d *Daemon) stop(s servers) {
	d.log.Info("planned stop begins", "unfinished", d.service.Unfinished())
	d.draining.Store(true)
	d.claims.Drain()
	d.service.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainTimeout)
	defer cancel()
	d.awaitUnfinished(ctx)
	d.endUnfinished()
	d.handOver()
	// Callers that still wait for a refusal or an answer get it before the port closes.
	_ = s.callers.shutdown(ctx, unusedGrace)
	d.log.Info("planned stop ends", "unfinished", d.service.Unfinished())
}

// endUnfinished ends the submissions that were not finished within the drain timeout.
func (d *Daemon) endUnfinished() {
	if d.service.Unfinished() == 0 {
		return
	}
	d.log.Warn("drain_timeout is over, submissions end as failed", "unfinished", d.service.Unfinished())
	d.dispatch.EndAll()
	d.service.Abandon()
}

// handOverTimeout returns the limit for handing over at a planned stop. Before it can end,
// the loss of the proposer of the view change and of one more VM may have to be detected,
// one after the other.
func handOverTimeout(m settings.Membership) time.Duration {
	lossDetection := time.Duration(1+m.ProbeAttempts) * m.ProbeTimeout
	return 2*lossDetection + viewChangeTime
}

// handOver hands units and records over to the other VMs and leaves the view.
func (d *Daemon) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout(d.settings.Membership))
	defer cancel()
	d.dispatch.DoWait(func(now time.Duration) { d.shared.Leave(now) })
	d.flushOutcomes(ctx)
	if err := d.claims.Leave(ctx); err != nil {
		d.log.Warn("left without handing over", "error", err)
	}
	// By the others' view, which is without this VM, the dispatch duty sees which ledgers
	// go to which VM.
	d.useView(d.claims.View())
	d.dispatch.DoWait(func(time.Duration) {})
	d.peers.Flush(ctx)
}

func (d *Daemon) awaitUnfinished(ctx context.Context) {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for d.service.Unfinished() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// ready reports whether the balancer should send work here.
func (d *Daemon) ready() bool {
	return !d.draining.Load() && d.claims.Ready() && d.configuration.Ready()
}

func (d *Daemon) newFrontend() *frontend.Server {
	return frontend.New(frontend.Options{
		Domain:       d.settings.FailureDomain,
		VM:           d.settings.VMID,
		MaxBodyBytes: d.settings.Limits.MaxBodyBytes,
		MaxTasks:     api.MaxTasks,
		MaxInFlight:  d.settings.Limits.MaxInFlight,
		Epoch:        d.claims.CurrentEpoch,
		Ready:        d.ready,
		Service:      d.service,
		Scope:        d.telemetry.Scope(),
	})
}

func (d *Daemon) newVMList() *vmlist.Duty {
	return vmlist.New(vmlist.Options{
		Domain:    d.settings.FailureDomain,
		Source:    d.platform,
		Self:      d.settings.VMID,
		Peers:     d.vmListPeers,
		Interval:  d.settings.Platform.PollInterval,
		OnList:    d.onList,
		SetDigest: func(body []byte) { d.claims.SetDigest(peerpb.Duty_DUTY_VM_LIST, body) },
		Send:      d.peers.Send,
		Scope:     d.telemetry.Scope(),
		Log:       d.log,
	})
}
