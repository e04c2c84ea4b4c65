package daemon

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/burdockward/burdockward/intake"
)

// Limits of the ports of callers, peers and operators.
const (
	// guaranteedBytes is what each connection may hold beside limits.request_bytes: a header, and the body of a small
	// submission.
	guaranteedBytes = 16 << 10
	// maxPeerConnections and maxAdminConnections bound the connections of peers and operators.
	maxPeerConnections, maxAdminConnections = 1000, 64
	// The ports share the open files that the process may have. The rest is for connections to targets, peers and the
	// platform.
	callerFileDivisor, peerFileDivisor, adminFileDivisor = 3, 5, 16
	// unlimitedFiles is taken where the limit of open files is not known.
	unlimitedFiles = 1 << 20
	// writeTimeout bounds each write to a peer or operator.
	writeTimeout = 30 * time.Second
	// maxCallBytes bounds a call of a peer, which is a batch of messages or one submission.
	maxCallBytes = 4 << 20
)

// openFiles returns how many files the process may have open.
var openFiles = sync.OnceValue(func() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > unlimitedFiles {
		return unlimitedFiles
	}
	return int(limit.Cur)
})

// port is a port with its limits.
type port struct {
	name     string
	listener net.Listener
	handler  http.Handler
	places   int
	// requestBytes is what all requests may hold together beside guaranteedBytes for each.
	requestBytes int64
	// writeTimeout bounds each write; 0 where the handler bounds the writing.
	writeTimeout time.Duration
}

// limit returns the listener of a port within its limits.
func (d *Daemon) limit(p port) *intake.Listener {
	counters := d.telemetry.Counters("requests")
	return intake.Limit(p.listener, intake.Options{
		Name: p.name, Places: p.places, Budget: intake.NewBudget(guaranteedBytes, p.requestBytes), WriteTimeout: p.writeTimeout, Log: d.log,
		Count: func(what, label string) { counters.Add(what, label, 1) },
	})
}

// ports returns the ports of callers, peers and operators with their limits.
func (d *Daemon) ports(l listeners) (callers, peers, admin port) {
	limits := d.settings.Limits
	callers = port{
		name: "callers", listener: l.callers, handler: d.frontend.Handler(),
		places: min(limits.Connections, openFiles()/callerFileDivisor), requestBytes: limits.RequestBytes,
	}
	calls := intake.LimitCalls(d.traced(d.peers.Handler()), intake.CallLimits{MaxBytes: maxCallBytes, ReadTimeout: limits.ReadTimeout, DecodingBytes: decodingBytes})
	peers = port{
		name: "peers", listener: l.peers, handler: calls,
		places: min(maxPeerConnections, openFiles()/peerFileDivisor), requestBytes: limits.RequestBytes, writeTimeout: writeTimeout,
	}
	admin = port{
		name: "admin", listener: l.admin, handler: d.adminHandler(),
		places: min(maxAdminConnections, openFiles()/adminFileDivisor), requestBytes: guaranteedBytes, writeTimeout: writeTimeout,
	}
	return callers, peers, admin
}

// decodingBytes returns a bound on the memory that decoding a call of a peer takes.
func decodingBytes(call []byte) int64 {
	return 2*int64(len(call)) + intake.FieldBytes*int64(intake.CountFields(call, 0))
}
