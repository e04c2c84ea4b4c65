// Package heartbeat tells entry VMs and owners of targets whether the other is alive. It uses
// datagrams, and also carries loads, claims, cordons and configuration versions.
//
// An entry VM pings each owner. The owner answers with a timestamp of its own clock, which the next
// ping echoes. Such an echo is a keepalive: it shows the owner, by its own clock alone, that the
// entry VM was alive after the timestamp. The owner keeps an entry VM's jobs for KeepaliveTimeout
// after the newest timestamp. The entry VM considers an owner lost, and the jobs there given up,
// only after SilenceTimeout without an answer.
//
// Invariant: SilenceTimeout is longer than KeepaliveTimeout, so when an entry VM gives up a silent
// owner, that owner is already stopping the VM's jobs.
package heartbeat

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/link/linkpb"
)

// maxDatagram bounds the datagrams that are sent and read. Most pings and pongs have a few hundred
// bytes; one whose load names many services may have some thousand.
const maxDatagram = 60 << 10

// Self describes this VM in its pings and answers.
type Self struct {
	VM                               string
	Incarnation                      uint64
	FailureDomain                    string
	ControlAddress, HeartbeatAddress string
	Limits                           Limits
}

// Listener gives what this VM reports in heartbeats and takes what others report. Its methods must
// not block.
type Listener interface {
	// ReceiveKeepalive says that the callers of an entry VM still wait for their jobs, except
	// those whose requests were given up. It is valid until a time on the boot clock.
	ReceiveKeepalive(entry string, until time.Duration, givenUp []GivenUp)
	// Loads returns the loads of this VM's targets by service; nil if it owns none.
	Loads() []*linkpb.Load
	// PendingJobs counts this VM's durable jobs of which nothing has started, by queue.
	PendingJobs() map[string]int32
	ConfigurationVersion() int64
	// ProfilesVersion is the version of the profiles in force; 0 before the first.
	ProfilesVersion() int64
	Leaving() bool
	// CPUShare returns this VM's present share of a core, in thousandths.
	CPUShare() int32
	// Claim returns the claim of this VM's group; nil before the first.
	Claim() *linkpb.Owned
	// ReceiveLoads takes the loads that an owner reports.
	ReceiveLoads(owner uint64, loads []*linkpb.Load)
	// ReportLateHeartbeat takes an unusually long gap between two heartbeats of a VM.
	ReportLateHeartbeat(vm string, gap time.Duration)
	// ReportLargeHeartbeat takes that an answer didn't hold all that this VM has to report.
	ReportLargeHeartbeat()
	// Cordons returns the cordoned failure domains; nil before they are known.
	Cordons() *linkpb.Cordons
	// ReceiveCordons takes the cordoned failure domains that another VM reports.
	ReceiveCordons(from string, cordons *linkpb.Cordons)
	// ReceiveClaim takes the claim of its group that an owner reports.
	ReceiveClaim(owned *linkpb.Owned)
	// Succession returns what this VM knows of the rank of its failure domain's VMs; nil if it owns no
	// targets.
	Succession() *linkpb.Succession
	// ReceiveSuccession takes what an owner reports; nil if it reports nothing.
	ReceiveSuccession(owner uint64, succession *linkpb.Succession)
}

// Service sends and answers heartbeats.
type Service struct {
	self     Self
	listener Listener
	conn     *net.UDPConn
	// lastLoadRequest is when RequestLoads last pinged, on the boot clock.
	lastLoadRequest atomic.Int64

	mu    sync.Mutex
	peers *peerTable
}

// New creates a Service and opens its socket at self.HeartbeatAddress.
func New(self Self, l Listener) (*Service, error) {
	address, err := net.ResolveUDPAddr("udp4", self.HeartbeatAddress)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, err
	}
	return &Service{self: self, listener: l, conn: conn, peers: newPeerTable()}, nil
}

// Run sends pings and answers those of others until the context ends.
func (s *Service) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	g.Go(func() error { return s.receive(ctx) })
	g.Go(func() error { s.pingPeriodically(ctx); return nil })
	return g.Wait()
}

// SetOwners sets the owners that hold claims, and pings all owners at once.
func (s *Service) SetOwners(owners []Owner) {
	s.mu.Lock()
	s.peers.setOwners(bootclock.Now(), owners)
	s.mu.Unlock()
	s.pingAll()
}

// View returns what is known of an owner.
func (s *Service) View(incarnation uint64) (View, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.peers.views[incarnation]
	if v == nil {
		return View{}, false
	}
	return v.View, true
}

// Pingers lists the entry VMs whose last ping is not older than pingerTimeout.
func (s *Service) Pingers() []Pinger {
	s.mu.Lock()
	defer s.mu.Unlock()
	pingers := make([]Pinger, 0, len(s.peers.pingers))
	for _, p := range s.peers.pingers {
		pingers = append(pingers, *p)
	}
	return pingers
}

// GiveUp notifies an owner that nobody waits for the answer to a request any more: at once and, as
// datagrams get lost, again in the next pings.
func (s *Service) GiveUp(owner uint64, given GivenUp) {
	s.mu.Lock()
	s.peers.giveUp(bootclock.Now(), owner, given)
	s.mu.Unlock()
	s.pingWhere(func(incarnation uint64) bool { return incarnation == owner })
}

// pingPeriodically pings all owners at each interval until the context ends.
func (s *Service) pingPeriodically(ctx context.Context) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.mu.Lock()
			s.peers.expire(bootclock.Now())
			s.mu.Unlock()
			s.pingAll()
		}
	}
}

// minLoadRequestInterval is several times the network latency between failure domains. Capacity
// that becomes free is known to the owners that ask for it within this time.
const minLoadRequestInterval = 8 * time.Millisecond

// RequestLoads pings all owners for their loads, unless it has done so within
// minLoadRequestInterval.
func (s *Service) RequestLoads() {
	now := int64(bootclock.Now())
	last := s.lastLoadRequest.Load()
	if now-last >= int64(minLoadRequestInterval) && s.lastLoadRequest.CompareAndSwap(last, now) {
		s.pingAll()
	}
}

// pingAll pings each owner except this VM itself.
func (s *Service) pingAll() {
	s.pingWhere(func(uint64) bool { return true })
}

// pingWhere pings the owners whose incarnation the predicate accepts.
func (s *Service) pingWhere(matches func(incarnation uint64) bool) {
	for _, p := range s.preparePings(matches) {
		s.write(p.address, p.ping)
	}
}

// outgoingPing is a ping with its address. Two incarnations of a VM, of which one has ended, may
// share an address for a while.
type outgoingPing struct {
	address string
	ping    *linkpb.Ping
}

// preparePings returns the pings to the owners that the predicate accepts, except this VM.
func (s *Service) preparePings(matches func(incarnation uint64) bool) []outgoingPing {
	version, leaving, share := s.listener.ConfigurationVersion(), s.listener.Leaving(), s.listener.CPUShare()
	cordons, profiles := s.listener.Cordons(), s.listener.ProfilesVersion()
	s.mu.Lock()
	defer s.mu.Unlock()
	pings := make([]outgoingPing, 0, len(s.peers.views))
	for incarnation, v := range s.peers.views {
		if incarnation == s.self.Incarnation || !matches(incarnation) {
			continue
		}
		ping := &linkpb.Ping{
			Vm: s.self.VM, Life: s.self.Incarnation, FailureDomain: s.self.FailureDomain,
			Stamp: v.Timestamp, OwnerLife: incarnation, ConfigurationVersion: version,
			CpuShare: share, Leaving: leaving, Control: s.self.ControlAddress, Heartbeat: s.self.HeartbeatAddress,
			Cordons: cordons, ProfilesVersion: profiles, PendingAfter: v.pages.last,
		}
		if v.SameGroup {
			ping.DeclaredCpuShare, ping.Sockets, ping.LinkMbps = s.self.Limits.DeclaredCPUShare, s.self.Limits.Sockets, s.self.Limits.LinkMbps
		}
		setGivenUp(ping, s.peers.takeGivenUp(incarnation))
		pings = append(pings, outgoingPing{address: v.HeartbeatAddress, ping: ping})
	}
	return pings
}

// setGivenUp names requests that were given up, for VMs of older builds by their jobs as well.
func setGivenUp(ping *linkpb.Ping, givenUp []GivenUp) {
	for _, given := range givenUp {
		ping.GivenUp = append(ping.GivenUp, given.Job)
		ping.GivenUpRequests = append(ping.GivenUpRequests, &linkpb.GivenUpRequest{Job: given.Job, Request: given.Request})
	}
}

// givenUpIn returns the requests that a ping names. A ping of an older build names their jobs alone.
func givenUpIn(ping *linkpb.Ping) []GivenUp {
	var givenUp []GivenUp
	for _, request := range ping.GetGivenUpRequests() {
		givenUp = append(givenUp, GivenUp{Job: request.GetJob(), Request: request.GetRequest()})
	}
	if len(givenUp) > 0 {
		return givenUp
	}
	for _, job := range ping.GetGivenUp() {
		givenUp = append(givenUp, GivenUp{Job: job})
	}
	return givenUp
}

// write sends a message to an address. A datagram that can't be sent is dropped, since the next one
// follows soon.
func (s *Service) write(address string, message proto.Message) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return
	}
	s.writeTo(to, message)
}

// writeTo encodes a message behind its kind byte and sends it.
func (s *Service) writeTo(to netip.AddrPort, message proto.Message) {
	kind := kindPing
	if _, ok := message.(*linkpb.Pong); ok {
		kind = kindPong
	}
	data, err := proto.MarshalOptions{}.MarshalAppend([]byte{kind}, message)
	if err == nil {
		_, _ = s.conn.WriteToUDPAddrPort(data, to)
	}
}

// Kinds of datagrams, by their first byte.
const (
	kindPing byte = 1
	kindPong byte = 2
)

// receive handles datagrams until the context ends.
func (s *Service) receive(ctx context.Context) error {
	buffer := make([]byte, maxDatagram)
	for {
		err := s.receiveOne(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
	}
}

// receiveOne waits for a datagram and handles it.
func (s *Service) receiveOne(buffer []byte) error {
	n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
	if err == nil && n > 0 {
		s.handleDatagram(buffer[0], buffer[1:n], from)
	}
	return err
}

// handleDatagram decodes a ping or a pong and passes it on; it drops all else.
func (s *Service) handleDatagram(kind byte, body []byte, from netip.AddrPort) {
	switch kind {
	case kindPing:
		var ping linkpb.Ping
		if proto.Unmarshal(body, &ping) == nil {
			s.handlePing(&ping, from)
		}
	case kindPong:
		var pong linkpb.Pong
		if proto.Unmarshal(body, &pong) == nil {
			s.mu.Lock()
			gap := s.peers.recordPong(bootclock.Now(), &pong)
			s.mu.Unlock()
			s.reportLate(pong.GetVm(), gap)
			if pong.GetCordons() != nil {
				s.listener.ReceiveCordons(pong.GetVm(), pong.GetCordons())
			}
			s.listener.ReceiveLoads(pong.GetLife(), pong.GetLoads())
			s.listener.ReceiveSuccession(pong.GetLife(), pong.GetSuccession())
			if pong.GetOwned() != nil {
				s.listener.ReceiveClaim(pong.GetOwned())
			}
		}
	}
}

// lateGap is the gap that three missing heartbeats leave.
const lateGap = 4 * Interval

// reportLate reports the gap between two heartbeats of a VM if it is longer than lateGap.
func (s *Service) reportLate(vm string, gap time.Duration) {
	if gap > lateGap {
		s.listener.ReportLateHeartbeat(vm, gap)
	}
}

// handlePing records a ping, passes on its keepalive and answers it.
func (s *Service) handlePing(ping *linkpb.Ping, from netip.AddrPort) {
	now := bootclock.Now()
	s.mu.Lock()
	gap := s.peers.recordPing(now, ping)
	s.mu.Unlock()
	s.reportLate(ping.GetVm(), gap)
	if ping.GetCordons() != nil {
		s.listener.ReceiveCordons(ping.GetVm(), ping.GetCordons())
	}
	if ping.GetOwnerLife() == s.self.Incarnation && ping.GetStamp() > 0 {
		s.listener.ReceiveKeepalive(EntryID(ping.GetVm(), ping.GetLife()), time.Duration(ping.GetStamp())+KeepaliveTimeout, givenUpIn(ping))
	}
	pong := &linkpb.Pong{
		Vm: s.self.VM, Life: s.self.Incarnation, Stamp: int64(bootclock.Now()), Control: s.self.ControlAddress,
		ConfigurationVersion: s.listener.ConfigurationVersion(), Loads: s.listener.Loads(),
		Owned:   s.listener.Claim(),
		Cordons: s.listener.Cordons(), ProfilesVersion: s.listener.ProfilesVersion(),
	}
	pong.Pending, pong.PendingPage = pendingPage(s.listener.PendingJobs(), ping.GetPendingAfter())
	if ping.GetFailureDomain() == s.self.FailureDomain {
		pong.Succession = s.listener.Succession()
	}
	if fitDatagram(pong, func(p *linkpb.Pong) int { return 1 + proto.Size(p) }, maxDatagram) {
		s.listener.ReportLargeHeartbeat()
	}
	s.writeTo(from, pong)
}
