package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/burdockward/burdockward/tableservice"
	"golang.org/x/sync/errgroup"
)

const (
	registerTimeout   = 10 * time.Second
	readHeaderTimeout = 10 * time.Second
)

// GroupOptions are the settings of a Group.
type GroupOptions struct {
	// Count is the number of targets. Each has Slots slots and leases that live for TTL.
	Count, Slots int
	TTL          time.Duration
	// Listen is "IP:port" of the first target. The others take the next ports, or free ones when the
	// port is 0.
	Listen string
	// Control is "IP:port" of the group's own interface.
	Control string
	// Platform is the URL of the platform's stand-in. When it is empty, targets are not registered.
	Platform string
	// Domain is the failure domain. Ids of targets, and names of racks of RackSize targets, begin
	// with IDPrefix.
	Domain   string
	RackSize int
	IDPrefix string
}

// Member is one target of a group.
type Member struct {
	ID      string `json:"id"`
	Rack    string `json:"rack"`
	Address string `json:"address"`

	server   *Server
	listener net.Listener
}

// Group serves several targets in one process with one shared log. Its control interface serves
// POST /fault (for all targets, or those named by ?target=ID), GET /stats (a list) and GET /starts.
type Group struct {
	options GroupOptions
	log     *StartLog
	// Control is the address of the control interface.
	Control string `json:"control"`
	// Targets holds the targets in the order of their numbers.
	Targets []*Member `json:"targets"`

	control net.Listener
	client  *http.Client
}

// NewGroup opens all listeners. Run serves on them.
func NewGroup(options GroupOptions) (*Group, error) {
	if options.Count <= 0 || options.RackSize <= 0 {
		return nil, errors.New("count and rack size must be at least 1")
	}
	g := &Group{options: options, log: NewStartLog(), client: &http.Client{Timeout: registerTimeout}}
	if err := g.listen(); err != nil {
		g.closeListeners()
		return nil, err
	}
	return g, nil
}

func (g *Group) listen() error {
	control, err := net.Listen("tcp", g.options.Control)
	if err != nil {
		return err
	}
	g.control = control
	g.Control = control.Addr().String()
	for i := range g.options.Count {
		member, err := g.newMember(i)
		if err != nil {
			return err
		}
		g.Targets = append(g.Targets, member)
	}
	return nil
}

func (g *Group) newMember(i int) (*Member, error) {
	address, err := nthAddress(g.options.Listen, i)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	m := &Member{
		ID:       fmt.Sprintf("%s-%d", g.options.IDPrefix, i),
		Rack:     fmt.Sprintf("%s-rack-%d", g.options.IDPrefix, i/g.options.RackSize),
		Address:  listener.Addr().String(),
		listener: listener,
	}
	m.server = New(Options{
		ID:    m.ID,
		Slots: g.options.Slots,
		TTL:   g.options.TTL,
		Log:   g.log,
		OnLeaving: func(leaving bool) {
			_ = g.register(m, leaving)
		},
	})
	return m, nil
}

// nthAddress returns the address of the i-th target: listen with its port raised by i, unless the
// port is 0.
func nthAddress(listen string, i int) (string, error) {
	host, portText, err := net.SplitHostPort(listen)
	if err != nil {
		return "", err
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return "", err
	}
	if port != 0 {
		port += i
	}
	return net.JoinHostPort(host, strconv.Itoa(port)), nil
}

// Run serves and registers the targets, then calls ready. It returns when ctx has ended.
func (g *Group) Run(ctx context.Context, ready func() error) error {
	work, ctx := errgroup.WithContext(ctx)
	serve(ctx, work, g.control, g.controlHandler())
	for _, m := range g.Targets {
		serve(ctx, work, m.listener, m.server)
	}
	work.Go(func() error {
		if err := g.registerAll(); err != nil {
			return err
		}
		return ready()
	})
	work.Go(func() error {
		<-ctx.Done()
		for _, m := range g.Targets {
			m.server.Close()
		}
		return nil
	})
	return work.Wait()
}

func serve(ctx context.Context, work *errgroup.Group, listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	work.Go(func() error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
}

func (g *Group) closeListeners() {
	if g.control != nil {
		_ = g.control.Close()
	}
	for _, m := range g.Targets {
		_ = m.listener.Close()
	}
}

func (g *Group) registerAll() error {
	for _, m := range g.Targets {
		if err := g.register(m, false); err != nil {
			return err
		}
	}
	return nil
}

// register writes a target to the VM list of the platform's stand-in, as live or leaving.
func (g *Group) register(m *Member, leaving bool) error {
	if g.options.Platform == "" {
		return nil
	}
	vm := tableservice.VM{
		ID:      m.ID,
		Kind:    tableservice.KindTarget,
		Domain:  g.options.Domain,
		Rack:    m.Rack,
		Address: m.Address,
		Slots:   g.options.Slots,
		State:   tableservice.StateLive,
	}
	if leaving {
		vm.State = tableservice.StateLeaving
	}
	body, err := json.Marshal(vm)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPut, g.options.Platform+"/v1/vms/"+m.ID, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := g.client.Do(request)
	if err != nil {
		return fmt.Errorf("register %s, check --platform: %w", m.ID, err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("register %s, check --platform: status %d", m.ID, response.StatusCode)
	}
	return nil
}

func (g *Group) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", g.postFault)
	mux.HandleFunc("GET /stats", g.getStats)
	mux.Handle("GET /starts", g.log)
	return mux
}

func (g *Group) postFault(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !readJSON(w, r, &faults) {
		return
	}
	members := g.named(r.URL.Query()["target"])
	if len(members) == 0 {
		writeJSON(w, http.StatusNotFound, errorBody{Error: "no target of this group is named"})
		return
	}
	for _, m := range members {
		m.server.SetFaults(faults)
	}
	writeJSON(w, http.StatusOK, faults)
}

// named returns the targets with these ids, or all when none is given.
func (g *Group) named(ids []string) []*Member {
	if len(ids) == 0 {
		return g.Targets
	}
	wanted := make(map[string]bool, len(ids))
	for _, id := range ids {
		wanted[id] = true
	}
	var members []*Member
	for _, m := range g.Targets {
		if wanted[m.ID] {
			members = append(members, m)
		}
	}
	return members
}

func (g *Group) getStats(w http.ResponseWriter, _ *http.Request) {
	stats := make([]Stats, 0, len(g.Targets))
	for _, m := range g.Targets {
		stats = append(stats, m.server.Stats())
	}
	writeJSON(w, http.StatusOK, stats)
}
