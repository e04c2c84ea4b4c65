package scheduler

import (
	"slices"
	"time"

	"github.com/burdockward/burdockward/work"
)

// storeName is the store's name in cuts.
const storeName = "store"

func (w *vmWorld) reachesStore(v *vm) bool {
	return !w.storeAway && w.now >= w.cutUntil[[2]string{v.name, storeName}]
}

// readClaims follows the feed of the claims.
func (v *vm) readClaims() {
	v.later(ms+v.w.micros(60_000), func() {
		if v.w.reachesStore(v) {
			for _, g := range v.w.groups {
				if g.claim != nil {
					v.mergeClaim(g.claim)
				} else if v.claimSeenAt[v.domain] == 0 {
					v.claimSeenAt[v.domain] = v.w.now
				}
			}
		}
		v.readClaims()
	})
}

// mergeClaim follows Keeper.Merge and node.claimsChanged.
func (v *vm) mergeClaim(claim *vmClaim) {
	if !claim.isNewerThan(v.claims[claim.group]) {
		return
	}
	v.claims[claim.group] = claim
	v.claimSeenAt[claim.group] = v.w.now
	if claim.group == v.domain {
		v.applyClaim(claim)
	}
	v.setOwners()
}

// applyClaim follows node.applyClaim and node.endOwner.
func (v *vm) applyClaim(claim *vmClaim) {
	switch {
	case claim.holder == v && v.current == nil:
		v.current = v.startOwner(claim)
	case claim.holder == v && !claim.continues(v.current.claim):
		v.current.end()
		v.current = v.startOwner(claim)
	case claim.holder == v:
		v.current.claim = claim
		v.current.token = max(v.current.token, claim.version)
	case v.current == nil || !claim.isNewerThan(v.current.claim):
	case claim.former != v:
		v.current.end()
		v.current = nil
	default:
		if v.outgoing != nil {
			v.outgoing.end()
		}
		o := v.current
		v.outgoing, v.current = o, nil
		o.post(o.state.Leave)
	}
}

// decideClaim follows Keeper.claimIfDue.
func (v *vm) decideClaim() {
	v.later(40*ms, func() {
		now := v.w.now
		if !v.leaving && now-v.lastClaimAttempt >= 250*ms && v.w.reachesStore(v) && v.shouldClaim() {
			v.lastClaimAttempt = now
			v.writeClaim(&vmClaim{group: v.domain, holder: v}, func(bool) {})
		}
		v.decideClaim()
	})
}

// shouldClaim follows ownership.ShouldClaim.
func (v *vm) shouldClaim() bool {
	claim, now := v.claims[v.domain], v.w.now
	delay := time.Duration(v.slot%8) * 15 * ms
	switch {
	case claim == nil:
		return v.claimSeenAt[v.domain] > 0 && now-v.started >= delay+100*ms
	case claim.holder == v:
		return claim.passed > 0
	case claim.holder.slot == v.slot:
		return true
	}
	age := now - v.claimSeenAt[v.domain]
	silent := age
	if view := v.views[claim.holder.incarnation]; view != nil && view.lastHeard > 0 {
		silent = now - view.lastHeard
	}
	return min(silent, age) >= silenceTimeout+delay
}

// writeClaim writes a claim on the condition that the row is still the one that this VM knows.
func (v *vm) writeClaim(claim *vmClaim, done func(written bool)) {
	w, g := v.w, v.w.groups[claim.group]
	expected := int64(0)
	if known := v.claims[claim.group]; known != nil {
		expected = known.version
	}
	if !w.reachesStore(v) {
		v.later(100*ms, func() { done(false) })
		return
	}
	w.after(ms+w.micros(20_000), func() {
		if !w.reachesStore(v) || g.claim != nil && g.claim.version != expected || g.claim == nil && expected != 0 {
			v.later(ms, func() { done(false) })
			return
		}
		w.token++
		claim.version, claim.replaced = w.token, expected
		g.claim = claim
		if w.chance(w.faults.lostAnswers) {
			v.later(200*ms, func() { done(false) })
			return
		}
		v.later(ms, func() { v.mergeClaim(claim); done(true) })
	})
}

// handOver follows Keeper.HandOver to one VM, and calls done with whether that was confirmed.
func (v *vm) handOver(to *vm, done func(confirmed bool)) {
	own := v.claims[v.domain]
	v.writeClaim(&vmClaim{group: v.domain, holder: to, former: v}, func(written bool) {
		if written || v.w.reachesStore(v) {
			done(written)
			return
		}
		claim := &vmClaim{group: v.domain, holder: to, former: v, version: own.version, passed: own.passed + 1}
		v.w.log("%s hands over to %s under token %d", v.name, to.entryID(), claim.version)
		answered := false
		settle := func(ok bool) {
			if !answered {
				answered = true
				v.mergeClaim(claim)
				done(ok)
			}
		}
		v.later(400*ms, func() { settle(false) })
		v.w.stream(v.name, to.name, func() {
			to.later(0, func() {
				to.mergeClaim(claim)
				if !v.w.chance(2 * v.w.faults.lostAnswers) {
					v.w.stream(to.name, v.name, func() { v.resume(func() { settle(true) }) })
				}
			})
		})
	})
}

// leave follows node.handOver: it tries again, with any other VM, until one has confirmed.
func (v *vm) leave(until time.Duration) {
	if v.current == nil {
		return
	}
	var others []*vm
	for _, other := range v.w.vms {
		if other.domain == v.domain && other != v && !other.dead && !other.leaving {
			others = append(others, other)
		}
	}
	if len(others) == 0 || v.w.now >= until {
		v.current.post(v.current.state.Leave)
		return
	}
	v.handOver(others[v.w.random.IntN(len(others))], func(confirmed bool) {
		if !confirmed {
			v.later(250*ms, func() { v.handOverAgain(until) })
		}
	})
}

// handOverAgain follows the loop of node.handOver, which goes on though this VM may have handed
// over already.
func (v *vm) handOverAgain(until time.Duration) {
	if v.w.now >= until || v.claims[v.domain].holder == v {
		v.leave(until)
		return
	}
	var others []*vm
	for _, other := range v.w.vms {
		if other.domain == v.domain && other != v && !other.dead && !other.leaving {
			others = append(others, other)
		}
	}
	if len(others) > 0 {
		v.handOver(others[v.w.random.IntN(len(others))], func(confirmed bool) {
			if !confirmed {
				v.later(250*ms, func() { v.handOverAgain(until) })
			}
		})
	}
}

// releasedTargets is owner.Released.
type releasedTargets struct {
	targets  []string
	all      bool
	registry []work.Target
	handover *Handover
}

// release follows peerCalls.Release, node.predecessorOf and Owner.Release.
func (v *vm) release(successor *vmClaim, reply func(releasedTargets)) {
	o := v.outgoing
	if v.current != nil && successor.isNewerThan(v.current.claim) || o != nil && !successor.isNewerThan(o.claim) {
		reply(releasedTargets{})
		return
	}
	if o == nil || o.ended {
		reply(releasedTargets{all: true})
		return
	}
	o.post(func(now time.Duration) {
		var handover *Handover
		if hands := v.w.handsOver; hands != nil && hands(v) && hands(successor.holder) && !o.handoverPending {
			h, released := o.state.HandOverJobs(now, Successor{Owner: successor.holder.entryID(), Token: successor.version, Passed: int32(successor.passed)})
			h.From = v.entryID()
			handover, o.released = &h, append(o.released, released...)
		}
		o.released = append(o.released, o.state.IdleTargets()...)
		o.state.ReleaseTargets(o.released)
		answer := releasedTargets{targets: append([]string(nil), o.released...), all: (o.state.IsIdle() || o.state.HasHandedOverJobs() && o.state.UsesNoTarget()) && !o.handoverPending, handover: handover}
		for _, id := range v.w.targetIDs() {
			if target, ok := o.listed[id]; ok {
				answer.registry = append(answer.registry, target)
			}
		}
		v.later(0, func() {
			reply(answer)
			if answer.all {
				v.endOutgoing(o)
			}
		})
	})
}

// endOutgoing follows peerCalls.Release and node.endOutgoing: the jobs that were handed over are answered
// before the owner ends.
func (v *vm) endOutgoing(o *vmOwner) {
	switch {
	case v.outgoing != o:
	case len(o.state.jobs) > 0:
		v.later(20*ms, func() { v.endOutgoing(o) })
	default:
		o.end()
		v.outgoing = nil
	}
}

// askPredecessor follows Owner.takeOverTargets.
func (o *vmOwner) askPredecessor(lastAnswer time.Duration) {
	v, former := o.vm, o.former
	if o.ended {
		return
	}
	answered, asked := false, v.w.now
	settle := func(released releasedTargets, ok bool) {
		if answered || o.ended {
			return
		}
		answered = true
		if ok {
			lastAnswer = v.w.now
		}
		silent := v.w.now-lastAnswer > silenceTimeout
		o.post(func(now time.Duration) { o.applyReleased(now, asked, released, silent) })
		if !released.all && !silent {
			v.later(40*ms, func() { o.askPredecessor(lastAnswer) })
		}
	}
	v.later(400*ms, func() { settle(releasedTargets{}, false) })
	v.w.stream(v.name, former.name, func() {
		if former.dead {
			v.w.stream(former.name, v.name, func() { v.resume(func() { settle(releasedTargets{}, false) }) })
			return
		}
		former.later(0, func() {
			former.release(o.claim, func(released releasedTargets) {
				v.w.stream(former.name, v.name, func() { v.resume(func() { settle(released, true) }) })
			})
		})
	})
}

// applyReleased follows Owner.applyReleased.
func (o *vmOwner) applyReleased(now, asked time.Duration, released releasedTargets, silent bool) {
	if released.handover != nil && o.handoverPending {
		o.adopt(now, asked, *released.handover)
	}
	for _, id := range released.targets {
		o.handedOver[id] = true
	}
	for _, target := range released.registry {
		if _, known := o.listed[target.ID]; !known && o.vm.w.storeAway {
			o.listed[target.ID] = target
			o.state.ListedAtStart(target.ID, target.Incarnation)
		}
	}
	if released.all || silent {
		if o.handoverPending {
			o.vm.w.longestHandover = max(o.vm.w.longestHandover, now-o.createdAt)
		}
		o.handoverPending = false
	}
	for _, id := range o.vm.w.targetIDs() {
		if target, ok := o.listed[id]; ok {
			o.addTarget(now, target)
		}
	}
}

// adopt follows Owner.adopt: the jobs come before the targets, and this VM needs no keepalives of
// itself.
func (o *vmOwner) adopt(now, asked time.Duration, h Handover) {
	o.vm.w.adopted += len(h.Jobs)
	h.Jobs = slices.Clone(h.Jobs)
	for i := range h.Jobs {
		sub := &h.Jobs[i].Submission
		sub.Vouchers = slices.DeleteFunc(slices.Clone(sub.Vouchers), func(entry string) bool { return entry == o.vm.entryID() })
	}
	o.state.AdoptJobs(now, asked, h, func() Ref { o.lastRef++; return o.lastRef })
}
