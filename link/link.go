// Package link implements the calls between entry VMs over HTTP: to run a job at an owner, to ask
// for the state of a durable job or cancel it, to hand a group over to a successor, and to fetch
// what another VM last read from the store. Client makes them, NewServer serves them.
//
// The client decides what an error of a call means for a job. If no connection was opened, the job
// was not started and may go to another owner (Moved). If a connection broke later, the client asks
// the same owner again for the job's outcome; without an answer the outcome is Unknown.
package link

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/burdockward/burdockward/cordon"
	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/owner"
	"github.com/burdockward/burdockward/ownership"
	"github.com/burdockward/burdockward/work"
)

// Order asks an owner to run a job.
type Order struct {
	Group string
	// Entry is the heartbeat.EntryID of the VM that received the job.
	Entry string
	// Timestamp is the newest reading of the owner's clock that the entry VM has received.
	Timestamp int64
	Job       work.Job
	Queue     work.Queue
	// Age is the time since the caller sent the job, Wait how long the caller
	// waits from then on; 0 means no bound.
	Age, Wait time.Duration
	// Part names the tasks if the order is a part of a job that another owner delegates.
	Part []string
	// Origin is the heartbeat.EntryID of the VM that received the job of a part; empty if that is
	// Entry.
	Origin string
	// Handed says that the part runs already: a leaving owner hands it over.
	Handed bool
	// Previous is the earlier request for the same job; zero in a first request.
	Previous PreviousRequest
	// Request is the number of a request and of those that replace it. RunWhileAlive gives it one if it
	// is 0.
	Request uint64
}

// PreviousRequest is a request for a job whose connection broke. The job's outcome goes to the
// request that follows it.
type PreviousRequest struct {
	// Incarnation is the owner's process that received the earlier request.
	Incarnation uint64
	// Ago is the time since the earlier request.
	Ago time.Duration
}

// Tables is what a VM last read from the store.
type Tables struct {
	// Configuration is encoded as in the store; empty before the first.
	Configuration []byte
	// Profiles are the operator's profiles, encoded as in the store; empty before the first.
	Profiles []byte
	Claims   []ownership.GroupClaim
	// StoreClock is the VM's estimate of the store's clock; 0 while it has none.
	StoreClock time.Duration
	Cordons    cordon.View
}

// Handler serves the calls of other VMs. Its methods correspond to those of linkpb.Fleet.
type Handler interface {
	Run(ctx context.Context, order Order) work.Outcome
	// Release returns the targets that the owner with the given claim may use, which succeeds one of
	// this VM. VMs of an older build send the claim's version only. The claim names an incarnation only
	// if its owner takes running jobs.
	Release(ctx context.Context, successor ownership.GroupClaim) owner.Released
	// State returns the state of a durable job, Cancel cancels it and returns its state; absent
	// if no owner in this VM knows the job.
	State(ctx context.Context, id string) work.JobState
	Cancel(ctx context.Context, id string, withdraw bool) work.JobState
	Tables() Tables
	// HandOverClaim makes this VM the owner of a group, by a claim that the present owner hands over.
	HandOverClaim(held ownership.GroupClaim)
}

// NewServer returns the HTTP handler that serves calls from a Handler.
func NewServer(h Handler) http.Handler { return withLimits(linkpb.NewFleetServer(server{h})) }

// server converts between messages and the types of Handler.
type server struct{ handler Handler }

// Run implements linkpb.Fleet.
func (s server) Run(ctx context.Context, r *linkpb.RunRequest) (*linkpb.RunReply, error) {
	return outcomeToWire(s.handler.Run(ctx, Order{
		Group:     r.GetGroup(),
		Entry:     r.GetEntry(),
		Timestamp: r.GetStamp(),
		Job:       jobFromWire(r.GetJob()),
		Queue:     queueFromWire(r.GetQueue()),
		Age:       duration(r.GetAgeUs()),
		Wait:      duration(r.GetWaitUs()),
		Part:      r.GetPart(),
		Origin:    r.GetOrigin(),
		Handed:    r.GetHanded(),

		Previous: PreviousRequest{Incarnation: r.GetGivenLife(), Ago: duration(r.GetGivenUs())},
		Request:  r.GetRequest(),
	})), nil
}

// Release implements linkpb.Fleet.
func (s server) Release(ctx context.Context, r *linkpb.ReleaseRequest) (*linkpb.ReleaseReply, error) {
	successor := ownership.GroupClaim{Group: r.GetGroup(), Version: r.GetToken()}
	if r.GetCountsPassed() {
		successor.Claim = &linkpb.Claim{Passed: r.GetPassed(), Life: r.GetTakesJobs()}
	}
	released := s.handler.Release(ctx, successor)
	reply := &linkpb.ReleaseReply{Targets: released.Targets, All: released.All, Handover: handoverToWire(released.Handover)}
	for _, target := range released.Registry {
		reply.Listed = append(reply.Listed, targetToWire(target))
	}
	return reply, nil
}

// State implements linkpb.Fleet.
func (s server) State(ctx context.Context, r *linkpb.JobRequest) (*linkpb.StateReply, error) {
	return &linkpb.StateReply{State: int32(s.handler.State(ctx, r.GetId()))}, nil
}

// Cancel implements linkpb.Fleet.
func (s server) Cancel(ctx context.Context, r *linkpb.JobRequest) (*linkpb.StateReply, error) {
	return &linkpb.StateReply{State: int32(s.handler.Cancel(ctx, r.GetId(), r.GetWithdraw()))}, nil
}

// Tables implements linkpb.Fleet.
func (s server) Tables(context.Context, *linkpb.TablesRequest) (*linkpb.TablesReply, error) {
	tables := s.handler.Tables()
	reply := &linkpb.TablesReply{Configuration: tables.Configuration, Profiles: tables.Profiles, StoreClockUs: micros(tables.StoreClock), Cordons: tables.Cordons.ToWire()}
	for _, held := range tables.Claims {
		reply.Owners = append(reply.Owners, held.ToWire())
	}
	return reply, nil
}

// Pass implements linkpb.Fleet.
func (s server) Pass(_ context.Context, r *linkpb.PassRequest) (*linkpb.PassReply, error) {
	s.handler.HandOverClaim(ownership.FromWire(r.GetOwned()))
	return &linkpb.PassReply{}, nil
}

// Sizes and times of the calls between VMs.
const (
	// dialTimeout is many round trips between failure domains.
	dialTimeout = 300 * time.Millisecond
	// callTimeout bounds calls that don't wait for a job.
	callTimeout = 400 * time.Millisecond
	// cancelTimeout leaves time for a slow store to record the cancellation.
	cancelTimeout = 2 * time.Second
	// maxIdleConnections is the usual number of simultaneous jobs from one VM at one owner; each
	// of them has a connection of its own.
	maxIdleConnections = 128
	// bufferBytes is the size of most requests and answers.
	bufferBytes = 2 << 10
)

// Client calls other VMs.
type Client struct {
	http *http.Client
	// fresh opens a connection for each call.
	fresh *http.Client
	// lastRequest is the number of the newest request to run a job.
	lastRequest atomic.Uint64
	// Log gets a line for each job that is asked for again; with nil there are none.
	Log *slog.Logger
}

// NewClient creates a client for calls to any VM.
func NewClient() *Client {
	pooled := newTransport()
	pooled.MaxIdleConnsPerHost, pooled.IdleConnTimeout = maxIdleConnections, time.Minute
	fresh := newTransport()
	fresh.DisableKeepAlives = true
	return &Client{http: &http.Client{Transport: pooled}, fresh: &http.Client{Transport: fresh}}
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression: true,
		ReadBufferSize:     bufferBytes,
		WriteBufferSize:    bufferBytes,
	}
}

// fleet returns a client for the VM at an address.
func (c *Client) fleet(address string) linkpb.Fleet {
	return linkpb.NewFleetProtobufClient("http://"+address, c.http)
}

// run asks another VM to run a job. When the context ends, the other VM gives the job up unless
// it is asked for again soon.
func (c *Client) run(ctx context.Context, address string, order Order) (*linkpb.RunReply, error) {
	return c.fleet(address).Run(ctx, &linkpb.RunRequest{
		Group:  order.Group,
		Entry:  order.Entry,
		Stamp:  order.Timestamp,
		Job:    jobToWire(order.Job),
		Queue:  queueToWire(order.Queue),
		AgeUs:  micros(order.Age),
		WaitUs: micros(order.Wait),
		Part:   order.Part,
		Origin: order.Origin,
		Handed: order.Handed,

		GivenLife: order.Previous.Incarnation,
		GivenUs:   micros(order.Previous.Ago),
		Request:   order.Request,
	})
}

// maxRejoins bounds how often the outcome of a job is asked for again after its connection broke.
const maxRejoins = 3

// NextRequest returns a number that no other request of this process has.
func (c *Client) NextRequest() uint64 { return c.lastRequest.Add(1) }

// RunWhileAlive runs a job at another VM until the job ends, the caller leaves (ctx) or the VM is
// considered lost (alive). If the connection breaks, the job continues there and its outcome is
// fetched over another connection. When a third of the VMs have half of their connections reset,
// most of the jobs in progress are still answered in time instead of being given up. Durable jobs
// are not asked for again.
func (c *Client) RunWhileAlive(ctx, alive context.Context, to heartbeat.Owner, order Order) work.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(alive, cancel)()
	if order.Request == 0 {
		order.Request = c.NextRequest()
	}
	began := time.Now()
	reply, err := c.run(ctx, to.ControlAddress, order)
	if err == nil {
		return outcomeFromWire(reply)
	}
	if dial, ok := errors.AsType[*net.OpError](err); ok && dial.Op == "dial" {
		return work.Outcome{Result: work.Moved, Reason: "no connection to the owner"}
	}
	if isFull(err) {
		return fullOutcome
	}
	age := order.Age
	for try := 0; try < maxRejoins && ctx.Err() == nil && !order.Job.Durable; try++ {
		ago := time.Since(began)
		order.Age, order.Previous = age+ago, PreviousRequest{Incarnation: to.Incarnation, Ago: ago}
		c.noteRejoin(to, order, err)
		if reply, err = c.run(ctx, to.ControlAddress, order); err == nil {
			return outcomeFromWire(reply)
		}
	}
	return work.Outcome{Result: work.Unknown, Reason: "the owner was lost: " + err.Error()}
}

// noteRejoin logs that a job, or a part of one, is asked for again at its owner.
func (c *Client) noteRejoin(to heartbeat.Owner, order Order, err error) {
	if c.Log != nil {
		c.Log.Info("asking for a job again", "job", order.Job.ID, "part", order.Part, "group", order.Group, "address", to.ControlAddress,
			"incarnation", strconv.FormatUint(to.Incarnation, 16), "age", order.Previous.Ago, "error", err)
	}
}

// Release asks the previous owner which targets it does not use any more. The claim is that of its
// successor, which takes the running jobs as well if takesJobs is set.
func (c *Client) Release(ctx context.Context, address string, successor ownership.GroupClaim, takesJobs bool) (owner.Released, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &linkpb.ReleaseRequest{
		Group: successor.Group, Token: successor.Version, Passed: successor.Claim.GetPassed(), CountsPassed: true,
	}
	if takesJobs {
		request.TakesJobs = successor.Claim.GetLife()
	}
	reply, err := c.fleet(address).Release(ctx, request)
	if err != nil {
		return owner.Released{}, err
	}
	released := owner.Released{Targets: reply.GetTargets(), All: reply.GetAll(), Handover: handoverFromWire(reply.GetHandover())}
	for _, target := range reply.GetListed() {
		released.Registry = append(released.Registry, targetFromWire(target))
	}
	return released, nil
}

// State asks an owner for the state of a durable job.
func (c *Client) State(ctx context.Context, address, id string) (work.JobState, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.fleet(address).State(ctx, &linkpb.JobRequest{Id: id})
	return work.JobState(reply.GetState()), err
}

// Cancel has an owner cancel a job, or with withdraw keep one that it doesn't know from being stored, and
// returns the job's state.
func (c *Client) Cancel(ctx context.Context, address, id string, withdraw bool) (work.JobState, error) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	reply, err := c.fleet(address).Cancel(ctx, &linkpb.JobRequest{Id: id, Withdraw: withdraw})
	return work.JobState(reply.GetState()), err
}

// Tables fetches what another VM last read from the store, over a connection of its own: after all
// connections between two VMs fall silent, each idle one would cost an attempt.
func (c *Client) Tables(ctx context.Context, address string) (Tables, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := linkpb.NewFleetProtobufClient("http://"+address, c.fresh).Tables(ctx, &linkpb.TablesRequest{})
	if err != nil {
		return Tables{}, err
	}
	tables := Tables{Configuration: reply.GetConfiguration(), Profiles: reply.GetProfiles(), StoreClock: duration(reply.GetStoreClockUs()), Cordons: cordon.FromWire(reply.GetCordons())}
	for _, owned := range reply.GetOwners() {
		tables.Claims = append(tables.Claims, ownership.FromWire(owned))
	}
	return tables, nil
}

// RefusesConnection reports whether the machine at an address answers but refuses the connection:
// the process there has ended.
func (c *Client) RefusesConnection(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// HandOverClaim hands a claim over to another VM, which becomes the owner of a group that this VM owns.
func (c *Client) HandOverClaim(ctx context.Context, address string, held ownership.GroupClaim) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.fleet(address).Pass(ctx, &linkpb.PassRequest{Owned: held.ToWire()})
	return err
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
