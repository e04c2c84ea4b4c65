package prepared

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/burdockward/burdockward/platform/wire"
)

const (
	// configurationBound is the time within which a configuration must be in force in each process. It
	// counts from the acknowledgement, or from the end of the store's last outage if that is later.
	configurationBound = 2 * time.Second
	// calmTime is how long a process must have run without a fault before the bound holds for it.
	calmTime = 3 * time.Second
	// keptRoutes is the number of newest versions whose routes a configuration has: more than are written
	// within configurationBound.
	keptRoutes = 16
	// probeInterval is the time between two checks of a VM.
	probeInterval = 100 * time.Millisecond
	// minChangePause and maxChangePause bound the time between two changes of the configuration.
	minChangePause = 500 * time.Millisecond
	maxChangePause = 3500 * time.Millisecond
)

// configured has the configurations that the operator has written.
type configured struct {
	mu sync.Mutex
	// acknowledged is when the store confirmed each version; the first one is 1.
	acknowledged []time.Time
}

// due returns the newest version that was confirmed before a time, and when; 0 if none was.
func (c *configured) due(before time.Time) (version int, acknowledged time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for version := len(c.acknowledged); version > 0; version-- {
		if at := c.acknowledged[version-1]; at.Before(before) {
			return version, at
		}
	}
	return 0, time.Time{}
}

// Configure writes a new configuration and returns its version. Each one adds a route, which the next
// ones keep for a while.
func (d *Deployment) Configure() int64 {
	d.configured.mu.Lock()
	defer d.configured.mu.Unlock()
	version := len(d.configured.acknowledged) + 1
	configuration := wire.Configuration{
		Version: int64(version),
		Routes: []wire.Route{{
			Name: "queue", Host: Host, PathPrefix: Path, Service: "service", Attempts: 3, Stretch: 3, TargetLatencyMS: 500,
		}, {
			Name: "advised", Host: Host, PathPrefix: AdvisedPath, Service: "service", Attempts: 3, Stretch: 3, TargetLatencyMS: 500,
			Advice: &wire.AdvicePolicy{DecideMS: float64(adviceTime.Milliseconds()), EachMS: 0.5, ValidMS: float64(ticketLifetime.Milliseconds())},
		}},
	}
	configuration.Limits.MaxBodyBytes = d.options.MaxBodyBytes
	for added := max(version-keptRoutes, 0) + 1; added <= version; added++ {
		configuration.Routes = append(configuration.Routes, wire.Route{
			Name: fmt.Sprint("version-", added), Host: Host, PathPrefix: versionPath(added), Service: "service", Attempts: 3, Stretch: 3, TargetLatencyMS: 500,
		})
	}
	d.Store.Write(wire.OperatorTable, wire.ConfigurationKey, configuration)
	d.configured.acknowledged = append(d.configured.acknowledged, time.Now())
	return int64(version)
}

// versionPath is the path of the route that a version of the configuration has added.
func versionPath(version int) string { return fmt.Sprintf("/version-%d/", version) }

// changeConfiguration writes configurations until the context ends.
func (d *Deployment) changeConfiguration(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		pause(ctx, minChangePause+time.Duration(random.Int64N(int64(maxChangePause-minChangePause))))
		d.Configure()
	}
}

// checkConfiguration probes a VM for the route of the newest configuration that is due, until the context
// ends, and records a violation if a calm VM doesn't have it. disturbed returns when a fault of the VM's
// process last ended, or now during one.
func (d *Deployment) checkConfiguration(ctx context.Context, vm *VM, disturbed func() time.Time) {
	client := newProbeClient()
	for ctx.Err() == nil {
		sent := time.Now()
		version, acknowledged := d.configured.due(sent.Add(-configurationBound))
		calm := sent.Sub(d.Store.lastUnavailableFor(vm.StoreIP)) > configurationBound && sent.Sub(disturbed()) > calmTime
		if version > 0 && calm && probeRoute(ctx, client, vm, version) == http.StatusNotFound && disturbed().Before(sent) {
			d.Recorder.addViolation(fmt.Sprintf("%s didn't have configuration %d in force %v after its acknowledgement", vm.Name, version, sent.Sub(acknowledged)))
		}
		pause(ctx, probeInterval)
	}
}

// AwaitConfiguration waits until a VM has a version of the configuration in force, and reports whether it
// has within a time after the version was confirmed.
func (d *Deployment) AwaitConfiguration(ctx context.Context, vm *VM, version int64, within time.Duration) bool {
	d.configured.mu.Lock()
	deadline := d.configured.acknowledged[version-1].Add(within)
	d.configured.mu.Unlock()
	client := newProbeClient()
	for ctx.Err() == nil {
		if sent := time.Now(); probeRoute(ctx, client, vm, int(version)) == http.StatusOK {
			return !sent.After(deadline)
		}
		pause(ctx, probeInterval)
	}
	return false
}

// newProbeClient returns a client that opens a connection for each probe.
func newProbeClient() *http.Client {
	return &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
}

// probeRoute asks a VM for the route of a version and returns the status: 200 if the VM has the route, 404 if
// not, and 0 without an answer.
func probeRoute(ctx context.Context, client *http.Client, vm *VM, version int) (status int) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.Frontend()+versionPath(version), nil)
	if err != nil {
		return 0
	}
	request.Host = Host
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
