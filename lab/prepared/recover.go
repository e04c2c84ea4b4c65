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

// Sizes and times of the recovery measurement.
const (
	// recoverVMs and recoverTargets are numbers in each failure domain.
	recoverDomains, recoverVMs, recoverTargets = 3, 2, 4
	// recoverSenders is the number of callers that submit jobs concurrently.
	recoverSenders = 64
	// recoverDue is the time until the jobs are due, so that none starts during the measurement.
	recoverDue = time.Hour
	// recoverTimeout is how long the VMs have to know all jobs again.
	recoverTimeout = 30 * time.Second
)

// RecoverCommand is the command that measures how long it takes until durable jobs are known again
// after the loss of all VMs.
func RecoverCommand() *cli.Command {
	return &cli.Command{
		Name:  "recover",
		Usage: "submit durable jobs that are due later, kill all VMs at once, and measure the time until each job is known again",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "binary", Usage: "`PATH` of the daemon's binary", Value: "bin/burdockward"},
			&cli.IntFlag{Name: "jobs", Usage: "number of durable jobs", Value: 10_000},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return measureRecovery(ctx, cmd.String("binary"), cmd.Int("jobs"))
		},
	}
}

// measureRecovery submits jobs, kills and restarts all VMs, and prints the times until the VMs are
// ready and the jobs are pending again.
func measureRecovery(ctx context.Context, binary string, jobs int) error {
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
	if !d.WaitReady(demoStartTimeout) {
		return errors.New("not all VMs are ready in time: check that their loopback addresses are free")
	}
	began := time.Now()
	ids := d.submitFutureJobs(jobs)
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
	if !d.WaitReady(demoStartTimeout) {
		return errors.New("not all VMs are ready again in time")
	}
	fmt.Printf("all VMs ready after %v\n", time.Since(began).Round(time.Millisecond))
	if missing := d.awaitPending(ctx, len(ids), recoverTimeout); missing > 0 {
		return fmt.Errorf("%d jobs are not pending again after %v", missing, recoverTimeout)
	}
	fmt.Printf("all jobs pending again after %v\n", time.Since(began).Round(time.Millisecond))
	return d.checkQueued(ids)
}

// submitFutureJobs submits durable jobs that are due after recoverDue, and returns the IDs of the
// accepted ones.
func (d *Deployment) submitFutureJobs(jobs int) []string {
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
				id := fmt.Sprintf("%s%015x", durablePrefix, rand.Uint64()>>4)
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

// awaitPending waits until the first VM reports all jobs as pending, and returns how many are
// missing at the timeout.
func (d *Deployment) awaitPending(ctx context.Context, jobs int, timeout time.Duration) int {
	client := &http.Client{}
	pending := 0
	for end := time.Now().Add(timeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		if pending = d.requestPending(client); pending >= jobs {
			return 0
		}
	}
	return jobs - pending
}

// requestPending asks the first VM for the number of pending jobs; 0 without an answer.
func (d *Deployment) requestPending(client *http.Client) int {
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

// checkQueued requests the state of each job, and returns an error unless all are queued.
func (d *Deployment) checkQueued(ids []string) error {
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
				if status, state := d.requestState(client, http.MethodGet, domainName(int(i)%recoverDomains), ids[i]); status != http.StatusOK || state != "queued" {
					unknown.Add(1)
				}
			}
		})
	}
	askers.Wait()
	if n := unknown.Load(); n > 0 {
		return fmt.Errorf("%d of %d jobs are not reported as queued", n, len(ids))
	}
	fmt.Printf("all %d jobs are reported as queued\n", len(ids))
	return nil
}
