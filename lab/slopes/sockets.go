package slopes

import (
	"context"
	"time"
)

// sampleInterval is the time between two samples of the sockets.
const sampleInterval = time.Second

// socket is one TCP socket of the machine with the kernel's counters for it.
type socket struct {
	inode                 uint32
	cookie                uint64
	localPort, remotePort uint16
	// payload counts the bytes sent and received, segments the TCP segments.
	payload, segments uint64
}

// headerBytes is the size of the IPv4 header and of the TCP header with timestamps, which each
// segment has.
const headerBytes = 20 + 32

// traffic counts bytes of payload and TCP segments.
type traffic struct {
	payload, segments uint64
}

// wire returns the size with IP and TCP headers, in bytes.
func (t traffic) wire() float64 { return float64(t.payload + headerBytes*t.segments) }

func (t *traffic) add(o traffic) {
	t.payload += o.payload
	t.segments += o.segments
}

// other is the role of the process at the other end of a daemon's socket.
type other string

// The roles at the other ends of sockets. classify takes every socket that no rule matches as one
// to a target.
const (
	otherPeer     other = "peer"
	otherPlatform other = "platform"
	otherCaller   other = "caller"
	otherTarget   other = "target"
	otherAdmin    other = "admin"
)

// counter adds up the traffic of daemons over a time. It misses sockets that open and close between
// two samples; those of HTTP clients live longer.
type counter struct {
	daemons  []daemon
	platform uint16
	peers    map[uint16]bool
	first    map[uint64]traffic
	last     map[uint64]sample
	// open counts the sockets of the newest sample.
	open map[other]int
}

// sample is the newest count of one socket.
type sample struct {
	traffic
	pid   int
	other other
}

func newCounter(daemons []daemon, platform uint16) *counter {
	c := &counter{
		daemons:  daemons,
		platform: platform,
		peers:    map[uint16]bool{},
		last:     map[uint64]sample{},
	}
	for _, d := range daemons {
		c.peers[d.settings.Listen.Peers.Port()] = true
	}
	return c
}

// watch samples the sockets for the given time.
func (c *counter) watch(ctx context.Context, length time.Duration) error {
	if err := c.sampleAll(); err != nil {
		return err
	}
	end := time.Now().Add(length)
	for left := length; left > 0; left = time.Until(end) {
		if err := pause(ctx, min(sampleInterval, left)); err != nil {
			return err
		}
		if err := c.sampleAll(); err != nil {
			return err
		}
	}
	return nil
}

// sampleAll samples all sockets of the daemons.
func (c *counter) sampleAll() error {
	sockets, err := listSockets()
	if err != nil {
		return err
	}
	owners := map[uint32]daemon{}
	for _, d := range c.daemons {
		inodes, err := socketInodes(d.pid)
		if err != nil {
			return err
		}
		for _, inode := range inodes {
			owners[inode] = d
		}
	}
	c.record(sockets, owners)
	return nil
}

// record stores the counters of the sockets that a daemon owns. The first call sets the counts that
// sums subtracts.
func (c *counter) record(sockets []socket, owners map[uint32]daemon) {
	begin := c.first == nil
	if begin {
		c.first = map[uint64]traffic{}
	}
	c.open = map[other]int{}
	for _, s := range sockets {
		d, owned := owners[s.inode]
		if !owned {
			continue
		}
		t := traffic{payload: s.payload, segments: s.segments}
		if begin {
			c.first[s.cookie] = t
		}
		end := c.classify(d, s)
		c.last[s.cookie] = sample{traffic: t, pid: d.pid, other: end}
		c.open[end]++
	}
}

// classify returns the role of the other end of a daemon's socket, by its ports.
func (c *counter) classify(d daemon, s socket) other {
	listen := d.settings.Listen
	switch {
	case s.localPort == listen.Peers.Port(), c.peers[s.remotePort]:
		return otherPeer
	case s.remotePort == c.platform:
		return otherPlatform
	case s.localPort == listen.Callers.Port():
		return otherCaller
	case s.localPort == listen.Admin.Port():
		return otherAdmin
	}
	return otherTarget
}

// sums returns the traffic since the first sample, by process and other end.
func (c *counter) sums() map[int]map[other]traffic {
	sums := map[int]map[other]traffic{}
	for cookie, s := range c.last {
		before := c.first[cookie]
		if sums[s.pid] == nil {
			sums[s.pid] = map[other]traffic{}
		}
		sum := sums[s.pid][s.other]
		sum.add(traffic{payload: s.payload - before.payload, segments: s.segments - before.segments})
		sums[s.pid][s.other] = sum
	}
	return sums
}
