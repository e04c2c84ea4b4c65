package capacity

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A VM that has left the view must not reuse a unit that comes free: the new home
// has reserved it only until the running task ends.
func TestLeaverReusesNoLimitUnit(t *testing.T) {
	c := newLimitCluster(t)
	_, others := c.home()
	leaver := c.states[others[0]]
	c.want(others[0], limitPool, 3)
	must.True(t, leaver.Take(limitPool))
	v := View{ID: "v2", Parent: "v1", Members: []Member{member(others[1])}, Leavers: []Member{member(others[0])}}
	leaver.SetView(c.now, v)
	leaver.Give(c.now, limitPool)
	must.False(t, leaver.Take(limitPool))
}

// takeAll lets every VM in turn take all units that it can get.
func (c *cluster) takeAll(pool string) int {
	total := 0
	for _, id := range c.order {
		c.want(id, pool, 12)
		c.run(10 * time.Millisecond)
		total += c.take(id, pool)
		c.want(id, pool, 0)
	}
	return total
}

// Tasks of earlier processes may run when the first view is installed, also under
// limits that are configured later.
func TestLimitsAreBlockedAfterFirstView(t *testing.T) {
	c := newCluster(t, Options{ReclaimAfter: time.Second}, "a", "b", "c")
	c.view("v1", "", "a", "b", "c")
	c.pool(limitPool, KindLimit, 12)
	must.Eq(t, 0, c.takeAll(limitPool))
	c.run(time.Second)
	must.Eq(t, 12, c.takeAll(limitPool))
}

// When a VM has missed a view, the reservation of its units may be over and the units
// lent again.
func TestVMThatMissedAViewReusesNoUnit(t *testing.T) {
	c := newLimitCluster(t)
	_, others := c.home()
	s := c.states[others[0]]
	must.True(t, s.Take(limitPool))
	v := View{ID: "v3", Parent: "v2", Members: []Member{member("a"), member("b"), member("c")}}
	c.send(others[0], s.SetView(c.now, v))
	c.give(others[0], limitPool, 1)
	must.False(t, s.Take(limitPool))
}

// Only a complete ledger tells whether the units of a VM that missed a view are
// free; until then they may be lent to others as well.
func TestUnitsOfVMThatMissedAViewWaitForCompleteLedger(t *testing.T) {
	for name, reported := range map[string]bool{"unknown": false, "blocked": true} {
		t.Run(name, func(t *testing.T) {
			c := newLimitCluster(t)
			home, others := c.home()
			must.True(t, c.states[others[0]].Take(limitPool))
			v := View{ID: "v3", Parent: "v2", Members: []Member{member("a"), member("b"), member("c")}}
			install := func(id string) { c.send(id, c.states[id].SetView(c.now, v)) }
			install(home)
			install(others[0])
			if reported {
				install(others[1])
			}
			c.run(10 * time.Millisecond)
			c.give(others[0], limitPool, 1)
			c.run(10 * time.Millisecond)
			must.Eq(t, 0, c.take(home, limitPool))
			install(others[1])
			c.run(1100 * time.Millisecond)
			must.Eq(t, 12, c.takeAll(limitPool))
		})
	}
}

// The configuration may reach a new VM after the ledger that is handed over to it.
func TestHomeThatLearnsOfALimitLateKeepsTheReservations(t *testing.T) {
	c := newCluster(t, Options{ReclaimAfter: time.Second, LeaverTimeout: time.Second}, "a", "b", "c")
	newcomer := homeOf([]Member{member("a"), member("b"), member("c")}, limitPool)
	old := slices.DeleteFunc(slices.Clone(c.order), func(id string) bool { return id == newcomer })
	limit := Pool{Name: limitPool, Kind: KindLimit, Capacity: 12}
	for _, id := range old {
		c.send(id, c.states[id].SetPool(c.now, limit))
	}
	c.view("v1", "", old...)
	c.run(time.Second)
	home := homeOf([]Member{member(old[0]), member(old[1])}, limitPool)
	leaver := old[0]
	if leaver == home {
		leaver = old[1]
	}
	c.want(leaver, limitPool, 12)
	c.run(10 * time.Millisecond)
	must.Eq(t, 12, c.take(leaver, limitPool))
	v2 := View{ID: "v2", Parent: "v1", Members: []Member{member(home)}, Leavers: []Member{member(leaver)}}
	for _, id := range old {
		c.send(id, c.states[id].SetView(c.now, v2))
	}
	c.run(500 * time.Millisecond)
	c.view("v3", "v2", home, newcomer)
	c.send(newcomer, c.states[newcomer].SetPool(c.now, limit))
	c.want(newcomer, limitPool, 12)
	c.run(10 * time.Millisecond)
	must.Eq(t, 0, c.take(newcomer, limitPool))
}

// The blocked home of a limit must not use a unit that a VM which missed a view
// returns: it does not know yet whether the unit is lent again.
func TestBlockedHomeUsesNoUnitOfVMThatMissedAView(t *testing.T) {
	c := newLimitCluster(t)
	home, others := c.home()
	must.True(t, c.states[others[0]].Take(limitPool))
	c.view("v3", "v2", "a", "b", "c")
	c.give(others[0], limitPool, 1)
	c.run(20 * time.Millisecond)
	must.False(t, c.states[home].Take(limitPool))
	c.run(time.Second)
	must.Eq(t, 12, c.takeAll(limitPool))
}
