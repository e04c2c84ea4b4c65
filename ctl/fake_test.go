package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/adminapi"
	"github.com/burdockward/burdockward/configuration"
	"github.com/burdockward/burdockward/tableservice"
)

// fakePlatform is a table service and a VM list in memory.
type fakePlatform struct {
	version uint64
	tables  map[string]map[string]tableservice.Row
	vms     map[string][]tableservice.VM
	down    bool
	// lagging is a table of which reads leave out the newest commit.
	lagging string
	// downAfter loses the answer of the next commit and takes the service down.
	downAfter bool
	// before runs once, before the next commit.
	before func()
}

func (p *fakePlatform) Changes(_ context.Context, table string, since uint64) (tableservice.Changes, error) {
	if p.down {
		return tableservice.Changes{}, tableservice.ErrUnavailable.Errorf("down")
	}
	changes := tableservice.Changes{Version: p.version}
	for _, row := range p.tables[table] {
		hidden := table == p.lagging && row.Version == p.version
		if row.Version > since && !hidden {
			changes.Rows = append(changes.Rows, row)
		}
	}
	return changes, nil
}

func (p *fakePlatform) Commit(_ context.Context, c tableservice.Commit) (uint64, error) {
	if before := p.before; before != nil {
		p.before = nil
		before()
	}
	if p.down {
		return 0, tableservice.ErrUnavailable.Errorf("down")
	}
	for _, e := range c.Expect {
		if present := p.tables[e.Table][e.Key].Version; present != e.Version {
			e.Version = present
			return 0, &tableservice.ConflictError{Expectation: e}
		}
	}
	p.version++
	for _, w := range c.Writes {
		if p.tables[w.Table] == nil {
			p.tables[w.Table] = map[string]tableservice.Row{}
		}
		p.tables[w.Table][w.Key] = tableservice.Row{Key: w.Key, Version: p.version, Value: w.Value}
	}
	if p.downAfter {
		p.down = true
		return 0, tableservice.ErrUnknownOutcome.Errorf("connection broken")
	}
	return p.version, nil
}

func (p *fakePlatform) VMs(_ context.Context, domain string, _ uint64) (tableservice.List, error) {
	if p.down {
		return tableservice.List{}, tableservice.ErrUnavailable.Errorf("down")
	}
	return tableservice.List{Version: 1, VMs: p.vms[domain]}, nil
}

// toolTest is the tool with a fake platform and a fake clock.
type toolTest struct {
	t        *testing.T
	app      *App
	platform *fakePlatform
	out, err bytes.Buffer
	// waits counts the waits; onWait runs at each.
	waits  int
	onWait func()
	ids    int
}

func newToolTest(t *testing.T) *toolTest {
	for _, name := range []string{"PLATFORM", "DOMAINS", "VMS", "ADMIN_PORT", "OPERATOR", "TIMEOUT", "OUTPUT"} {
		t.Setenv("BURDOCKCTL_"+name, "")
		must.NoError(t, os.Unsetenv("BURDOCKCTL_"+name))
	}
	t.Setenv("BURDOCKCTL_PLATFORM", "http://192.0.2.1:7000")
	t.Setenv("BURDOCKCTL_OPERATOR", "maria")
	b := &toolTest{t: t, platform: &fakePlatform{tables: map[string]map[string]tableservice.Row{}, vms: map[string][]tableservice.VM{}}}
	b.app = &App{
		Stdout: &b.out,
		Stderr: &b.err,
		Open:   func(string) (Platform, error) { return b.platform, nil },
		Now:    func() time.Time { return time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC) },
		NewID:  func() string { b.ids++; return fmt.Sprintf("change-%d", b.ids) },
		Wait:   b.wait,
		Admin:  AdminClient{HTTP: http.DefaultClient},
	}
	return b
}

func (b *toolTest) wait(ctx context.Context, _ time.Duration) error {
	b.waits++
	if b.onWait != nil {
		b.onWait()
	}
	return ctx.Err()
}

// run runs a command line, checks its exit code and returns its output.
func (b *toolTest) run(code int, line ...string) string {
	b.t.Helper()
	b.out.Reset()
	b.err.Reset()
	got := b.app.Run(context.Background(), line)
	must.Eq(b.t, code, got, must.Sprintf("%v\n%s%s", line, &b.out, &b.err))
	if code != ExitOK {
		must.StrContains(b.t, b.err.String(), "burdockctl:")
	}
	return b.out.String()
}

// runJSON runs a command line with -o json and decodes its output.
func runJSON[T any](b *toolTest, code int, line ...string) T {
	b.t.Helper()
	var result T
	text := b.run(code, append(line, "-o", "json")...)
	must.NoError(b.t, json.Unmarshal([]byte(text), &result), must.Sprint(text))
	return result
}

// writeFile writes a file and returns its path.
func (b *toolTest) writeFile(text string) string {
	b.t.Helper()
	path := filepath.Join(b.t.TempDir(), "objects.jsonc")
	must.NoError(b.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

const profileText = `{
	// Balance checks.
	"name": "balance", "urgency": 5, "guaranteed_slots": 10, "queue_tasks": %d,
	"deadline_ms": 1000, "max_deadline_ms": 2000, "max_run_ms": 500,
}`

// writeProfile writes a file with a profile and returns its path.
func (b *toolTest) writeProfile(queue int) string {
	return b.writeFile(fmt.Sprintf(profileText, queue))
}

// commitAsOtherOperator commits a change of the profile by another operator.
func (b *toolTest) commitAsOtherOperator() {
	e := &configuration.Editor{Tables: b.platform}
	current, err := e.Read(context.Background())
	must.NoError(b.t, err)
	changed := *current.Object(configuration.KindProfile, "balance").Record.Profile
	changed.Urgency = 9
	edit := configuration.Edit{Kind: configuration.KindProfile, Name: "balance", Profile: &changed}
	_, err = e.Commit(context.Background(), current, configuration.Change{ID: "theirs", Operator: "petar", Edits: []configuration.Edit{edit}})
	must.NoError(b.t, err)
}

// serveAdminPort serves the status and explain paths of an admin port and returns
// its address. A nil explanation, or one of another key, is answered with 404.
func (b *toolTest) serveAdminPort(domain, id string, status *adminapi.Status, explanation *adminapi.Explanation) string {
	mux := http.NewServeMux()
	mux.HandleFunc(adminapi.StatusPattern, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(status)
	})
	mux.HandleFunc(adminapi.ExplainPattern, func(w http.ResponseWriter, r *http.Request) {
		if explanation == nil || r.PathValue("key") != explanation.Key {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(explanation)
	})
	server := httptest.NewServer(mux)
	b.t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	status.VM, status.Domain = id, domain
	return address
}

// closedAddress is a loopback address where nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// refusingClient fails every request.
var refusingClient = &http.Client{Transport: refusingTransport{}}

type refusingTransport struct{}

func (refusingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, net.ErrClosed
}
