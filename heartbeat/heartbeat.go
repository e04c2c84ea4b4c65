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

// maxDatagram bounds what is read; pings and pongs are a few hundred bytes.
const maxDatagram = 8 << 10

// Self is what a VM tells of itself.
type Self struct {
	VM                 string
	Life               uint64
	FailureDomain      string
	Control, Heartbeat string
}

// Listener hears what arrives. Its methods must not block.
type Listener interface {
	// Vouched says that an entry VM stands for its callers until a time on the
	// boot clock, but for the jobs it has given up.
	Vouched(entry string, until time.Duration, givenUp []string)
	// Loads is what to answer to a ping; nil when this VM owns nothing.
	Loads() []*linkpb.Load
	// Pending counts this VM's kept jobs of which nothing has begun, by queue.
	Pending() map[string]int32
	ConfigurationVersion() int64
	Leaving() bool
	// CPUShare is what this VM has of a core now, in thousandths.
	CPUShare() int32
	// Owned is the claim of this VM's group; nil before the first.
	Owned() *linkpb.Owned
	// Heard takes the loads that an owner tells of.
	Heard(owner uint64, loads []*linkpb.Load)
	// Late hears of a gap between two heartbeats of a VM that is longer than usual.
	Late(vm string, gap time.Duration)
	// Cordons is what this VM knows of cordoned failure domains; nil before the first word.
	Cordons() *linkpb.Cordons
	// Cordoned takes what another VM knows of them.
	Cordoned(from string, cordons *linkpb.Cordons)
	// Learned takes the claim that an owner knows of its group.
	Learned(owned *linkpb.Owned)
}

// Service sends and answers heartbeats.
type Service struct {
	self     Self
	listener Listener
	conn     *net.UDPConn
	// hurried is when Hurry last asked, on the boot clock.
	hurried atomic.Int64

	mu   sync.Mutex
	book *book
}

// New opens the socket at self.Heartbeat.
func New(self Self, l Listener) (*Service, error) {
	address, err := net.ResolveUDPAddr("udp4", self.Heartbeat)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, err
	}
	return &Service{self: self, listener: l, conn: conn, book: newBook()}, nil
}

// Run sends and answers until the context ends.
func (s *Service) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	g.Go(func() error { return s.receive(ctx) })
	g.Go(func() error { s.send(ctx); return nil })
	return g.Wait()
}

// Follow sets the owners to ping, and pings new ones at once.
func (s *Service) Follow(owners []Owner) {
	s.mu.Lock()
	s.book.follow(bootclock.Now(), owners)
	s.mu.Unlock()
	s.pingAll()
}

// View returns what is known of an owner.
func (s *Service) View(life uint64) (View, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.book.views[life]
	if v == nil {
		return View{}, false
	}
	return v.View, true
}

// Pingers lists the entry VMs that were heard lately.
func (s *Service) Pingers() []Pinger {
	s.mu.Lock()
	defer s.mu.Unlock()
	pingers := make([]Pinger, 0, len(s.book.pingers))
	for _, p := range s.book.pingers {
		pingers = append(pingers, *p)
	}
	return pingers
}

// GiveUp tells the owner that runs a job that it is no longer wanted, at once and, as
// datagrams get lost, in the next pings.
func (s *Service) GiveUp(owner uint64, job string) {
	s.mu.Lock()
	s.book.givenUp[job] = bootclock.Now()
	s.mu.Unlock()
	s.ping(func(life uint64) bool { return life == owner })
}

func (s *Service) send(ctx context.Context) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.mu.Lock()
			s.book.expire(bootclock.Now())
			s.mu.Unlock()
			s.pingAll()
		}
	}
}

// hurryInterval is several ways between failure domains: a place that gets free is
// known elsewhere within it.
const hurryInterval = 8 * time.Millisecond

// Hurry asks all owners for their loads, unless it was done just now.
func (s *Service) Hurry() {
	now := int64(bootclock.Now())
	last := s.hurried.Load()
	if now-last >= int64(hurryInterval) && s.hurried.CompareAndSwap(last, now) {
		s.pingAll()
	}
}

// pingAll pings each owner but this VM itself.
func (s *Service) pingAll() {
	s.ping(func(uint64) bool { return true })
}

func (s *Service) ping(wanted func(life uint64) bool) {
	for _, p := range s.pings(wanted) {
		s.write(p.address, p.ping)
	}
}

// outgoing is a ping with its address. Two lives of a VM, of which one has ended,
// share an address for a while.
type outgoing struct {
	address string
	ping    *linkpb.Ping
}

func (s *Service) pings(wanted func(life uint64) bool) []outgoing {
	version, leaving, share := s.listener.ConfigurationVersion(), s.listener.Leaving(), s.listener.CPUShare()
	cordons := s.listener.Cordons()
	s.mu.Lock()
	defer s.mu.Unlock()
	var givenUp []string
	for job := range s.book.givenUp {
		givenUp = append(givenUp, job)
	}
	pings := make([]outgoing, 0, len(s.book.views))
	for life, v := range s.book.views {
		if life == s.self.Life || !wanted(life) {
			continue
		}
		pings = append(pings, outgoing{address: v.Heartbeat, ping: &linkpb.Ping{
			Vm: s.self.VM, Life: s.self.Life, FailureDomain: s.self.FailureDomain,
			Stamp: v.Stamp, OwnerLife: life, GivenUp: givenUp, ConfigurationVersion: version,
			CpuShare: share, Leaving: leaving, Control: s.self.Control, Heartbeat: s.self.Heartbeat,
			Cordons: cordons,
		}})
	}
	return pings
}

// write loses the datagram where it can't be sent: the next one follows soon.
func (s *Service) write(address string, message proto.Message) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return
	}
	s.writeTo(to, message)
}

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

// The first byte of a datagram.
const (
	kindPing byte = 1
	kindPong byte = 2
)

func (s *Service) receive(ctx context.Context) error {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil || n == 0 {
			continue
		}
		s.take(buffer[0], buffer[1:n], from)
	}
}

func (s *Service) take(kind byte, body []byte, from netip.AddrPort) {
	switch kind {
	case kindPing:
		var ping linkpb.Ping
		if proto.Unmarshal(body, &ping) == nil {
			s.pinged(&ping, from)
		}
	case kindPong:
		var pong linkpb.Pong
		if proto.Unmarshal(body, &pong) == nil {
			s.mu.Lock()
			gap := s.book.answered(bootclock.Now(), &pong)
			s.mu.Unlock()
			s.late(pong.GetVm(), gap)
			if pong.GetCordons() != nil {
				s.listener.Cordoned(pong.GetVm(), pong.GetCordons())
			}
			s.listener.Heard(pong.GetLife(), pong.GetLoads())
			if pong.GetOwned() != nil {
				s.listener.Learned(pong.GetOwned())
			}
		}
	}
}

// lateGap is three heartbeats that didn't come.
const lateGap = 4 * Interval

func (s *Service) late(vm string, gap time.Duration) {
	if gap > lateGap {
		s.listener.Late(vm, gap)
	}
}

func (s *Service) pinged(ping *linkpb.Ping, from netip.AddrPort) {
	now := bootclock.Now()
	s.mu.Lock()
	gap := s.book.pinged(now, ping)
	s.mu.Unlock()
	s.late(ping.GetVm(), gap)
	if ping.GetCordons() != nil {
		s.listener.Cordoned(ping.GetVm(), ping.GetCordons())
	}
	if ping.GetOwnerLife() == s.self.Life && ping.GetStamp() > 0 {
		s.listener.Vouched(EntryID(ping.GetVm(), ping.GetLife()), time.Duration(ping.GetStamp())+Vouch, ping.GetGivenUp())
	}
	s.writeTo(from, &linkpb.Pong{
		Vm: s.self.VM, Life: s.self.Life, Stamp: int64(bootclock.Now()), Control: s.self.Control,
		ConfigurationVersion: s.listener.ConfigurationVersion(), Loads: s.listener.Loads(),
		Owned: s.listener.Owned(), Pending: s.listener.Pending(),
		Cordons: s.listener.Cordons(),
	})
}
