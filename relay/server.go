package relay

import (
	"bufio"
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/intake"
	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/work"
)

// Sizes and times of a relay.
const (
	// maxForwarded bounds the orders and polls of one owner in progress: a poll and a few orders
	// for each of several hundred targets.
	maxForwarded = 2048
	// answerQueueSize is the number of answers that may wait to be written together.
	answerQueueSize = 256
	// staleOrderAge is how long a start may wait in this process to be sent: the state on which it
	// was decided may have changed since.
	staleOrderAge = 100 * time.Millisecond
	// acceptRetryPause is the pause after a connection that could not be accepted.
	acceptRetryPause = 50 * time.Millisecond
	// maxOrderBytes bounds an order: the largest payload and the largest saved state of a task, which fits a row
	// of the store.
	maxOrderBytes = 128 << 10
	// orderReadTimeout bounds the reading of an order that has begun to arrive.
	orderReadTimeout = 3 * time.Second
	// bufferBytes is enough to write messages that arrive together at once.
	bufferBytes = 16 << 10
)

// Server forwards the orders of owners to their targets.
type Server struct {
	Targets Targets
	Log     *slog.Logger
	// StoreAge returns how long ago the store last answered this VM.
	StoreAge func() time.Duration
	// Count counts the forwarded orders and polls; it must not block.
	Count func(what, label string)
}

// Serve accepts connections of owners until the context ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var open sync.WaitGroup
	defer open.Wait()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			// The process has no free descriptors; owners send their orders themselves meanwhile.
			s.Log.Warn("connection of an owner not taken", "error", err)
			sleep(ctx, acceptRetryPause)
			continue
		}
		open.Go(func() { s.serveOwner(ctx, conn) })
	}
}

// sleep waits for a pause or the end of the context.
func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// serveOwner serves the connection of one owner until it breaks or the context ends.
func (s *Server) serveOwner(ctx context.Context, conn net.Conn) {
	owner := conn.RemoteAddr().String()
	if limited, ok := conn.(*intake.Conn); ok {
		limited.EndHeader()
	}
	s.Log.Info("carrying orders", "owner", owner)
	ctx, cancel := context.WithCancel(ctx)
	answers := make(chan proto.Message, answerQueueSize)
	var writing sync.WaitGroup
	writing.Go(func() {
		defer cancel()
		writeMessages(ctx, conn, answers)
	})
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err := s.readOrders(ctx, conn, answers)
	cancel()
	stop()
	_ = conn.Close()
	writing.Wait()
	s.Log.Info("no longer carrying orders", "owner", owner, "error", err)
}

// readOrders reads orders and forwards each on its own goroutine, until the connection breaks.
// Orders beyond maxForwarded are answered as unsent.
func (s *Server) readOrders(ctx context.Context, conn net.Conn, answers chan<- proto.Message) error {
	reader := bufio.NewReaderSize(conn, bufferBytes)
	slots := make(chan struct{}, maxForwarded)
	for {
		order, err := readOrder(conn, reader)
		if err != nil {
			return err
		}
		// Once it has sent an order, an owner's connection keeps its place.
		if limited, ok := conn.(*intake.Conn); ok {
			limited.SetServing()
		}
		select {
		case slots <- struct{}{}:
		default:
			s.sendAnswer(ctx, answers, order, &linkpb.Carried{Verdict: int32(work.VerdictUnsent)})
			continue
		}
		received := bootclock.Now()
		go func() {
			defer func() { <-slots }()
			s.sendAnswer(ctx, answers, order, s.forward(ctx, order, received))
		}()
	}
}

// readOrder waits for an order and reads it within orderReadTimeout.
func readOrder(conn net.Conn, reader *bufio.Reader) (*linkpb.Carry, error) {
	if _, err := reader.Peek(1); err != nil {
		return nil, err
	}
	// The errors of deadlines are ignored: a connection that is closed fails to read as well.
	_ = conn.SetReadDeadline(time.Now().Add(orderReadTimeout))
	order := &linkpb.Carry{}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxOrderBytes}).UnmarshalFrom(reader, order); err != nil {
		return nil, err
	}
	_ = conn.SetReadDeadline(time.Time{})
	return order, nil
}

// sendAnswer queues the answer to an order to be written.
func (s *Server) sendAnswer(ctx context.Context, answers chan<- proto.Message, order *linkpb.Carry, answer *linkpb.Carried) {
	answer.Sequence = order.GetSequence()
	answer.StoreAgeUs = s.StoreAge().Microseconds()
	answer.ClockUs = bootclock.Now().Microseconds()
	select {
	case answers <- answer:
	case <-ctx.Done():
	}
}

// forward sends an order to its target and returns the answer. A start that has waited too long, or
// was too long on its way, is not sent.
func (s *Server) forward(ctx context.Context, order *linkpb.Carry, received time.Duration) *linkpb.Carried {
	to := work.TargetAddress{ID: order.GetId(), Address: order.GetAddress()}
	switch what := order.GetWhat().(type) {
	case *linkpb.Carry_Start:
		if waited := bootclock.Now() - received; waited > staleOrderAge {
			s.noteCarried("start not carried", order, waited, work.VerdictUnsent)
			return &linkpb.Carried{Verdict: int32(work.VerdictUnsent)}
		}
		if sendBy := what.Start.GetSendByUs(); sendBy != 0 && bootclock.Now().Microseconds() > sendBy {
			s.noteCarried("start arrived late", order, bootclock.Now()-received, work.VerdictStaleToken)
			return &linkpb.Carried{Verdict: int32(work.VerdictStaleToken)}
		}
		s.Count("carried", "start")
		answer := s.Targets.Start(ctx, to, startFromWire(what.Start), order.GetToken())
		if answer.Verdict == work.VerdictUnknown || answer.Verdict == work.VerdictConnectionLost {
			s.noteCarried("carried start unanswered", order, bootclock.Now()-received, answer.Verdict)
		}
		return orderAnswerToWire(answer)
	case *linkpb.Carry_Stop:
		s.Count("carried", "stop")
		s.noteIfLate(order, bootclock.Now()-received)
		return orderAnswerToWire(s.Targets.Stop(ctx, to, runFromWire(what.Stop.GetRun()), order.GetToken()))
	case *linkpb.Carry_Look:
		s.Count("carried", "look")
		s.noteIfLate(order, bootclock.Now()-received)
		poll := what.Look
		held, verdict := s.Targets.Poll(ctx, to, order.GetToken(), poll.GetUntilMs(), poll.GetSeen(), time.Duration(poll.GetWaitUs())*time.Microsecond)
		answer := pollAnswerToWire(held)
		answer.Verdict = int32(verdict)
		return answer
	default:
		return &linkpb.Carried{Verdict: int32(work.VerdictUnsent)}
	}
}

// noteIfLate logs a stop, or a poll that extends a lease, that waited long in this process.
func (s *Server) noteIfLate(order *linkpb.Carry, waited time.Duration) {
	if waited > staleOrderAge && (order.GetStop() != nil || order.GetLook().GetUntilMs() > 0) {
		s.noteCarried("order carried late", order, waited, work.VerdictUnknown)
	}
}

// noteCarried counts and logs an order that was not carried out at once or may not have been.
func (s *Server) noteCarried(message string, order *linkpb.Carry, age time.Duration, verdict work.Verdict) {
	s.Count("carried_badly", message)
	run, until := order.GetStart().GetRun(), order.GetStart().GetUntilMs()
	if stop := order.GetStop(); stop != nil {
		run = stop.GetRun()
	}
	s.Log.LogAttrs(context.Background(), slog.LevelInfo, message,
		slog.String("task", run.GetTask()), slog.String("target", order.GetId()), slog.Duration("age", age),
		slog.Int64("run", run.GetNumber()), slog.Int64("token", order.GetToken()),
		slog.Int64("lease_until", max(until, order.GetLook().GetUntilMs())), slog.String("verdict", verdict.String()))
}

// orderAnswerToWire converts the answer to a start or a stop.
func orderAnswerToWire(a work.OrderAnswer) *linkpb.Carried {
	return &linkpb.Carried{Verdict: int32(a.Verdict), ClockMs: a.ClockMS}
}

// writeMessages writes messages until the context ends or the connection breaks.
func writeMessages(ctx context.Context, conn net.Conn, messages <-chan proto.Message) {
	writer := bufio.NewWriterSize(conn, bufferBytes)
	for {
		select {
		case message := <-messages:
			if writeQueued(writer, message, messages) != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// writeQueued writes a message and all that are queued behind it, and then flushes the writer.
func writeQueued(writer *bufio.Writer, message proto.Message, messages <-chan proto.Message) error {
	for {
		if _, err := protodelim.MarshalTo(writer, message); err != nil {
			return err
		}
		select {
		case message = <-messages:
		default:
			return writer.Flush()
		}
	}
}
