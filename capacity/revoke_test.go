package capacity

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	revokeAfter  = 100 * time.Millisecond
	reclaimAfter = 10 * time.Second
)

// lossCluster is a cluster of three VMs that shared a limit of 12 and two targets of
// four slots. One VM, not the home of the limit, was lost with five units in use.
type lossCluster struct {
	*cluster
	home, other string
	// asked are the revocations so far.
	asked []Revocation
}

func newLossCluster(t *testing.T) *lossCluster {
	c := newCluster(t, Options{ReclaimAfter: reclaimAfter, RevokeAfter: revokeAfter}, "a", "b", "c")
	c.pool(limitPool, KindLimit, 12)
	c.view("v1", "", "a", "b", "c")
	c.run(reclaimAfter)
	c.list("t1", "t2")
	home, others := c.home()
	c.want(others[0], limitPool, 5)
	c.run(20 * time.Millisecond)
	must.Eq(t, 5, c.take(others[0], limitPool))
	c.order = []string{home, others[1]}
	l := &lossCluster{cluster: c, home: home, other: others[1]}
	l.view("v2", "v1", l.order...)
	return l
}

// list sets the list of targets at all VMs.
func (c *cluster) list(ids ...string) {
	var targets []TargetSlots
	for _, id := range ids {
		targets = append(targets, TargetSlots{Target: id, Slots: 4})
	}
	for _, s := range c.states {
		s.SetTargets(c.now, targets)
	}
}

// pass passes time. The targets in running answer revocations with that number of
// tasks under the limit; other targets don't answer.
func (l *lossCluster) pass(d time.Duration, running map[string]int) {
	for end := l.now + d; l.now < end; {
		l.run(time.Millisecond)
		l.each(func(s *State) []Out {
			due, outs := s.Revocations(l.now)
			for _, r := range due {
				l.asked = append(l.asked, r)
				if n, answers := running[r.Target]; answers {
					outs = append(outs, s.RecordRevoked(l.now, r.View, r.Target, map[string]int{limitPool: n})...)
				}
			}
			return outs
		})
	}
}

// usable returns how many units of the limit the VMs hold or can get.
func (l *lossCluster) usable() int {
	home := l.states[l.home].pools[limitPool]
	return home.free + home.used + home.ledger.lentTotal
}

func TestUnitsOfLostVMAreFreeOnceTargetsAnswer(t *testing.T) {
	l := newLossCluster(t)
	l.pass(50*time.Millisecond, nil)
	must.SliceEmpty(t, l.asked)
	must.Eq(t, 7, l.usable())
	l.pass(100*time.Millisecond, map[string]int{"t1": 2, "t2": 0})
	must.Eq(t, 10, l.usable())
	// Each target is asked by one member, and once if nothing runs there.
	must.Len(t, 2, l.asked)
	must.Eq(t, []Member{member(l.order[0]), member(l.order[1])}, l.asked[0].Holders)
	l.pass(time.Second, map[string]int{"t1": 0, "t2": 0})
	must.Eq(t, 12, l.usable())
	must.Len(t, 3, l.asked)
}

func TestSilentTargetKeepsItsSlotsReserved(t *testing.T) {
	l := newLossCluster(t)
	l.pass(time.Second, map[string]int{"t1": 0})
	must.Eq(t, 8, l.usable())
	l.list("t1")
	l.answer("v2", "t1")
	must.Eq(t, 8, l.usable())
	l.pass(reclaimAfter, nil)
	must.Eq(t, 12, l.usable())
}

func TestAnswerForAnotherViewFreesNothing(t *testing.T) {
	l := newLossCluster(t)
	l.pass(200*time.Millisecond, nil)
	l.answer("v1", "t1", "t2")
	must.Eq(t, 7, l.usable())
}

// answer records answers of targets without tasks at the home.
func (l *lossCluster) answer(view string, targets ...string) {
	for _, target := range targets {
		l.send(l.home, l.states[l.home].RecordRevoked(l.now, view, target, nil))
	}
}

func TestLimitsStayBlockedWithoutTargets(t *testing.T) {
	l := newLossCluster(t)
	for _, s := range l.states {
		clear(s.revocations.targets)
	}
	l.pass(200*time.Millisecond, nil)
	l.answer("v2", "t1", "t2")
	must.Eq(t, 7, l.usable())
}

// When the home of a limit is lost and targets don't answer, the limit stays blocked,
// but holders keep the units that they have.
func TestHoldersKeepUnitsWhileTargetsAreSilent(t *testing.T) {
	l := newLossCluster(t)
	l.want(l.other, limitPool, 7)
	l.run(20 * time.Millisecond)
	l.order = []string{l.other, "d"}
	l.states["d"] = New(Options{Self: member("d"), ReclaimAfter: reclaimAfter, RevokeAfter: revokeAfter})
	l.list("t1", "t2")
	l.pool(limitPool, KindLimit, 12)
	l.view("v3", "v2", l.order...)
	l.want(l.other, limitPool, 0)
	l.pass(time.Second, map[string]int{"t1": 4})
	must.Eq(t, 7, l.total())
	l.pass(time.Second, map[string]int{"t1": 0, "t2": 0})
	must.Eq(t, 12, l.total())
}

// A view that follows a loss asks the targets again that did not answer in the
// previous one.
func TestNextViewAsksTargetsAgainAfterLoss(t *testing.T) {
	l := newLossCluster(t)
	l.order = append(l.order, "d")
	l.states["d"] = New(Options{Self: member("d"), ReclaimAfter: reclaimAfter, RevokeAfter: revokeAfter})
	l.list("t1", "t2")
	l.pool(limitPool, KindLimit, 12)
	l.view("v3", "v2", l.order...)
	l.pass(time.Second, map[string]int{"t1": 0, "t2": 0})
	must.Len(t, 2, l.asked)
	must.Eq(t, 12, l.total())
}

// total returns how many units of the limit the VMs hold.
func (l *lossCluster) total() int {
	total := 0
	for _, id := range l.order {
		held, _ := l.states[id].Held(limitPool)
		total += held
	}
	return total
}

// After the first view the answers of targets free the limit before ReclaimAfter.
func TestFirstViewAsksTargets(t *testing.T) {
	c := newCluster(t, Options{ReclaimAfter: reclaimAfter, RevokeAfter: revokeAfter}, "a", "b", "c")
	l := &lossCluster{cluster: c}
	l.pool(limitPool, KindLimit, 12)
	l.list("t1", "t2")
	l.view("v1", "", "a", "b", "c")
	l.pass(200*time.Millisecond, map[string]int{"t1": 3, "t2": 0})
	must.Eq(t, 9, l.total())
	// A limit that becomes known later is free by the same answers.
	l.pool("profile/q", KindLimit, 5)
	l.pass(200*time.Millisecond, nil)
	must.Eq(t, 5, l.takeAll("profile/q"))
}
