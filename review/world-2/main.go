package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// playTime bounds a case.
const playTime = 115 * time.Second

// errUnplayable says that a case could not run.
type errUnplayable string

func (e errUnplayable) Error() string { return string(e) }

// plan is a case: the size of its deployment, and what is done. play reports whether the rule held.
type plan struct {
	zones, machines, executors int
	play                       func(*world) (bool, error)
}

// The plays of the cases, and of two lesser findings that the report names.
var plans = map[string]plan{
	"timed":    {zones: 3, machines: 2, executors: 4, play: timed},
	"row":      {zones: 3, machines: 2, executors: 4, play: growingRow},
	"cuts":     {zones: 3, machines: 2, executors: 4, play: cuts},
	"routes":   {zones: 3, machines: 2, executors: 4, play: routes},
	"label":    {zones: 3, machines: 2, executors: 6, play: label},
	"pending":  {zones: 3, machines: 2, executors: 4, play: pending},
	"takeover": {zones: 3, machines: 2, executors: 4, play: takeover},
}

func main() {
	name := flag.String("case", "", "the case to play")
	root := flag.String("root", ".", "the repository's root")
	path := flag.String("record", "record.txt", "the record to write")
	flag.Parse()
	os.Exit(run(*name, *root, *path))
}

func run(name, root, path string) int {
	p, ok := plans[name]
	if !ok {
		fmt.Println("no such case")
		return failed
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Println(err)
		return failed
	}
	w, err := newWorld(root, r, p.zones, p.machines, p.executors)
	defer w.stop()
	if err != nil {
		r.say("the case could not run: %v", err)
		return failed
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		held bool
		err  error
	}
	results := make(chan result, 1)
	go func() {
		ok, err := p.play(w)
		results <- result{ok, err}
	}()
	select {
	case out := <-results:
		switch {
		case out.err != nil:
			r.say("the case could not run: %v", out.err)
			return failed
		case out.held:
			r.say("the rule held")
			return held
		default:
			r.say("THE RULE WAS BROKEN")
			return broken
		}
	case <-signals:
		r.say("the case was ended")
	case <-time.After(playTime):
		r.say("the case took too long")
	}
	return failed
}
