package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/burdockward/burdockward/platform/wire"
)

// Sizes of the case of the many routes.
const (
	manyRoutes = 350
	fewRoutes  = 8
)

func routePath(i int) string { return fmt.Sprintf("/team-%03d/", i) }

// configureRoutes writes a configuration with a number of teams' routes beside the first one.
func (w *world) configureRoutes(version int64, n int) {
	var teams []wire.Route
	for i := range n {
		teams = append(teams, routeOf(fmt.Sprintf("receipt-reimburse-%03d", i), routePath(i)))
	}
	w.configure(version, teams...)
}

// claimVersion is the version of a zone's claim.
func (w *world) claimVersion(zone string) int64 {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	return w.store.rows[rowID("owners", "", zone)].Version
}

// routes has the configuration grow by many routes. A kept job of each team waits then, behind four that
// take longer than their estimate.
func routes(w *world) (bool, error) {
	teams := fewRoutes
	if w.trouble {
		teams = manyRoutes
	}
	w.configureRoutes(9, teams)
	w.record.say("the configuration has %d teams' routes", teams)
	time.Sleep(3 * time.Second)
	queues := map[string][]job{}
	accepted := 0
	for i := range manyRoutes {
		work, estimate := 100, 100.0
		if i < 4 {
			work, estimate = 20000, 4000.0
		}
		j := newJob(fmt.Sprintf("work=%d", work), step{Count: 1, CPU: 30000, MemoryMB: 64, EstimateMS: estimate, Requires: "r1-1"})
		w.demands.set(j.ID, []wire.Resources{{CPU: 30000, MemoryMB: 64}})
		for range 20 {
			if status, _ := w.send(w.in(w.zones[0])[i%2], http.MethodPost, routePath(i%teams)+j.ID, j); status == http.StatusOK {
				queues[routePath(i%teams)] = append(queues[routePath(i%teams)], j)
				accepted++
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	w.record.say("%d of %d jobs accepted", accepted, manyRoutes)
	time.Sleep(visibleTime + pendingDelay)
	return w.judgePending(queues)
}

// judgePending asks a machine of another zone for the waiting jobs of each queue in turn.
func (w *world) judgePending(queues map[string][]job) (bool, error) {
	asked := w.in(w.zones[1])[0]
	began, claims, last := time.Now(), 0, w.claimVersion(w.zones[0])
	wrong, asks := 0, 0
	for time.Since(began) < 5*time.Second {
		for path, jobs := range queues {
			if v := w.claimVersion(w.zones[0]); v != last {
				claims, last = claims+1, v
			}
			status, answer := w.send(asked, http.MethodGet, path, nil)
			shown, _ := answer["pending"].(float64)
			waiting := 0
			for _, j := range jobs {
				if w.runs.awayFor(j.tasks()[0]) < 0 {
					waiting++
				}
			}
			if status != http.StatusOK || waiting == 0 {
				continue
			}
			if asks++; 2*int(shown) < waiting {
				if wrong++; wrong <= 5 {
					w.record.add("MIXED      %s shows %d pending at %s, %d have waited for over 5 s", asked.name, int(shown), path, waiting)
				}
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	w.record.say("in 5 s %d of %d answers show under half of the waiting jobs; the claim of %s was written %d times", wrong, asks, w.zones[0], claims)
	if asks == 0 {
		return false, errUnplayable("no job waits")
	}
	return wrong == 0, nil
}
