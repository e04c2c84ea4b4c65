package claim

import (
	"maps"
	"slices"
	"time"

	"github.com/burdockward/burdockward/key"
	"github.com/burdockward/burdockward/membership"
	"github.com/burdockward/burdockward/peer/peerpb"
)

// runToChange lets time pass until the view state of some process changes, so that the
// next actions fall into a view change.
func (f *fuzz) runToChange() {
	before := f.viewStates()
	for range 30 {
		f.tick(testTick)
		for i := 0; i < len(f.packets); {
			if !f.deliverAt(i) {
				i++
			}
			if !maps.Equal(before, f.viewStates()) {
				return
			}
		}
	}
}

// viewState is the state of a process that a view change alters.
type viewState struct {
	view   membership.ViewID
	active bool
	opened bool
}

func (f *fuzz) viewStates() map[string]viewState {
	states := map[string]viewState{}
	for id, v := range f.vms {
		m := v.state.Membership()
		states[id] = viewState{m.View().ID, m.Active(), v.state.Opened()}
	}
	return states
}

// delay holds messages of the claim duty back until deliverDelayed.
func (f *fuzz) delay() {
	isClaim := func(p packet) bool { return p.duty == peerpb.Duty_DUTY_CLAIM }
	for range 1 + f.pick("messages", 4) {
		if i := slices.IndexFunc(f.packets, isClaim); i >= 0 {
			f.delayed = append(f.delayed, f.packets[i])
			f.packets = slices.Delete(f.packets, i, i+1)
		}
	}
	f.delayed = f.delayed[max(0, len(f.delayed)-maxDelayed):]
}

func (f *fuzz) deliverDelayed() {
	n := len(f.delayed)
	f.packets = append(f.delayed, f.packets...)
	f.delayed = nil
	f.deliverMany(n)
}

// loseHolders disturbs the two processes that hold a key, the second one during the view
// change that the first one causes. At times it disturbs a third one as well. Then it
// claims the key again.
func (f *fuzz) loseHolders() {
	if f.calm || f.isDisturbed() || len(f.used) == 0 {
		return
	}
	k := f.used[f.pick("used", len(f.used))]
	h := HashKey(key.Key{Domain: testDomain, Epoch: k.token, Unique: k.unique})
	owner := f.vms[f.oracle.owner[h].ID]
	if owner == nil || owner.state.ranking == nil {
		return
	}
	_, home, _ := splitToken(k.token)
	holders := owner.state.ranking.holders(home, h, owner.self)
	first := f.pick("first", 2)
	f.disturb(holders[first].ID)
	for range f.pick("changes", 14) {
		f.runToChange()
	}
	f.disturb(holders[1-first].ID)
	if f.pick("third", 3) == 0 {
		for range f.pick("changes", 14) {
			f.runToChange()
		}
		f.disturb(f.names[f.pick("vm", len(f.names))])
	}
	f.settle(time.Duration(1+f.pick("seconds", 3)) * time.Second)
	f.claimAgain([]usedKey{k})
	f.claimAgain(f.used)
}

// disturb pauses, replaces, cuts off, stops or kills a process.
func (f *fuzz) disturb(id string) {
	v := f.vms[id]
	if v == nil || len(f.vms) == 1 {
		return
	}
	switch f.pick("loss", 5) {
	case 0:
		v.paused = true
	case 1:
		f.boot(id)
	case 2:
		f.groups = map[string]int{vmAddress(id): 1}
	case 3:
		v.state.Membership().Leave(f.now + v.skew)
		f.flush(v)
	default:
		delete(f.vms, id)
	}
}

// finishKey sets the outcome of a granted key: completed, or refused by the runner,
// which the oracle records as not run.
func (f *fuzz) finishKey() {
	v := f.pickVM()
	if len(v.grants) == 0 || v.paused {
		return
	}
	h := v.grants[0]
	v.grants = v.grants[1:]
	outcome := OutcomeCompleted
	if f.pick("refuse", 2) == 0 {
		outcome = OutcomeNotRun
		f.oracle.notRun[h] = true
	}
	for token := range v.state.records.epochs {
		v.state.SetOutcome(token, h, outcome)
	}
}

// returnGrant models a caller that stopped waiting before it got its grant.
func (f *fuzz) returnGrant() {
	v := f.pickVM()
	if len(v.grants) == 0 || v.paused {
		return
	}
	h := v.grants[0]
	v.grants = v.grants[1:]
	for token := range v.state.records.epochs {
		v.state.Return(token, h)
	}
	delete(f.oracle.owner, h)
}

// isDisturbed reports whether a process is down or paused.
func (f *fuzz) isDisturbed() bool {
	if len(f.vms) < len(f.names) {
		return true
	}
	for _, v := range f.vms {
		if v.paused {
			return true
		}
	}
	return false
}

func (f *fuzz) pause() {
	v := f.pickVM()
	if !v.paused && f.calm && f.isDisturbed() {
		return
	}
	v.paused = !v.paused
}

func (f *fuzz) killOrBoot() {
	id := f.names[f.pick("vm", len(f.names))]
	if _, up := f.vms[id]; !up {
		f.boot(id)
		return
	}
	if f.calm && f.isDisturbed() {
		return
	}
	if f.pick("replace", 3) == 0 {
		f.boot(id)
	} else if len(f.vms) > 1 {
		delete(f.vms, id)
	}
}

func (f *fuzz) partition() {
	f.groups = map[string]int{}
	if f.calm || f.pick("heal", 2) == 0 {
		return
	}
	for _, id := range f.names {
		f.groups[vmAddress(id)] = f.pick("group", 2)
	}
}

func (f *fuzz) leave() {
	v := f.pickVM()
	if len(f.vms) > 1 && !v.paused {
		v.state.Membership().Leave(f.now + v.skew)
		f.flush(v)
	}
}

func (f *fuzz) restartAll() {
	for _, id := range f.names {
		f.boot(id)
	}
}
