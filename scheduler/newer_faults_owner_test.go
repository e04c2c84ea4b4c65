package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/burdockward/burdockward/work"
)

// vmOwner follows package owner: a loop with queues, and a goroutine for each order.
type vmOwner struct {
	vm        *vm
	group     int
	claim     *vmClaim
	state     *State
	token     int64
	createdAt time.Duration
	// The queues of the loop, and whether it is about to run.
	urgent, answers, submissions []func(now time.Duration)
	tickDue, awake               bool
	// loopStalledUntil is until when the loop alone is held up.
	loopStalledUntil   time.Duration
	lastTick, lastWait time.Duration
	waiters            map[Ref]func(work.Outcome)
	lastRef            Ref
	keepaliveUntil     map[string]time.Duration
	givenUpJobs        []givenUpJob
	delegated          map[Part]*remoteCall
	withdrawn          map[Part]bool
	ended, deposed     bool
	onEnd              []func()
	// The registry, as in owner/registry.go.
	listed          map[string]work.Target
	former          *vm
	handoverPending bool
	handedOver      map[string]bool
	released        []string
}

type givenUpJob struct {
	entry string
	GivenUp
}

// startOwner follows node.startOwner and owner.New.
func (v *vm) startOwner(claim *vmClaim) *vmOwner {
	o := &vmOwner{
		vm: v, group: claim.group, claim: claim, state: New(Options{ConfirmClaims: true}), token: claim.version, createdAt: v.w.now,
		waiters: map[Ref]func(work.Outcome){}, keepaliveUntil: map[string]time.Duration{}, delegated: map[Part]*remoteCall{}, withdrawn: map[Part]bool{},
		listed: map[string]work.Target{}, former: claim.former, handoverPending: claim.former != nil, handedOver: map[string]bool{},
	}
	v.w.log("%s owns group %d, token %d, passed %d", v.entryID(), claim.group, claim.version, claim.passed)
	o.state.FinishResume(v.w.now)
	o.readRegistry()
	o.tickLater()
	if claim.former != nil {
		o.askPredecessor(v.w.now)
	}
	return o
}

// readRegistry reads the targets of the group from the store once that answers.
func (o *vmOwner) readRegistry() {
	o.vm.later(o.vm.w.micros(20_000)+ms, func() {
		if o.ended {
			return
		}
		if o.vm.w.storeAway {
			o.vm.later(100*ms, o.readRegistry)
			return
		}
		o.postUrgent(func(now time.Duration) {
			for _, id := range o.vm.w.groups[o.group].targets {
				if t := o.vm.w.targets[id]; !t.down {
					o.state.ListedAtStart(id, t.listed().Incarnation)
					o.listed[id] = t.listed()
					o.addTarget(now, t.listed())
				}
			}
			o.state.RegistryRead()
		})
	})
}

func (o *vmOwner) listLater(t *fakeTarget) {
	o.vm.later(o.vm.w.micros(100_000), func() {
		o.postUrgent(func(now time.Duration) {
			if slices.Contains(o.vm.w.groups[o.group].targets, t.id) {
				o.listed[t.id] = t.listed()
				o.addTarget(now, t.listed())
			}
		})
	})
}

// addTarget and unlist follow owner/registry.go.
func (o *vmOwner) addTarget(now time.Duration, target work.Target) {
	if o.handoverPending && !o.handedOver[target.ID] || slices.Contains(o.released, target.ID) {
		return
	}
	o.state.TargetListed(now, target)
}

func (o *vmOwner) unlist(now time.Duration, id string) {
	delete(o.listed, id)
	o.state.TargetUnlisted(now, id)
}

func (o *vmOwner) post(m func(now time.Duration)) {
	o.answers = append(o.answers, m)
	o.wake()
}

func (o *vmOwner) postUrgent(m func(now time.Duration)) {
	o.urgent = append(o.urgent, m)
	o.wake()
}

func (o *vmOwner) tickLater() {
	o.vm.later(TickInterval, func() {
		if !o.ended {
			o.tickDue = true
			o.wake()
			o.tickLater()
		}
	})
}

// wake has the loop run soon, unless it is about to.
func (o *vmOwner) wake() {
	if o.awake || o.ended {
		return
	}
	o.awake = true
	o.vm.later(max(o.vm.w.micros(100), o.loopStalledUntil-o.vm.w.now), o.runLoop)
}

// runLoop follows one round of Owner.loop.
func (o *vmOwner) runLoop() {
	o.awake = false
	now := o.vm.w.now
	if o.ended {
		return
	}
	if now < o.loopStalledUntil {
		o.wake()
		return
	}
	m := o.takeMessage()
	if m == nil {
		return
	}
	for _, u := range o.takeAll(&o.urgent) {
		u(now)
	}
	o.deliverKeepalives(now)
	m(now)
	for range 64 {
		if next := o.takeFrom(&o.answers, &o.submissions); next != nil {
			next(now)
		}
	}
	o.applyEffects()
	if o.state.HasTasksToDelegate() {
		o.vm.requestLoads()
	}
	if o.tickDue || len(o.urgent)+len(o.answers)+len(o.submissions) > 0 {
		o.wake()
	}
}

func (o *vmOwner) takeAll(queue *[]func(time.Duration)) []func(time.Duration) {
	all := *queue
	*queue = nil
	return all
}

// takeMessage chooses among the ready channels at random, as select does.
func (o *vmOwner) takeMessage() func(time.Duration) {
	if o.tickDue && (len(o.urgent)+len(o.answers)+len(o.submissions) == 0 || o.vm.w.random.IntN(3) == 0) {
		o.tickDue = false
		return o.tick
	}
	return o.takeFrom(&o.urgent, &o.answers, &o.submissions)
}

func (o *vmOwner) takeFrom(queues ...*[]func(time.Duration)) func(time.Duration) {
	var ready []*[]func(time.Duration)
	for _, q := range queues {
		if len(*q) > 0 {
			ready = append(ready, q)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	q := ready[o.vm.w.random.IntN(len(ready))]
	m := (*q)[0]
	*q = (*q)[1:]
	return m
}

func (o *vmOwner) tick(now time.Duration) {
	o.lastTick = now
	o.lastWait = time.Duration(0.8 * float64(o.lastWait))
	o.state.SetWallClock(now, now+wallBase)
	o.state.SetRunClock(now, now)
	o.state.Tick(now)
}

// delay follows lag.delay.
func (o *vmOwner) delay(now time.Duration) time.Duration {
	behind := o.lastWait
	if o.lastTick > 0 {
		behind = max(behind, now-o.lastTick)
	}
	if behind <= 100*ms {
		return 0
	}
	return behind
}

// deliverKeepalives follows keepalives.deliver.
func (o *vmOwner) deliverKeepalives(now time.Duration) {
	for entry, until := range o.keepaliveUntil {
		o.state.EntryKeepalive(entry, until)
	}
	clear(o.keepaliveUntil)
	for _, job := range o.givenUpJobs {
		o.state.GiveUpRequest(now, job.entry, job.GivenUp)
	}
	o.givenUpJobs = nil
}

func (o *vmOwner) recordKeepalive(entry string, until time.Duration, givenUp []GivenUp) {
	o.keepaliveUntil[entry] = max(o.keepaliveUntil[entry], until)
	for _, job := range givenUp {
		o.givenUpJobs = append(o.givenUpJobs, givenUpJob{entry, job})
	}
}

func (o *vmOwner) applyEffects() {
	decided := o.vm.w.now
	for _, effect := range o.state.Effects(decided) {
		switch e := effect.(type) {
		case StartRun:
			o.sendStart(e, decided)
		case StopRun:
			o.sender(func() {
				o.order(e.To.ID, func(t *fakeTarget, token int64) work.OrderAnswer { return o.vm.w.stopAt(t, token, e.Run) },
					func(a work.OrderAnswer) {
						o.post(func(now time.Duration) {
							o.recordAnswerTime(a.Verdict, now-decided)
							o.state.HandleStopAnswer(now, e.To.ID, e.Run, a)
						})
					})
			})
		case Poll:
			o.sender(func() { o.sendPoll(e, decided) })
		case Delegate:
			o.delegate(e)
		case Withdraw:
			o.withdrawn[e.Part] = true
			if call := o.delegated[e.Part]; call != nil {
				call.cancel()
			}
		case Answer:
			if waiter := o.waiters[e.Ref]; waiter != nil {
				delete(o.waiters, e.Ref)
				o.vm.w.log("%s token %d answers request %d: %s %s", o.vm.name, o.token, e.Ref, e.Outcome.Result, e.Outcome.Reason)
				waiter(e.Outcome)
			}
		case Deposed:
			o.stepDown()
		case ConfirmClaim:
			o.confirmClaim()
		case LogEvent:
			if e.Task != "" || e.Failure {
				o.vm.w.log("%s token %d: %s %s %s %s", o.vm.name, o.token, e.Message, e.Task, e.Target, e.Detail)
			}
		}
	}
	if o.vm.w.chance(o.vm.w.pauses / 20) {
		o.vm.stall(50*ms + o.vm.w.micros(600_000))
	}
}

// confirmClaim follows Owner.confirmClaim and Keeper.ConfirmOwnership.
func (o *vmOwner) confirmClaim() {
	v, asOf := o.vm, o.vm.w.now
	v.later(2*ms+v.w.micros(20_000), func() {
		claim, row := v.claims[o.group], v.w.groups[o.group].claim
		if v.w.reachesStore(v) && claim != nil && claim.holder == v && (row == nil || row.version <= claim.version) {
			o.post(func(now time.Duration) { o.state.ClaimConfirmed(now, asOf) })
		}
	})
}

func (o *vmOwner) stepDown() {
	if !o.deposed {
		o.deposed = true
		o.vm.w.log("%s token %d is deposed", o.vm.name, o.token)
		o.state.Abandon(o.vm.w.now)
		o.vm.later(0, func() { o.wake() })
		o.applyEffects()
	}
}

func (o *vmOwner) recordAnswerTime(verdict work.Verdict, took time.Duration) {
	switch verdict {
	case work.VerdictUnknown, work.VerdictConnectionLost, work.VerdictUnsent:
	default:
		o.state.RecordAnswerTime(took)
	}
}

// sender runs an order's goroutine, which the end of the owner ends as well.
func (o *vmOwner) sender(do func()) {
	o.vm.later(o.vm.w.micros(300), func() {
		switch now := o.vm.w.now; {
		case o.ended:
		case now < o.vm.sendersStalledUntil:
			o.vm.w.after(o.vm.sendersStalledUntil-now, func() { o.sender(do) })
		default:
			do()
		}
	})
}

// end follows the end of an owner's context: its callers are answered, its orders are not sent.
func (o *vmOwner) end() {
	if o.ended {
		return
	}
	o.vm.w.log("%s token %d no longer owns group %d", o.vm.name, o.token, o.group)
	o.ended = true
	o.state.Abandon(o.vm.w.now)
	for _, effect := range o.state.Effects(o.vm.w.now) {
		if e, ok := effect.(Answer); ok && o.waiters[e.Ref] != nil {
			waiter := o.waiters[e.Ref]
			delete(o.waiters, e.Ref)
			waiter(e.Outcome)
		}
	}
	for _, part := range slices.Sorted(maps.Keys(o.delegated)) {
		o.delegated[part].cancel()
	}
	for _, done := range o.onEnd {
		o.vm.later(0, done)
	}
}
