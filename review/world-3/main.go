// The stand-ins of the cases 9 to 13: a small deployment on loopback addresses, with the daemons as
// processes of their own, and a judge of what clients, executors and the platform have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"
)

// Exit statuses of a script.
const (
	held   = 0
	broken = 1
	unable = 2
)

// caseRun plays a case and returns what broke the rule; "" if it held. The error means that it couldn't run.
type caseRun func(r *record, seed uint64, trouble bool) (string, error)

var cases = map[string]caseRun{
	"zone-gone":  zoneGone,
	"distrusted": distrusted,
	"lasting":    lastingAfterCrash,
	"memory":     behindLargeMemory,
	"evacuated":  evacuated,
	"cancel":     cancelWhileStored,
	"counts":     hugeCounts,
	"pending":    pendingAfterTakeover,
	"adopt":      adoptedWhileTakenOver,
	"kind":       otherKind,
	"far-future": farFuture,
}

// limit is the longest time of a script.
const limit = 118 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: world-3 CASE RECORD")
		os.Exit(unable)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unable)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	seed, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if err != nil {
		seed = uint64(time.Now().UnixNano())
	}
	r.add("test", "case %s, seed %d, trouble %v", os.Args[1], seed, trouble)
	os.Exit(run(r, cases[os.Args[1]], seed, trouble))
}

func run(r *record, play caseRun, seed uint64, trouble bool) int {
	type result struct {
		why string
		err error
	}
	results := make(chan result, 1)
	go func() {
		why, err := play(r, seed, trouble)
		results <- result{why, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case got := <-results:
		endAll()
		switch {
		case got.err != nil:
			r.add("test", "could not run: %v", got.err)
			fmt.Println("could not run:", got.err)
			return unable
		case got.why != "":
			r.add("judge", "BROKEN: %s", got.why)
			fmt.Println("BROKEN:", got.why)
			return broken
		}
		r.add("judge", "held")
		fmt.Println("held")
		return held
	case <-time.After(limit):
		fmt.Println("could not run: it took too long")
	case <-signals:
	}
	endAll()
	return unable
}

// started are the worlds whose processes have to be ended.
var started []*world

func endAll() {
	for _, w := range started {
		w.stop()
	}
}

// deploy makes a deployment with the zones and machines of a small site, three zones with perZone machines.
func deploy(r *record, seed uint64, perZone int, prepare func(*world) error) (*world, error) {
	w, err := newWorld(r, seed, []string{"hall-a", "hall-b", "hall-c"})
	if err != nil {
		return nil, err
	}
	started = append(started, w)
	if err := prepare(w); err != nil {
		return w, err
	}
	w.configure(1)
	return w, w.startFleet(perZone)
}
