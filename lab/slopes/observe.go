package slopes

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/burdockward/burdockward/lab/deploy"
	"github.com/burdockward/burdockward/lab/standin/platform"
)

const (
	callTimeout = 5 * time.Second
	megabyte    = 1 << 20
	// envelopesMetric counts the messages of each duty to peers. One message on the wire may carry
	// many of them.
	envelopesMetric = "burdockward_envelopes_sent"
	// heapMetric is the heap of a daemon in bytes, including garbage that was not yet collected.
	heapMetric = "go_memstats_heap_alloc_bytes"
)

// bench is a running deployment with the daemons that are measured.
type bench struct {
	*deploy.Deployment
	daemons     []daemon
	platformURL string
	http        *http.Client
}

// start starts a deployment and finds its daemons.
func (r *runner) start(ctx context.Context, o deploy.Options) (*bench, error) {
	o.Binaries = r.binaries
	o.LogLevel = "warn"
	d, err := deploy.Start(ctx, o)
	if err != nil {
		return nil, err
	}
	b := &bench{Deployment: d, http: &http.Client{Timeout: callTimeout}}
	if err := b.find(); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return b, nil
}

// find sets the daemons that run now, and the platform's URL from their settings.
func (b *bench) find() error {
	var entries []string
	for _, domain := range b.Domains() {
		entries = append(entries, domain.Entries...)
	}
	daemons, err := findDaemons(entries)
	if err != nil {
		return err
	}
	if len(daemons) == 0 {
		return errors.New("no daemon runs")
	}
	b.daemons = daemons
	b.platformURL = daemons[0].settings.Platform.URL
	return nil
}

func (b *bench) platformPort() (uint16, error) {
	u, err := url.Parse(b.platformURL)
	if err != nil {
		return 0, err
	}
	address, err := netip.ParseAddrPort(u.Host)
	return address.Port(), err
}

// snapshot holds the counters at one time.
type snapshot struct {
	at       time.Time
	usages   []usage
	messages deploy.Messages
	// envelopes counts the messages of all daemons to peers, by metric.
	envelopes costs
	table     platform.Stats
}

// snapshot reads the counters of the daemons and of the table service.
func (b *bench) snapshot(ctx context.Context) (snapshot, error) {
	s := snapshot{at: time.Now()}
	for _, d := range b.daemons {
		u, err := usageOf(d.pid)
		if err != nil {
			return s, err
		}
		s.usages = append(s.usages, u)
	}
	messages, err := b.Messages(ctx)
	if err != nil {
		return s, err
	}
	s.messages = messages
	s.envelopes = costs{}
	for _, d := range b.daemons {
		metrics, err := b.metrics(ctx, d)
		if err != nil {
			return s, err
		}
		for name, n := range metrics {
			if strings.HasPrefix(name, envelopesMetric) {
				s.envelopes[name] += n
			}
		}
	}
	s.table, err = b.tableStats(ctx)
	return s, err
}

// observe measures costs over a time while work runs; work may be nil. The costs are means over the
// daemons.
func (b *bench) observe(ctx context.Context, length time.Duration, work func(context.Context) error) (costs, error) {
	port, err := b.platformPort()
	if err != nil {
		return nil, err
	}
	before, err := b.snapshot(ctx)
	if err != nil {
		return nil, err
	}
	traffic := newCounter(b.daemons, port)
	watchBegan := time.Now()
	both, bothCtx := errgroup.WithContext(ctx)
	both.Go(func() error { return traffic.watch(bothCtx, length) })
	if work != nil {
		both.Go(func() error { return work(bothCtx) })
	}
	if err := both.Wait(); err != nil {
		return nil, err
	}
	trafficTime := time.Since(watchBegan).Seconds()
	after, err := b.snapshot(ctx)
	if err != nil {
		return nil, err
	}
	c := b.rates(before, after)
	b.addTraffic(c, traffic, trafficTime)
	return c, b.addHeap(ctx, c)
}

// rates returns the costs between two snapshots, as means over the daemons.
func (b *bench) rates(before, after snapshot) costs {
	seconds := after.at.Sub(before.at).Seconds()
	n := float64(len(b.daemons))
	c := costs{}
	for i := range b.daemons {
		busy := (after.usages[i].cpu - before.usages[i].cpu).Seconds()
		c["cpu_percent_of_core"] += 100 * busy / seconds / n
		c["rss_mb"] += float64(after.usages[i].rss) / megabyte / n
	}
	for kind, count := range after.messages {
		c["messages_s_"+kind] = (count - before.messages[kind]) / seconds / n
	}
	for name, count := range after.envelopes {
		_, duty, _ := strings.Cut(name, `duty="`)
		duty = strings.TrimSuffix(duty, `"}`)
		c["envelopes_s_"+duty] = (count - before.envelopes[name]) / seconds / n
	}
	c["table_reads_s"] = float64(tableReads(after.table)-tableReads(before.table)) / seconds / n
	c["vm_list_reads_s"] = float64(after.table.ListReads-before.table.ListReads) / seconds / n
	return c
}

func tableReads(s platform.Stats) uint64 {
	var sum uint64
	for _, n := range s.Reads {
		sum += n
	}
	return sum
}

// addTraffic adds open sockets and bytes a second, sent and received together, as means over the
// daemons. The kernel counts the payload. The wire size adds headerBytes for each segment that the
// kernel counts.
func (b *bench) addTraffic(c costs, t *counter, seconds float64) {
	n := float64(len(b.daemons))
	for _, o := range []other{otherPeer, otherPlatform, otherCaller, otherTarget} {
		// Set to 0 when there is no such socket, so that every run has a value.
		c["sockets_"+string(o)] = float64(t.open[o]) / n
		c["bytes_s_"+string(o)] = 0
		c["wire_bytes_s_"+string(o)] = 0
	}
	for _, byOther := range t.sums() {
		for o, sum := range byOther {
			if o == otherAdmin {
				continue
			}
			c["bytes_s_"+string(o)] += float64(sum.payload) / seconds / n
			c["wire_bytes_s_"+string(o)] += sum.wire() / seconds / n
		}
	}
}

// addHeap adds the size of the heap, as a mean over the daemons.
func (b *bench) addHeap(ctx context.Context, c costs) error {
	for _, d := range b.daemons {
		metrics, err := b.metrics(ctx, d)
		if err != nil {
			return err
		}
		c["heap_mb"] += metrics[heapMetric] / megabyte / float64(len(b.daemons))
	}
	return nil
}

// metrics returns the metrics of a daemon, by name with labels.
func (b *bench) metrics(ctx context.Context, d daemon) (map[string]float64, error) {
	body, err := b.get(ctx, "http://"+d.settings.Listen.Admin.String()+"/metrics")
	if err != nil {
		return nil, err
	}
	defer body.Close()
	metrics := map[string]float64{}
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		name, value, _ := strings.Cut(lines.Text(), " ")
		if x, err := strconv.ParseFloat(value, 64); err == nil {
			metrics[name] = x
		}
	}
	return metrics, lines.Err()
}

func (b *bench) tableStats(ctx context.Context) (platform.Stats, error) {
	var stats platform.Stats
	err := b.getJSON(ctx, b.platformURL+"/stats", &stats)
	return stats, err
}

func (b *bench) getJSON(ctx context.Context, url string, into any) error {
	body, err := b.get(ctx, url)
	if err != nil {
		return err
	}
	defer body.Close()
	return json.NewDecoder(body).Decode(into)
}

func (b *bench) get(ctx context.Context, url string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := b.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return resp.Body, nil
}
