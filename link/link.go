package link

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/burdockward/burdockward/cordon"
	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/owner"
	"github.com/burdockward/burdockward/ownership"
	"github.com/burdockward/burdockward/work"
)

// Order is a job on its way from the VM that took it to an owner.
type Order struct {
	Group string
	// Entry is the life of the VM that took the job.
	Entry string
	// Stamp is the newest of the owner's clock that the entry VM has seen.
	Stamp int64
	Job   work.Job
	Queue work.Queue
	// Age is the time since the caller sent the job, Wait how long the caller
	// waits from then on; 0 means no bound.
	Age, Wait time.Duration
	// Part names the tasks where the job is a part that another owner hands over.
	Part []string
	// Given says that the job was asked for before; zero for a first request.
	Given Given
}

// Given is a job that an owner's process was given over a connection that has broken: its
// answer is due to the next request.
type Given struct {
	Life uint64
	Ago  time.Duration
}

// Tables is what a VM last read from the store.
type Tables struct {
	// Configuration is as it lies in the store; empty before the first.
	Configuration []byte
	Claims        []ownership.Held
	// StoreClock is the store's clock; 0 while the VM doesn't know it.
	StoreClock time.Duration
	Cordons    cordon.View
}

// Handler serves the calls of other VMs.
type Handler interface {
	Run(ctx context.Context, order Order) work.Outcome
	// Release tells a successor what it may take.
	Release(ctx context.Context, group string) owner.Released
	// State and Cancel tell how a kept job stands, which is absent where this VM
	// doesn't run it.
	State(ctx context.Context, id string) work.State
	Cancel(ctx context.Context, id string) work.State
	Tables() Tables
	// Pass takes over a group from its present owner.
	Pass(held ownership.Held)
}

// NewServer serves a Handler over HTTP.
func NewServer(h Handler) http.Handler { return linkpb.NewFleetServer(server{h}) }

type server struct{ handler Handler }

// Run implements linkpb.Fleet.
func (s server) Run(ctx context.Context, r *linkpb.RunRequest) (*linkpb.RunReply, error) {
	return outcomeToWire(s.handler.Run(ctx, Order{
		Group: r.GetGroup(),
		Entry: r.GetEntry(),
		Stamp: r.GetStamp(),
		Job:   jobFromWire(r.GetJob()),
		Queue: queueFromWire(r.GetQueue()),
		Age:   duration(r.GetAgeUs()),
		Wait:  duration(r.GetWaitUs()),
		Part:  r.GetPart(),

		Given: Given{Life: r.GetGivenLife(), Ago: duration(r.GetGivenUs())},
	})), nil
}

// Release implements linkpb.Fleet.
func (s server) Release(ctx context.Context, r *linkpb.ReleaseRequest) (*linkpb.ReleaseReply, error) {
	released := s.handler.Release(ctx, r.GetGroup())
	reply := &linkpb.ReleaseReply{Targets: released.Targets, All: released.All}
	for _, target := range released.Listed {
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
	return &linkpb.StateReply{State: int32(s.handler.Cancel(ctx, r.GetId()))}, nil
}

// Tables implements linkpb.Fleet.
func (s server) Tables(context.Context, *linkpb.TablesRequest) (*linkpb.TablesReply, error) {
	tables := s.handler.Tables()
	reply := &linkpb.TablesReply{Configuration: tables.Configuration, StoreClockUs: micros(tables.StoreClock), Cordons: tables.Cordons.Wire()}
	for _, held := range tables.Claims {
		reply.Owners = append(reply.Owners, held.Wire())
	}
	return reply, nil
}

// Pass implements linkpb.Fleet.
func (s server) Pass(_ context.Context, r *linkpb.PassRequest) (*linkpb.PassReply, error) {
	s.handler.Pass(ownership.FromWire(r.GetOwned()))
	return &linkpb.PassReply{}, nil
}

// Sizes and times of the calls between VMs.
const (
	// dialTimeout is many round trips between failure domains.
	dialTimeout = 300 * time.Millisecond
	// callTimeout bounds calls that don't wait for a job.
	callTimeout = 400 * time.Millisecond
	// cancelTimeout lets a slow store note the end.
	cancelTimeout = 2 * time.Second
	// maxIdle keeps a connection for each job that is usually on its way to one
	// owner.
	maxIdle = 128
	// bufferBytes holds most requests and answers.
	bufferBytes = 2 << 10
)

// Client calls other VMs.
type Client struct{ http *http.Client }

// NewClient makes a client of all VMs.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,
	}}}
}

func (c *Client) fleet(address string) linkpb.Fleet {
	return linkpb.NewFleetProtobufClient("http://"+address, c.http)
}

// run asks another VM to run a job. The end of the context gives it up there.
func (c *Client) run(ctx context.Context, address string, order Order) (*linkpb.RunReply, error) {
	return c.fleet(address).Run(ctx, &linkpb.RunRequest{
		Group:  order.Group,
		Entry:  order.Entry,
		Stamp:  order.Stamp,
		Job:    jobToWire(order.Job),
		Queue:  queueToWire(order.Queue),
		AgeUs:  micros(order.Age),
		WaitUs: micros(order.Wait),
		Part:   order.Part,

		GivenLife: order.Given.Life,
		GivenUs:   micros(order.Given.Ago),
	})
}

// maxRejoins is how often in a row a job is asked for again whose connection breaks.
const maxRejoins = 3

// RunUntil runs a job at another VM while that VM is alive. Where the connection breaks
// the job goes on there, and its answer is fetched over another one: of the jobs in hand
// when a third of the VMs have half of their connections reset, most are answered in time
// that would have been given up.
func (c *Client) RunUntil(ctx, alive context.Context, to heartbeat.Owner, order Order) work.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(alive, cancel)()
	began := time.Now()
	reply, err := c.run(ctx, to.Control, order)
	if err == nil {
		return outcomeFromWire(reply)
	}
	if dial, ok := errors.AsType[*net.OpError](err); ok && dial.Op == "dial" {
		return work.Outcome{Result: work.Moved, Reason: "no connection to the owner"}
	}
	age := order.Age
	for try := 0; try < maxRejoins && ctx.Err() == nil && !order.Job.Kept; try++ {
		ago := time.Since(began)
		order.Age, order.Given = age+ago, Given{Life: to.Life, Ago: ago}
		if reply, err = c.run(ctx, to.Control, order); err == nil {
			return outcomeFromWire(reply)
		}
	}
	return work.Outcome{Result: work.Unknown, Reason: "the owner was lost: " + err.Error()}
}

// Release asks a former owner which targets it uses no more.
func (c *Client) Release(ctx context.Context, address, group string, token int64) (owner.Released, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.fleet(address).Release(ctx, &linkpb.ReleaseRequest{Group: group, Token: token})
	if err != nil {
		return owner.Released{}, err
	}
	released := owner.Released{Targets: reply.GetTargets(), All: reply.GetAll()}
	for _, target := range reply.GetListed() {
		released.Listed = append(released.Listed, targetFromWire(target))
	}
	return released, nil
}

// State asks an owner how a kept job stands.
func (c *Client) State(ctx context.Context, address, id string) (work.State, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.fleet(address).State(ctx, &linkpb.JobRequest{Id: id})
	return work.State(reply.GetState()), err
}

// Cancel has an owner cancel a kept job.
func (c *Client) Cancel(ctx context.Context, address, id string) (work.State, error) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	reply, err := c.fleet(address).Cancel(ctx, &linkpb.JobRequest{Id: id})
	return work.State(reply.GetState()), err
}

// Tables asks another VM what it last read from the store.
func (c *Client) Tables(ctx context.Context, address string) (Tables, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.fleet(address).Tables(ctx, &linkpb.TablesRequest{})
	if err != nil {
		return Tables{}, err
	}
	tables := Tables{Configuration: reply.GetConfiguration(), StoreClock: duration(reply.GetStoreClockUs()), Cordons: cordon.FromWire(reply.GetCordons())}
	for _, owned := range reply.GetOwners() {
		tables.Claims = append(tables.Claims, ownership.FromWire(owned))
	}
	return tables, nil
}

// Refuses reports whether nothing listens at an address though its machine answers:
// the process there has ended.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Pass makes another VM the owner of a group that this VM owns.
func (c *Client) Pass(ctx context.Context, address string, held ownership.Held) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.fleet(address).Pass(ctx, &linkpb.PassRequest{Owned: held.Wire()})
	return err
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
