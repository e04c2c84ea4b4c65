// Package peer transports messages between the entry VMs of a failure domain, and
// requests between entry VMs of different ones.
//
// Duties queue messages with Send. A link per VM sends all waiting messages as one batch,
// so that there are few requests under load and no delay without load. The response to a
// batch contains the immediate replies of the receiving duties. Messages may be lost:
// queues are bounded and failed exchanges are not repeated. The package does not read the
// messages' content.
package peer

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/burdockward/burdockward/peer/peerpb"
	"github.com/twitchtv/twirp"
	"github.com/uber-go/tally/v4"
)

// Sender identifies the process that sent a message.
type Sender struct {
	// ID is the VM's id from its settings.
	ID string
	// Incarnation distinguishes a restarted process from its predecessor.
	Incarnation uint64
}

// Handler handles the messages of one duty and returns its immediate replies.
type Handler interface {
	HandlePeer(ctx context.Context, from Sender, bodies [][]byte) [][]byte
}

// Waiter answers requests for the answer of a submission that this VM runs.
type Waiter interface {
	ServeWait(ctx context.Context, request *peerpb.WaitRequest) *peerpb.WaitResponse
}

// Burner refuses keys of this failure domain that were submitted in another one.
type Burner interface {
	ServeBurn(ctx context.Context, request *peerpb.BurnRequest) *peerpb.BurnResponse
}

// Options are the settings of a Transport.
type Options struct {
	// Self identifies this process.
	Self Sender
	// Timeout bounds one exchange of messages.
	Timeout time.Duration
	// RingSize is the largest number of messages that wait for one VM; more are dropped.
	RingSize int
	// Parallel is the largest number of concurrent exchanges with one VM.
	Parallel int
	// IdleLink is the time after which an unused link is closed.
	IdleLink time.Duration
	// Header adds header fields to a request, such as those of a trace; may be nil.
	Header func(ctx context.Context, header http.Header)
	// Scope counts messages.
	Scope tally.Scope
}

// Defaults of Options.
const (
	DefaultTimeout  = 2 * time.Second
	DefaultRingSize = 4096
	DefaultParallel = 4
	DefaultIdleLink = time.Minute
	// flushPoll is the time between two checks of Flush.
	flushPoll = 5 * time.Millisecond
	// maxBatch is the largest number of messages that are collected at once.
	maxBatch = 512
	// maxBatchBytes is the number of bytes from which on no further message is collected.
	maxBatchBytes = 1 << 20
)

// Transport sends and receives messages. Register all handlers before the first
// message.
type Transport struct {
	options  Options
	client   *http.Client
	handlers map[peerpb.Duty]Handler
	waiter   Waiter
	burner   Burner

	mu     sync.Mutex
	links  map[string]*link
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// waiting counts messages that were accepted and not yet exchanged.
	waiting atomic.Int64

	sent, received, dropped, failed tally.Counter
	// envelopes counts sent messages by duty; an exchange may carry several.
	envelopes map[peerpb.Duty]tally.Counter
}

// New returns a transport. Close ends it.
func New(options Options) *Transport {
	options = withDefaults(options)
	ctx, cancel := context.WithCancel(context.Background())
	messages := options.Scope.Tagged(map[string]string{"kind": "peer"})
	return &Transport{
		options:  options,
		client:   newHTTPClient(options),
		handlers: map[peerpb.Duty]Handler{},
		links:    map[string]*link{},
		ctx:      ctx,
		cancel:   cancel,
		sent:     messages.Counter("messages_sent"),
		received: messages.Counter("messages_received"),
		dropped:  messages.Counter("messages_dropped"),
		failed:   messages.Counter("exchanges_failed"),

		envelopes: envelopeCounters(options.Scope),
	}
}

// envelopeCounters returns a counter of sent messages for each duty.
func envelopeCounters(scope tally.Scope) map[peerpb.Duty]tally.Counter {
	counters := map[peerpb.Duty]tally.Counter{}
	for number, name := range peerpb.Duty_name {
		tags := map[string]string{"duty": strings.ToLower(strings.TrimPrefix(name, "DUTY_"))}
		counters[peerpb.Duty(number)] = scope.Tagged(tags).Counter("envelopes_sent")
	}
	return counters
}

func (t *Transport) countEnvelopes(envelopes []*peerpb.Envelope) {
	for _, e := range envelopes {
		if c := t.envelopes[e.GetDuty()]; c != nil {
			c.Inc(1)
		}
	}
}

func withDefaults(o Options) Options {
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.RingSize == 0 {
		o.RingSize = DefaultRingSize
	}
	if o.Parallel == 0 {
		o.Parallel = DefaultParallel
	}
	if o.IdleLink == 0 {
		o.IdleLink = DefaultIdleLink
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}

// Register sets the handler of a duty.
func (t *Transport) Register(duty peerpb.Duty, h Handler) { t.handlers[duty] = h }

// RegisterWaiter sets the server of Wait requests.
func (t *Transport) RegisterWaiter(w Waiter) { t.waiter = w }

// RegisterBurner sets the server of Burn requests.
func (t *Transport) RegisterBurner(b Burner) { t.burner = b }

// Close ends all links. Waiting messages are dropped.
func (t *Transport) Close() {
	t.cancel()
	t.wg.Wait()
	t.client.CloseIdleConnections()
}

// Send queues a message for the VM at address and reports whether it was accepted. An
// incarnation of 0 addresses any process there.
func (t *Transport) Send(address string, incarnation uint64, duty peerpb.Duty, body []byte) bool {
	m := message{incarnation: incarnation, envelope: &peerpb.Envelope{Duty: duty, Body: body}}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return false
	}
	l := t.links[address]
	if l == nil {
		l = t.startLink(address)
	}
	t.waiting.Add(1)
	if !l.ring.Offer(m) {
		t.waiting.Add(-1)
		t.dropped.Inc(1)
		return false
	}
	return true
}

// Flush waits until every accepted message has been exchanged, or ctx ends.
func (t *Transport) Flush(ctx context.Context) {
	ticker := time.NewTicker(flushPoll)
	defer ticker.Stop()
	for t.waiting.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Wait asks the runner at address for the answer of a submission. The context
// bounds the call.
func (t *Transport) Wait(ctx context.Context, address string, request *peerpb.WaitRequest) (*peerpb.WaitResponse, error) {
	t.sent.Inc(1)
	return peerpb.NewPeerProtobufClient("http://"+address, t.client).Wait(ctx, request)
}

// Burn asks a VM of another failure domain to refuse a key of that domain permanently.
// The context bounds the call.
func (t *Transport) Burn(ctx context.Context, address string, request *peerpb.BurnRequest) (*peerpb.BurnResponse, error) {
	t.sent.Inc(1)
	return peerpb.NewPeerProtobufClient("http://"+address, t.client).Burn(ctx, request)
}

// handle passes the messages of one batch to their duties and returns the replies.
func (t *Transport) handle(ctx context.Context, from Sender, envelopes []*peerpb.Envelope) []*peerpb.Envelope {
	t.received.Inc(int64(len(envelopes)))
	var replies []*peerpb.Envelope
	for start := 0; start < len(envelopes); {
		duty := envelopes[start].GetDuty()
		var bodies [][]byte
		for start < len(envelopes) && envelopes[start].GetDuty() == duty {
			bodies = append(bodies, envelopes[start].GetBody())
			start++
		}
		h := t.handlers[duty]
		if h == nil {
			continue
		}
		for _, body := range h.HandlePeer(ctx, from, bodies) {
			replies = append(replies, &peerpb.Envelope{Duty: duty, Body: body})
		}
	}
	return replies
}

// server is the twirp service.
type server struct{ t *Transport }

// Deliver implements peerpb.Peer.
func (s *server) Deliver(ctx context.Context, batch *peerpb.Batch) (*peerpb.Batch, error) {
	self := s.t.options.Self
	if want := batch.GetReceiverIncarnation(); want != 0 && want != self.Incarnation {
		return nil, twirp.NewError(twirp.FailedPrecondition, "the addressed process has been replaced: learn the new one from the membership")
	}
	from := Sender{ID: batch.GetSender(), Incarnation: batch.GetSenderIncarnation()}
	replies := s.t.handle(ctx, from, batch.GetEnvelopes())
	s.t.sent.Inc(1)
	s.t.countEnvelopes(replies)
	return &peerpb.Batch{
		Sender:              self.ID,
		SenderIncarnation:   self.Incarnation,
		ReceiverIncarnation: from.Incarnation,
		Envelopes:           replies,
	}, nil
}

// Wait implements peerpb.Peer.
func (s *server) Wait(ctx context.Context, request *peerpb.WaitRequest) (*peerpb.WaitResponse, error) {
	if want := request.GetReceiverIncarnation(); want != 0 && want != s.t.options.Self.Incarnation {
		return nil, twirp.NewError(twirp.FailedPrecondition, "the process that ran the submission has been replaced: its outcome is unknown")
	}
	if s.t.waiter == nil {
		return nil, twirp.NewError(twirp.Unavailable, "this VM is starting: ask again")
	}
	s.t.sent.Inc(1)
	return s.t.waiter.ServeWait(ctx, request), nil
}

// Burn implements peerpb.Peer.
func (s *server) Burn(ctx context.Context, request *peerpb.BurnRequest) (*peerpb.BurnResponse, error) {
	if s.t.burner == nil {
		return nil, twirp.NewError(twirp.Unavailable, "this VM is starting: ask again")
	}
	s.t.sent.Inc(1)
	return s.t.burner.ServeBurn(ctx, request), nil
}
