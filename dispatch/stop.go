package dispatch

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/burdockward/burdockward/targetclient"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
)

const (
	// stopBatchDelay is how long stops are collected, so that many cancellations
	// at once cost one message a target.
	stopBatchDelay = 10 * time.Millisecond
	// maxStops bounds the waiting stops. Further ones are dropped; the run limit
	// ends their tasks.
	maxStops = 100000
	// parallelStops bounds the stop messages sent at the same time.
	parallelStops = 16
)

// stopper sends stops of running tasks to targets, in batches.
type stopper struct {
	client   TargetClient
	messages tally.Counter
	dropped  tally.Counter
	wake     chan struct{}

	mu        sync.Mutex
	addresses map[string]string
	waiting   map[stopGroup][]targetclient.TaskID
	count     int
}

// stopGroup identifies the stops that are sent in one message.
type stopGroup struct {
	target     string
	checkpoint bool
}

func newStopper(client TargetClient, scope tally.Scope) *stopper {
	return &stopper{
		client:   client,
		messages: scope.Tagged(map[string]string{"kind": "stop"}).Counter("messages_sent"),
		dropped:  scope.Counter("stops_dropped"),
		wake:     make(chan struct{}, 1),
		waiting:  map[stopGroup][]targetclient.TaskID{},
	}
}

func (s *stopper) setTargets(targets []Target) {
	addresses := make(map[string]string, len(targets))
	for _, t := range targets {
		addresses[t.ID] = t.Address
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addresses = addresses
}

// stop queues the stop of a running task for the next batch.
func (s *stopper) stop(targetID string, id targetclient.TaskID, checkpoint bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count >= maxStops {
		s.dropped.Inc(1)
		return
	}
	group := stopGroup{target: targetID, checkpoint: checkpoint}
	s.waiting[group] = append(s.waiting[group], id)
	s.count++
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run sends batches of stops until the context ends.
func (s *stopper) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		pause := time.NewTimer(stopBatchDelay)
		select {
		case <-ctx.Done():
			pause.Stop()
			return
		case <-pause.C:
		}
		s.flush(ctx)
	}
}

// flush sends the waiting stops. A lost stop is not repeated: the run limit ends
// the task.
func (s *stopper) flush(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(parallelStops)
	for _, m := range s.takeMessages() {
		g.Go(func() error {
			s.messages.Inc(1)
			_, err := s.client.Stop(ctx, m.address, m.ids, m.checkpoint)
			return err
		})
	}
	_ = g.Wait()
}

// stopMessage is one message of stops to a target.
type stopMessage struct {
	address    string
	ids        []targetclient.TaskID
	checkpoint bool
}

// takeMessages removes the waiting stops and returns them as messages. Stops for
// unknown targets are dropped.
func (s *stopper) takeMessages() []stopMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	messages := make([]stopMessage, 0, len(s.waiting))
	for group, ids := range s.waiting {
		if address, ok := s.addresses[group.target]; ok {
			messages = append(messages, stopMessage{address: address, ids: ids, checkpoint: group.checkpoint})
		}
	}
	sort.Slice(messages, func(i, k int) bool { return messages[i].address < messages[k].address })
	s.waiting = map[stopGroup][]targetclient.TaskID{}
	s.count = 0
	return messages
}
