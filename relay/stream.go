package relay

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/work"
)

// Sizes and times of streams.
const (
	// dialTimeout is many round trips within a failure domain.
	dialTimeout = 200 * time.Millisecond
	// orderQueueSize is the number of orders that may wait to be written together.
	orderQueueSize = 512
	// silenceTimeout is how long a relay may answer nothing while prompt calls wait; after that
	// the owner sends its orders itself. It is longer than the pause of a process that has used up
	// its processor quota.
	silenceTimeout = 120 * time.Millisecond
	// reconnectDelay is how long a relay is not used after its connection broke.
	reconnectDelay = 3 * time.Second
)

// stream is an owner's connection to one relay.
type stream struct {
	vm  VM
	log *slog.Logger
	// dialed is closed once the connection is open or could not be opened.
	dialed chan struct{}
	orders chan proto.Message
	cancel context.CancelFunc

	mu   sync.Mutex
	open bool
	// brokenAt is when the connection broke; 0 before that.
	brokenAt time.Duration
	// lastSequence is the sequence number of the newest call, pending holds the calls that wait
	// for an answer by theirs.
	lastSequence uint64
	pending      map[uint64]*call
	// lastAnswer is when the relay last answered any call, promptSince since when prompt calls
	// have been pending, promptCalls how many are.
	lastAnswer, promptSince time.Duration
	promptCalls             int
	// relayStoreAge is how long ago the store last answered the relay, by its last answer; relayClock
	// is the relay's clock in that answer, 0 if there was none.
	relayStoreAge, relayClock time.Duration
}

// call is an order or a poll that waits for its answer.
type call struct {
	answer chan *linkpb.Carried
	// prompt says that a healthy target answers at once.
	prompt bool
}

// openStream starts to connect to a relay and returns at once.
func openStream(ctx context.Context, vm VM, log *slog.Logger) *stream {
	ctx, cancel := context.WithCancel(ctx)
	s := &stream{
		vm: vm, log: log, dialed: make(chan struct{}), orders: make(chan proto.Message, orderQueueSize), cancel: cancel, pending: map[uint64]*call{},
	}
	go s.run(ctx)
	return s
}

func (s *stream) close() { s.cancel() }

// run connects to the relay, and reads answers until the connection breaks.
func (s *stream) run(ctx context.Context) {
	defer s.cancel()
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", s.vm.Address)
	if err == nil {
		s.setOpen()
	}
	close(s.dialed)
	if err == nil {
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		defer stop()
		go func() {
			defer s.cancel()
			writeMessages(ctx, conn, s.orders)
		}()
		err = s.readAnswers(conn)
		_ = conn.Close()
	}
	if ctx.Err() == nil {
		s.log.Warn("relay lost", "vm", s.vm.Name, "error", err)
	}
	s.failPending()
}

func (s *stream) setOpen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open, s.lastAnswer = true, bootclock.Now()
}

// readAnswers delivers answers until the connection breaks.
func (s *stream) readAnswers(conn net.Conn) error {
	reader := bufio.NewReaderSize(conn, bufferBytes)
	for {
		answer := &linkpb.Carried{}
		if err := (protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}).UnmarshalFrom(reader, answer); err != nil {
			return err
		}
		s.deliver(answer)
	}
}

// deliver passes an answer to the call that waits for it, if it still does.
func (s *stream) deliver(answer *linkpb.Carried) {
	s.mu.Lock()
	c := s.pending[answer.GetSequence()]
	s.removeCall(answer.GetSequence())
	s.lastAnswer = bootclock.Now()
	s.relayStoreAge = time.Duration(answer.GetStoreAgeUs()) * time.Microsecond
	s.relayClock = time.Duration(answer.GetClockUs()) * time.Microsecond
	s.mu.Unlock()
	if c != nil {
		c.answer <- answer
	}
}

// removeCall removes a call from the pending ones. The caller holds the lock.
func (s *stream) removeCall(sequence uint64) {
	if c := s.pending[sequence]; c != nil {
		delete(s.pending, sequence)
		if c.prompt {
			s.promptCalls--
		}
	}
}

// failPending marks the connection as broken and answers all pending calls with
// VerdictConnectionLost.
func (s *stream) failPending() {
	s.mu.Lock()
	pending := s.pending
	s.pending, s.open, s.promptCalls = map[uint64]*call{}, false, 0
	s.brokenAt = bootclock.Now()
	s.mu.Unlock()
	for _, c := range pending {
		c.answer <- &linkpb.Carried{Verdict: int32(work.VerdictConnectionLost)}
	}
}

// call has the relay send an order or a poll and waits for the answer. The verdict is
// VerdictUnsent if the call was not written, VerdictConnectionLost if the connection breaks
// before the answer, and VerdictUnknown if there is no answer in time.
func (s *stream) call(ctx context.Context, to work.TargetAddress, carry *linkpb.Carry, timeout time.Duration, prompt bool) *linkpb.Carried {
	c := &call{answer: make(chan *linkpb.Carried, 1), prompt: prompt}
	s.mu.Lock()
	if !s.open {
		s.mu.Unlock()
		return &linkpb.Carried{Verdict: int32(work.VerdictUnsent)}
	}
	s.lastSequence++
	carry.Sequence, carry.Id, carry.Address = s.lastSequence, to.ID, to.Address
	s.pending[s.lastSequence] = c
	if prompt {
		if s.promptCalls == 0 {
			s.promptSince = bootclock.Now()
		}
		s.promptCalls++
	}
	s.mu.Unlock()
	defer s.cancelCall(carry.GetSequence())
	select {
	case s.orders <- carry:
	default:
		return &linkpb.Carried{Verdict: int32(work.VerdictUnsent)}
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case answer := <-c.answer:
		return answer
	case <-timer.C:
	case <-ctx.Done():
	}
	return &linkpb.Carried{Verdict: int32(work.VerdictUnknown)}
}

// cancelCall removes a call that is not waited for any more.
func (s *stream) cancelCall(sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeCall(sequence)
}

// isLost reports whether the connection broke or could not be opened.
func (s *stream) isLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.brokenAt > 0
}

// isUsable reports whether the relay is connected and answers prompt calls.
func (s *stream) isUsable(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open && (s.promptCalls == 0 || now-max(s.lastAnswer, s.promptSince) <= silenceTimeout)
}

// canClose reports whether the stream can be removed: no call is pending, and if the connection
// broke, reconnectDelay has passed.
func (s *stream) canClose(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending) == 0 && (s.brokenAt == 0 || now-s.brokenAt > reconnectDelay)
}

// storeAge returns how long ago the store had answered the relay when the relay last answered.
func (s *stream) storeAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relayStoreAge
}

// minClockRate and maxClockRate bound how fast the relay's clock runs by this VM's.
const (
	minClockRate = 0.96
	maxClockRate = 1.04
)

// relayTime returns what the relay's clock shows at a coming time or earlier, however long its last
// answer was on its way. It reports false if the relay's clock isn't known, or may be past that already.
func (s *stream) relayTime(now, at time.Duration) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.relayClock == 0 {
		return 0, false
	}
	earliest := s.relayClock + time.Duration(minClockRate*float64(at-s.lastAnswer))
	latestNow := s.relayClock + time.Duration(maxClockRate*float64(now-s.lastAnswer))
	return earliest, earliest > latestNow
}

// awaitConnection waits up to connectTimeout for a connection that is being opened.
func (s *stream) awaitConnection(ctx context.Context) {
	select {
	case <-s.dialed:
		return
	default:
	}
	timer := time.NewTimer(connectTimeout)
	defer timer.Stop()
	select {
	case <-s.dialed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
