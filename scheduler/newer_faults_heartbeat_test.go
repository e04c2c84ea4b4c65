package scheduler

import (
	"maps"
	"slices"
	"time"
)

// ownerView is heartbeat.View.
type ownerView struct {
	vm                     *vm
	timestamp              time.Duration
	lastHeard, pingedSince time.Duration
	alive, hasClaim        bool
	calls                  []*remoteCall
}

// Parameters of package heartbeat.
const (
	pingInterval     = 50 * ms
	givenUpRetention = 3 * pingInterval
)

func (v *vm) pingPeriodically() {
	v.later(pingInterval, func() {
		v.expireViews()
		v.pingAll()
		v.pingPeriodically()
	})
}

// requestLoads follows heartbeat.RequestLoads.
func (v *vm) requestLoads() {
	if v.w.now-v.lastLoadRequest >= 8*ms {
		v.lastLoadRequest = v.w.now
		v.pingAll()
	}
}

func (v *vm) sortedViews() []*ownerView {
	var views []*ownerView
	for _, incarnation := range slices.Sorted(maps.Keys(v.views)) {
		views = append(views, v.views[incarnation])
	}
	return views
}

func (v *vm) pingAll() {
	for _, view := range v.sortedViews() {
		v.ping(view)
	}
}

// ping sends one heartbeat; it is answered by whichever process has the address.
func (v *vm) ping(view *ownerView) {
	if view.vm == v {
		return
	}
	stamp, wanted, givenUp := view.timestamp, view.vm.incarnation, v.givenUpAt(view)
	v.w.datagram(v.name, view.vm.name, func() {
		to := v.w.vms[view.vm.slot]
		to.later(v.w.micros(200), func() {
			if wanted == to.incarnation && stamp > 0 {
				for _, o := range to.owners() {
					o.recordKeepalive(v.entryID(), stamp+keepaliveLifetime, givenUp)
				}
			}
			to.pong(v)
		})
	})
}

// pong answers a heartbeat with the time of this VM, its claim and its loads.
func (v *vm) pong(to *vm) {
	stamp, claim, free := v.w.now, v.claims[v.domain], FreeCapacity{}
	if v.current != nil && v.current.delay(v.w.now) == 0 {
		free = v.current.state.Load(v.w.now, "s").FreeCapacity
	}
	v.w.datagram(v.name, to.name, func() {
		to.later(v.w.micros(200), func() {
			if view := to.views[v.incarnation]; view != nil && stamp >= view.timestamp {
				view.alive, view.timestamp, view.lastHeard = true, stamp, v.w.now
			}
			if o := to.current; o != nil && v.current != nil && to != v {
				o.submissions = append(o.submissions, func(now time.Duration) { o.state.CapacityReported(now, v.entryID(), "s", free) })
				o.wake()
			}
			if claim != nil {
				to.mergeClaim(claim)
			}
		})
	})
}

// expireViews follows peerTable.expire.
func (v *vm) expireViews() {
	now := v.w.now
	for _, view := range v.sortedViews() {
		if now-max(view.lastHeard, view.pingedSince) <= silenceTimeout {
			continue
		}
		view.alive = false
		calls := view.calls
		view.calls = nil
		for _, c := range calls {
			c.cancel()
		}
		if !view.hasClaim {
			delete(v.views, view.vm.incarnation)
		}
	}
	for request, given := range v.givenUp {
		if now-given.at > givenUpRetention {
			delete(v.givenUp, request)
		}
	}
}

// vmGivenUp is a request that a VM has given up at an owner.
type vmGivenUp struct {
	GivenUp
	owner uint64
	at    time.Duration
}

// givenUpAt returns the requests that a ping to an owner names.
func (v *vm) givenUpAt(view *ownerView) []GivenUp {
	var named []GivenUp
	for _, request := range slices.Sorted(maps.Keys(v.givenUp)) {
		if given := v.givenUp[request]; given.owner == view.vm.incarnation {
			named = append(named, given.GivenUp)
		}
	}
	return named
}

// giveUp follows heartbeat.GiveUp.
func (v *vm) giveUp(view *ownerView, job string, request uint64) {
	v.givenUp[request] = vmGivenUp{GivenUp{Job: job, Request: request}, view.vm.incarnation, v.w.now}
	if v.views[view.vm.incarnation] != nil {
		v.ping(view)
	}
}

// setOwners follows peerTable.setOwners.
func (v *vm) setOwners() {
	claimed := map[uint64]bool{}
	for _, group := range slices.Sorted(maps.Keys(v.claims)) {
		holder := v.claims[group].holder
		claimed[holder.incarnation] = true
		if v.views[holder.incarnation] == nil {
			v.views[holder.incarnation] = &ownerView{vm: holder, pingedSince: v.w.now, alive: true}
		}
	}
	for incarnation, view := range v.views {
		view.hasClaim = claimed[incarnation]
	}
	v.expireViews()
	v.pingAll()
}
