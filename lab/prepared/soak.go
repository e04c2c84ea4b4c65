package prepared

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
)

// Rates, times and limits of the soak test.
const (
	// soakJobsPerSecond is the rate of best-effort jobs, soakDurablePerSecond that of durable
	// ones.
	soakJobsPerSecond, soakDurablePerSecond = 60, 15
	// soakCancelsPerSecond is the rate of durable jobs whose callers cancel them.
	soakCancelsPerSecond = 4
	// soakMaxPause is the longest time between the starts of two faults, soakMaxFault the longest
	// fault. Faults often overlap, since a fault may last longer than a pause.
	soakMaxPause = 3 * time.Second
	soakMaxFault = 4 * time.Second
	// soakMaxLostShare is the share of best-effort jobs that may have no answer because the VMs
	// that their callers called were lost.
	soakMaxLostShare = 0.02
)

// SoakCommand is the command that runs the soak test: load under random faults.
func SoakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run burdockward on simulated machines of the platform under random faults, and check what callers and targets see",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "binary", Usage: "`PATH` of the daemon's binary", Value: "bin/burdockward"},
			&cli.DurationFlag{Name: "for", Usage: "time during which faults begin", Value: 2 * time.Minute},
			&cli.FloatFlag{Name: "cpu-share", Usage: "share of a core of each VM; with 0.01 owners need relays", Value: defaultCPUShare},
			&cli.BoolFlag{Name: "more", Usage: "have callers cancel jobs, the store apply writes late, and another writer leave odd rows in all tables"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the faults; equal seeds draw equal faults", Value: 1},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return Soak(ctx, SoakOptions{
				Binary: cmd.String("binary"), Length: cmd.Duration("for"), Seed: cmd.Uint64("seed"), CPUShare: cmd.Float("cpu-share"), MoreFaults: cmd.Bool("more"),
			})
		},
	}
}

// SoakOptions configures a soak test.
type SoakOptions struct {
	Binary string
	// Length is the time during which faults begin. Equal seeds draw equal faults.
	Length time.Duration
	Seed   uint64
	// CPUShare is the share of a core of each VM; 0 stands for the usual one.
	CPUShare float64
	// MoreFaults adds callers that cancel their jobs, and moreFaults. Without it seeds draw the faults that
	// they drew before there were more.
	MoreFaults bool
}

// faults returns the faults to draw from.
func (o SoakOptions) faults() []fault {
	if o.MoreFaults {
		return slices.Concat(soakFaults, moreFaults)
	}
	return soakFaults
}

// Soak starts a deployment of a binary, runs load and random faults on it and checks the result. The logs are
// kept if a check fails.
func Soak(ctx context.Context, o SoakOptions) error {
	binary, err := filepath.Abs(o.Binary)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "burdockward-soak")
	if err != nil {
		return err
	}
	d, err := Start(Options{Binary: binary, Dir: dir, Domains: demoDomains, VMs: demoVMs, Targets: demoTargets, CPUShare: o.CPUShare})
	if err != nil {
		return err
	}
	defer d.Stop()
	if !d.WaitReady(demoStartTimeout) {
		return errors.New("not all VMs are ready in time: check that their loopback addresses are free")
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	tally, durable := make(chan *Tally, 1), make(chan *DurableTally, 1)
	go func() { tally <- d.Load(load, soakJobsPerSecond) }()
	go func() { durable <- d.LoadDurable(load, soakDurablePerSecond) }()
	cancels := make(chan *CancelTally, 1)
	go func() {
		if !o.MoreFaults {
			cancels <- &CancelTally{}
			return
		}
		cancels <- d.LoadCancelled(load, soakCancelsPerSecond)
	}()
	s := &soaker{Deployment: d, kinds: o.faults(), random: rand.New(rand.NewPCG(o.Seed, 0)), faulty: map[*VM]bool{}, released: map[*VM]time.Time{}}
	go d.changeConfiguration(load, rand.New(rand.NewPCG(o.Seed, 1)))
	for _, vm := range d.VMs {
		go d.checkConfiguration(load, vm, func() time.Time { return s.lastFaulty(vm) })
	}
	counts := s.injectRandomFaults(ctx, o.Length)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Printf("%4d %s\n", counts[name], name)
	}
	pause(ctx, demoStepTime)
	stop()
	if err := d.checkSoak(<-tally, <-durable, <-cancels); err != nil {
		return fmt.Errorf("%w; logs are in %s", err, dir)
	}
	return os.RemoveAll(dir)
}

// soaker injects faults into a deployment. Each VM has at most one fault of its process at a time.
type soaker struct {
	*Deployment
	random *rand.Rand
	// kinds are the faults to draw from.
	kinds []fault

	mu sync.Mutex
	// faulty has the VMs whose process has a fault, released when the last fault of each ended.
	faulty   map[*VM]bool
	released map[*VM]time.Time
}

// lastFaulty is when the last fault of a VM's process ended, or now during one.
func (s *soaker) lastFaulty(vm *VM) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faulty[vm] {
		return time.Now()
	}
	return s.released[vm]
}

// reserve marks a VM as faulty and reports whether it was not before.
func (s *soaker) reserve(vm *VM) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if vm == nil || s.faulty[vm] {
		return false
	}
	s.faulty[vm] = true
	return true
}

// release marks a VM as free of faults.
func (s *soaker) release(vm *VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.faulty, vm)
	s.released[vm] = time.Now()
}

// injectInto begins a fault of a VM's process unless it has one, and returns what ends the fault.
func (s *soaker) injectInto(vm *VM, begin, heal func(*VM)) (end func()) {
	if !s.reserve(vm) {
		return nothing
	}
	begin(vm)
	return func() {
		heal(vm)
		s.release(vm)
	}
}

// drawVM draws a VM.
func (s *soaker) drawVM() *VM { return s.VMs[s.random.IntN(len(s.VMs))] }

func kill(vm *VM) { vm.Kill() }

func restart(vm *VM) {
	_ = vm.Wait(context.Background())
	_ = vm.Start()
}

func nothing() {}

// fault is a kind of fault: begin injects it and returns what ends it.
type fault struct {
	name  string
	begin func(s *soaker) (end func())
}

// soakFaults are the faults of the soak test, each drawn with the same probability.
var soakFaults = []fault{
	{"VM killed", func(s *soaker) func() { return s.injectInto(s.drawVM(), kill, restart) }},
	{"owner killed", func(s *soaker) func() { return s.injectInto(s.Owner(s.random.IntN(s.options.Domains)), kill, restart) }},
	{"VM frozen", func(s *soaker) func() {
		return s.injectInto(s.drawVM(), func(vm *VM) { vm.Signal(syscall.SIGSTOP) }, func(vm *VM) { vm.Signal(syscall.SIGCONT) })
	}},
	{"VM stopped as planned", func(s *soaker) func() {
		return s.injectInto(s.drawVM(), func(vm *VM) { vm.Signal(syscall.SIGTERM) }, restart)
	}},
	{"failure domain killed", func(s *soaker) func() {
		domain := domainName(s.random.IntN(s.options.Domains))
		var ends []func()
		for _, vm := range s.VMs {
			if vm.Domain == domain {
				ends = append(ends, s.injectInto(vm, kill, restart))
			}
		}
		return func() {
			for _, end := range ends {
				end()
			}
		}
	}},
	{"store away", func(s *soaker) func() {
		s.Store.SetUnavailable("", true)
		return func() { s.Store.SetUnavailable("", false) }
	}},
	{"store silent", func(s *soaker) func() {
		s.Store.SetSilent(true)
		return func() { s.Store.SetSilent(false) }
	}},
	{"store away for one VM", func(s *soaker) func() {
		vm := s.drawVM()
		s.Store.SetUnavailable(vm.StoreIP, true)
		return func() { s.Store.SetUnavailable(vm.StoreIP, false) }
	}},
	{"answers of the store lost", func(s *soaker) func() {
		s.Store.LoseAnswers(1 + s.random.IntN(4))
		return nothing
	}},
	{"history of the store lost", func(s *soaker) func() {
		s.Store.Compact()
		return nothing
	}},
	{"target silent", func(s *soaker) func() {
		target := s.Targets[s.random.IntN(len(s.Targets))]
		target.SetSilent(true)
		return func() { target.SetSilent(false) }
	}},
	{"target hung", func(s *soaker) func() {
		target := s.Targets[s.random.IntN(len(s.Targets))]
		target.SetHung(true)
		return func() { target.SetHung(false) }
	}},
	{"orders late and lost", func(s *soaker) func() {
		s.SetOrderFaults(0.04, 0.04)
		return func() { s.SetOrderFaults(0, 0) }
	}},
	{"rows of another writer", func(s *soaker) func() { return s.writeForeignRows() }},
	{"failure domain cordoned", func(s *soaker) func() {
		domain := domainName(s.random.IntN(s.options.Domains))
		s.SetCordon(domain, true)
		return func() {
			time.Sleep(cordonedTime)
			s.SetCordon(domain, false)
		}
	}},
	{"new configuration", func(s *soaker) func() {
		s.Configure()
		return nothing
	}},
}

// moreFaults are the further faults of SoakOptions.MoreFaults.
var moreFaults = []fault{
	{"writes of the store late", func(s *soaker) func() {
		s.Store.SetLateWrites(0.35)
		return func() { s.Store.SetLateWrites(0) }
	}},
	{"odd rows of another writer", func(s *soaker) func() {
		return s.WriteOddRows(s.Targets[s.random.IntN(len(s.Targets))], s.random.IntN(len(oddTargets)))
	}},
}

// injectRandomFaults injects random faults for a time, several at once, waits until all have ended,
// and counts them by name.
func (s *soaker) injectRandomFaults(ctx context.Context, length time.Duration) map[string]int {
	counts := map[string]int{}
	ended := make(chan struct{}, len(s.kinds))
	open := 0
	for end := time.Now().Add(length); time.Now().Before(end) && ctx.Err() == nil; {
		f := s.kinds[s.random.IntN(len(s.kinds))]
		duration := time.Duration(s.random.Int64N(int64(soakMaxFault)))
		next := time.Duration(s.random.Int64N(int64(soakMaxPause)))
		counts[f.name]++
		heal := f.begin(s)
		open++
		go func() {
			pause(ctx, duration)
			heal()
			ended <- struct{}{}
		}()
		pause(ctx, next)
		for ; open > 0 && len(ended) > 0; open-- {
			<-ended
		}
	}
	for ; open > 0; open-- {
		<-ended
	}
	return counts
}

// checkSoak prints the counts and returns an error for the first outcome that must not occur.
func (d *Deployment) checkSoak(tally *Tally, durable *DurableTally, cancels *CancelTally) error {
	fmt.Println("best effort:", tally)
	fmt.Println("durable:", durable)
	fmt.Println("cancelled:", cancels)
	jobs := tally.Completed + tally.Failed + tally.Refused + tally.Lost
	switch doubled, repeated := d.Recorder.Doubled(), d.Recorder.Repeated(); {
	case len(doubled) > 0:
		return fmt.Errorf("tasks ran twice at the same time: %v", doubled)
	case len(tally.FalseRefusals) > 0:
		return fmt.Errorf("jobs were refused although they had started: %v", tally.FalseRefusals)
	case len(d.Recorder.Violations()) > 0:
		return fmt.Errorf("starts broke rules: %v", d.Recorder.Violations())
	case len(cancels.Violations) > 0:
		return fmt.Errorf("cancelled jobs were started: %v", cancels.Violations)
	case len(durable.Violations) > 0:
		return fmt.Errorf("durable jobs had wrong outcomes: %v", durable.Violations)
	case len(tasksOfDurable(repeated)) > 0:
		return fmt.Errorf("tasks of durable jobs started again after they were done: %v", tasksOfDurable(repeated))
	case float64(tally.Lost) > soakMaxLostShare*float64(jobs):
		return fmt.Errorf("%d of %d jobs had no answer", tally.Lost, jobs)
	}
	fmt.Println("no task ran twice at the same time, no accepted job was lost, no refused job had started, and configurations were in force in time")
	return nil
}

// tasksOfDurable returns the tasks of durable jobs. Tasks of other jobs may run again when their
// callers send them again.
func tasksOfDurable(tasks []string) []string {
	var durable []string
	for _, task := range tasks {
		if strings.HasPrefix(task, durablePrefix) {
			durable = append(durable, task)
		}
	}
	return durable
}
