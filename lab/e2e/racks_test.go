//go:build linux

package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/lab/standin/target"
)

// starts returns every start that the targets logged. Those of a killed rack are the ones read
// before it was killed.
func (w *world) starts() []target.Start {
	var all []target.Start
	for _, g := range w.groups {
		if !g.dead {
			g.last = w.startsOf(g)
		}
		all = append(all, g.last...)
	}
	return all
}

func (w *world) startsOf(g *targetGroup) []target.Start {
	var starts []target.Start
	decoder := json.NewDecoder(bytes.NewReader(w.call(http.MethodGet, g.control+"/starts?full=1", nil)))
	for decoder.More() {
		var s target.Start
		must.NoError(w.t, decoder.Decode(&s))
		starts = append(starts, s)
	}
	return starts
}

// summary returns the summary of the log of a rack's targets.
func (w *world) summary(group int) target.Summary {
	var s target.Summary
	must.NoError(w.t, json.Unmarshal(w.call(http.MethodGet, w.groups[group].control+"/starts", nil), &s))
	return s
}

// awaitRunningAt waits until at least n tasks run at a rack.
func (w *world) awaitRunningAt(group, n int) {
	w.t.Helper()
	w.await(fmt.Sprint(n, " tasks run at rack ", group), func() bool {
		return w.runningAt(group) >= n
	})
}

// runningAt counts the tasks that run at a rack.
func (w *world) runningAt(group int) int {
	w.t.Helper()
	running := 0
	for _, s := range w.targetStats(group) {
		running += s.Running
	}
	return running
}

// killRack kills the process of a rack's targets. It freezes them first, so that the log has every
// start when it is read for the last time.
func (w *world) killRack(group int) {
	w.targetFault(group, target.Faults{Frozen: true})
	g := w.groups[group]
	g.last = w.startsOf(g)
	g.dead = true
	g.process.kill()
}

// awaitUsed waits until at least n tasks with a label have run at once at rack 0.
func (w *world) awaitUsed(label string, n int) {
	w.t.Helper()
	w.await(fmt.Sprint(n, " tasks run with the label ", label), func() bool {
		return w.summary(0).MaxRunningByLabel[label] >= n
	})
}

// targetStats returns the counters of a rack's targets by id.
func (w *world) targetStats(group int) map[string]target.Stats {
	w.t.Helper()
	var list []target.Stats
	must.NoError(w.t, json.Unmarshal(w.call(http.MethodGet, w.groups[group].control+"/stats", nil), &list))
	stats := map[string]target.Stats{}
	for _, s := range list {
		stats[s.ID] = s
	}
	return stats
}
