package prepared

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/burdockward/burdockward/platform/wire"
)

// Sizes and times of the recovery.
const (
	recoverDomains, recoverVMs, recoverTargets = 3, 2, 4
	// recoverSenders hand in jobs side by side.
	recoverSenders = 64
	// recoverDue is when the jobs are due: long after the measurement.
	recoverDue = time.Hour
	// recoverLimit bounds the wait for the jobs.
	recoverLimit = 30 * time.Second
)

// RecoverCommand measures how long kept jobs take to be back after all VMs are lost.
func RecoverCommand() *cli.Command {
	return &cli.Command{
		Name:  "recover",
		Usage: "hand in kept jobs that wait, kill all VMs at once, and time until each job is known again",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "binary", Usage: "the daemon's program", Value: "bin/burdockward"},
			&cli.IntFlag{Name: "jobs", Usage: "how many jobs are kept", Value: 10_000},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return recoverAll(ctx, cmd.String("binary"), cmd.Int("jobs"))
		},
	}
}

func recoverAll(ctx context.Context, binary string, jobs int) error {
	binary, err := filepath.Abs(binary)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "burdockward-recover")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d, err := Start(Options{Binary: binary, Dir: dir, Domains: recoverDomains, VMs: recoverVMs, Targets: recoverTargets})
	if err != nil {
		return err
	}
	defer d.Stop()
	if !d.WaitReady(demoStart) {
		return errors.New("not all VMs were ready in time: see whether the loopback addresses are free")
	}
	began := time.Now()
	ids := d.handInWaiting(jobs)
	fmt.Printf("%d of %d jobs accepted in %v\n", len(ids), jobs, time.Since(began).Round(time.Millisecond))
	for _, vm := range d.VMs {
		vm.Kill()
	}
	began = time.Now()
	for _, vm := range d.VMs {
		if err := vm.Start(); err != nil {
			return err
		}
	}
	if !d.WaitReady(demoStart) {
		return errors.New("not all VMs were ready again in time")
	}
	fmt.Printf("all VMs ready after %v\n", time.Since(began).Round(time.Millisecond))
	if missing := d.pendingBy(ctx, len(ids), recoverLimit); missing > 0 {
		return fmt.Errorf("%d jobs are not pending again after %v", missing, recoverLimit)
	}
	fmt.Printf("all jobs pending again after %v\n", time.Since(began).Round(time.Millisecond))
	return d.eachKnown(ids)
}

// handInWaiting hands in jobs that are due later, and returns those that were accepted.
func (d *Deployment) handInWaiting(jobs int) []string {
	due := time.Now().Add(recoverDue)
	body, err := json.Marshal(wire.Job{
		Spec: "20", Steps: []wire.Step{{Count: 2, CPU: taskCPU, MemoryMB: 64, EstimateMS: 20}},
		RepeatCount: 1, FirstRunMS: float64(due.UnixMilli()),
	})
	if err != nil {
		panic("encode job: " + err.Error())
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: recoverSenders}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var ids []string
	var next atomic.Int64
	var senders sync.WaitGroup
	for range recoverSenders {
		senders.Go(func() {
			for next.Add(1) <= int64(jobs) {
				id := fmt.Sprintf("%s%015x", keptDigit, rand.Uint64()>>4)
				if status, _ := post(client, d.VMs[rand.IntN(len(d.VMs))], Path+id, body); status == http.StatusOK {
					mu.Lock()
					ids = append(ids, id)
					mu.Unlock()
				}
			}
		})
	}
	senders.Wait()
	return ids
}

// pendingBy waits until a VM counts all jobs as pending, and returns how many it misses.
func (d *Deployment) pendingBy(ctx context.Context, jobs int, within time.Duration) int {
	client := &http.Client{}
	pending := 0
	for end := time.Now().Add(within); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		if pending = d.pending(client); pending >= jobs {
			return 0
		}
	}
	return jobs - pending
}

func (d *Deployment) pending(client *http.Client) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+d.VMs[0].Frontend()+Path, http.NoBody)
	if err != nil {
		return 0
	}
	request.Host = Host
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	var answer wire.Pending
	_ = json.NewDecoder(response.Body).Decode(&answer)
	return answer.Pending
}

// eachKnown asks for the state of each job.
func (d *Deployment) eachKnown(ids []string) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: recoverSenders}}
	defer client.CloseIdleConnections()
	var unknown, next atomic.Int64
	var askers sync.WaitGroup
	for range recoverSenders {
		askers.Go(func() {
			for {
				i := next.Add(1) - 1
				if i >= int64(len(ids)) {
					return
				}
				if status, state := d.ask(client, http.MethodGet, domainName(int(i)%recoverDomains), ids[i]); status != http.StatusOK || state != "queued" {
					unknown.Add(1)
				}
			}
		})
	}
	askers.Wait()
	if n := unknown.Load(); n > 0 {
		return fmt.Errorf("%d of %d jobs are not told as queued", n, len(ids))
	}
	fmt.Printf("all %d jobs are told as queued\n", len(ids))
	return nil
}
