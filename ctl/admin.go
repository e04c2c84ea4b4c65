package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/burdockward/burdockward/adminapi"
	"github.com/burdockward/burdockward/tableservice"
)

const (
	// adminTimeout bounds one request to an admin port.
	adminTimeout = 2 * time.Second
	// adminParallel is the largest number of concurrent requests.
	adminParallel = 32
	// maxAdminBytes is the largest response of an admin port that is read.
	maxAdminBytes = 16 << 20
)

// errNotKnown says that a VM has no record of a key.
var errNotKnown = errors.New("nothing known")

// AdminClient reads the admin ports of daemons.
type AdminClient struct{ HTTP *http.Client }

// Status asks one VM for its status.
func (c AdminClient) Status(ctx context.Context, address string) (adminapi.Status, error) {
	var status adminapi.Status
	err := c.get(ctx, address, adminapi.StatusPath, &status)
	return status, err
}

// Explain asks one VM what it did with a submission.
func (c AdminClient) Explain(ctx context.Context, address, key string) (adminapi.Explanation, error) {
	var explanation adminapi.Explanation
	err := c.get(ctx, address, adminapi.ExplainPath+url.PathEscape(key), &explanation)
	return explanation, err
}

// Events asks one VM for its newest changes of state.
func (c AdminClient) Events(ctx context.Context, address string) (adminapi.Events, error) {
	var events adminapi.Events
	err := c.get(ctx, address, adminapi.EventsPath, &events)
	return events, err
}

func (c AdminClient) get(ctx context.Context, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAdminBytes))
	if err != nil {
		return err
	}
	switch response.StatusCode {
	case http.StatusOK:
		return json.Unmarshal(text, into)
	case http.StatusNotFound:
		return errNotKnown
	}
	return fmt.Errorf("status %d", response.StatusCode)
}

// vm is an entry VM to ask.
type vm struct {
	// id and domain are empty for addresses from --vms until the VM answers.
	id, domain string
	address    string
	leaving    bool
}

// name returns the id, or the address while the id is not known.
func (v vm) name() string { return cmp.Or(v.id, v.address) }

// vms lists the entry VMs: those of --vms, or those of the platform's VM list in
// the failure domains given.
func (a *App) vms(ctx context.Context, c *cli.Command, domains []string) ([]vm, error) {
	if addresses := c.StringSlice(flagVMs); len(addresses) > 0 {
		var list []vm
		for _, address := range addresses {
			list = append(list, vm{address: address})
		}
		return list, nil
	}
	if len(domains) == 0 {
		return nil, usagef("the entry VMs are not known: give --domains (BURDOCKCTL_DOMAINS) or --vms")
	}
	p, err := a.open(c)
	if err != nil {
		return nil, err
	}
	var list []vm
	for _, domain := range domains {
		listed, err := p.VMs(ctx, domain, 0)
		if err != nil {
			return nil, fmt.Errorf("VM list of %s, give --vms to go without it: %w", domain, err)
		}
		entries, err := entryVMs(listed, domain, c.Uint16(flagAdminPort))
		if err != nil {
			return nil, err
		}
		list = append(list, entries...)
	}
	slices.SortFunc(list, func(a, b vm) int {
		return cmp.Or(cmp.Compare(a.domain, b.domain), cmp.Compare(a.id, b.id))
	})
	return list, nil
}

// entryVMs returns the entry VMs of a VM list with their admin addresses.
func entryVMs(list tableservice.List, domain string, port uint16) ([]vm, error) {
	var entries []vm
	for _, listed := range list.VMs {
		if listed.Kind != tableservice.KindEntry {
			continue
		}
		host, _, err := net.SplitHostPort(cmp.Or(listed.PeerAddress, listed.Address))
		if err != nil {
			return nil, tableservice.ErrUnavailable.Errorf("the VM list gives %s no usable address: %w", listed.ID, err)
		}
		entries = append(entries, vm{
			id:      listed.ID,
			domain:  domain,
			address: net.JoinHostPort(host, strconv.Itoa(int(port))),
			leaving: listed.State == tableservice.StateLeaving,
		})
	}
	return entries, nil
}

// answer is the response of one VM or the error of the request.
type answer[T any] struct {
	vm    vm
	value T
	err   error
}

// askAll asks the VMs concurrently and returns the answers in the order of list.
func askAll[T any](ctx context.Context, list []vm, ask func(ctx context.Context, address string) (T, error)) []answer[T] {
	answers := make([]answer[T], len(list))
	var g errgroup.Group
	g.SetLimit(adminParallel)
	for i, v := range list {
		g.Go(func() error {
			value, err := ask(ctx, v.address)
			answers[i] = answer[T]{vm: v, value: value, err: err}
			return nil
		})
	}
	_ = g.Wait()
	return answers
}

// statuses asks every VM for its status and fills in the VMs' ids and domains.
func (a *App) statuses(ctx context.Context, list []vm) []answer[adminapi.Status] {
	answers := askAll(ctx, list, a.Admin.Status)
	for i := range answers {
		if answers[i].err == nil {
			answers[i].vm.id = answers[i].value.VM
			answers[i].vm.domain = answers[i].value.Domain
		}
	}
	return answers
}
