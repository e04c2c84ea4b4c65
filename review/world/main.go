package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases holds the cases by name. A case returns false if it could not run.
var cases = map[string]struct {
	size size
	play func(w *world, trouble bool) bool
}{
	"lost-executor": {size{2, 4}, lostExecutor},
	"large-job":     {size{2, 4}, largeJob},
	"lost-zone":     {size{2, 4}, lostZone},
}

// caseLimit ends a case that takes too long.
const caseLimit = 115 * time.Second

func main() {
	name := flag.String("case", "", "the case to play")
	repo := flag.String("repo", ".", "the root of the repository")
	record := flag.String("record", "record.txt", "the file to write the record to")
	flag.Parse()
	chosen, ok := cases[*name]
	if !ok {
		fmt.Println("no such case")
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(*repo, *record, chosen.size)
	if err != nil {
		fmt.Println("could not start:", err)
		if w != nil {
			w.close()
		}
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	ran := make(chan bool, 1)
	go func() {
		if !w.settle() {
			w.rec.say("the daemons did not get ready")
			ran <- false
			return
		}
		w.rec.say("all daemons are ready; trouble: %v", trouble)
		ran <- chosen.play(w, trouble)
	}()
	done := false
	select {
	case done = <-ran:
	case <-time.After(caseLimit):
		w.rec.say("the case took too long")
	case <-stop:
	}
	w.close()
	w.finish(done)
}

// finish prints the result and exits.
func (w *world) finish(done bool) {
	for _, d := range w.daemons {
		if d.crashes > 0 {
			w.broken("daemon %s ended by itself %d times", d.name, d.crashes)
		}
	}
	w.rec.line("the store refused %d calls beyond its rates", w.store.refused)
	switch {
	case !done:
		w.rec.say("RESULT: the case could not run")
		os.Exit(2)
	case len(w.faults) > 0:
		w.rec.say("RESULT: %d breaches", len(w.faults))
		os.Exit(1)
	}
	w.rec.say("RESULT: all rules held")
	os.Exit(0)
}
