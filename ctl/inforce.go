package ctl

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/burdockward/burdockward/adminapi"
)

// inForcePollInterval is the time between two polls of the VMs.
const inForcePollInterval = 500 * time.Millisecond

// InForce is the version that each VM has in force.
type InForce struct {
	// Version is the version that the VMs are compared with.
	Version uint64 `json:"version"`
	// Everywhere says that at least one VM answered and that all that answered
	// hold at least Version.
	Everywhere bool `json:"everywhere"`
	// VMs are the reachable ones.
	VMs []VMVersion `json:"vms"`
	// Unreachable are the VMs that didn't answer.
	Unreachable []UnreachableVM `json:"unreachable"`
}

// VMVersion is the version that one VM has in force.
type VMVersion struct {
	VM      string `json:"vm"`
	Domain  string `json:"domain"`
	Version uint64 `json:"version"`
	InForce bool   `json:"in_force"`
	// StoreReadAgeMS is the time since the VM last read the store, in
	// milliseconds; -1 is never.
	StoreReadAgeMS int64 `json:"store_read_age_ms"`
	// Invalid names the rows that the VM couldn't read.
	Invalid []string `json:"invalid,omitempty"`
}

// UnreachableVM is a VM that didn't answer.
type UnreachableVM struct {
	VM      string `json:"vm"`
	Domain  string `json:"domain,omitempty"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving,omitempty"`
	Error   string `json:"error"`
}

func newUnreachable(v vm, err error) UnreachableVM {
	return UnreachableVM{VM: v.name(), Domain: v.domain, Address: v.address, Leaving: v.leaving, Error: err.Error()}
}

func (a *App) inForceCommand() *cli.Command {
	return &cli.Command{
		Name:  "in-force",
		Usage: "show which version of the configuration each VM has in force",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: flagVersion, Usage: "`VERSION` to look for; without it, the newest one in the store"},
			&cli.DurationFlag{Name: flagWait, Usage: "wait up to this `TIME`, such as 30s, until every reachable VM has it in force; without it, ask once"},
		},
		Action: a.action(a.inForce),
	}
}

func (a *App) inForce(ctx context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usagef("%s takes no arguments: remove them", c.FullName())
	}
	version := c.Uint64(flagVersion)
	if !c.IsSet(flagVersion) {
		current, err := a.read(ctx, c)
		if err != nil {
			return fmt.Errorf("the newest version is not known, give --%s to go without it: %w", flagVersion, err)
		}
		version = current.Version
	}
	state, waitErr := a.waitInForce(ctx, c, version)
	if state.VMs == nil && state.Unreachable == nil && waitErr != nil {
		return waitErr
	}
	if err := a.print(c, state, func(w io.Writer) { printInForce(w, state) }); err != nil {
		return err
	}
	return waitErr
}

// waitInForce polls the VMs, at least once, until the version is in force at
// every reachable one or the time of --wait is over. The list of VMs is read
// for each poll, since VMs are added and removed meanwhile.
func (a *App) waitInForce(ctx context.Context, c *cli.Command, version uint64) (InForce, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout)+c.Duration(flagWait))
	defer cancel()
	state := InForce{Version: version}
	var listErr error
	for waited := time.Duration(0); ; waited += inForcePollInterval {
		var list []vm
		list, listErr = a.vms(ctx, c, c.StringSlice(flagDomains))
		if listErr == nil {
			state = newInForce(version, a.statuses(ctx, list))
		}
		if state.Everywhere || waited >= c.Duration(flagWait) || a.Wait(ctx, inForcePollInterval) != nil {
			break
		}
	}
	switch {
	case state.Everywhere:
		return state, nil
	case listErr != nil:
		return state, listErr
	}
	return state, errNotInForce
}

func newInForce(version uint64, answers []answer[adminapi.Status]) InForce {
	state := InForce{Version: version, VMs: []VMVersion{}, Unreachable: []UnreachableVM{}}
	behind := 0
	for _, answer := range answers {
		if answer.err != nil {
			state.Unreachable = append(state.Unreachable, newUnreachable(answer.vm, answer.err))
			continue
		}
		held := answer.value.Configuration
		inForce := held.Loaded && held.Version >= version
		if !inForce {
			behind++
		}
		state.VMs = append(state.VMs, VMVersion{
			VM: answer.vm.name(), Domain: answer.vm.domain, Version: held.Version, InForce: inForce,
			StoreReadAgeMS: held.StoreReadAgeMS, Invalid: held.Invalid,
		})
	}
	// When no VM answers, it is not known whether the version is in force.
	state.Everywhere = behind == 0 && len(state.VMs) > 0
	return state
}

func printInForce(w io.Writer, s InForce) {
	fmt.Fprintf(w, "version %d is in force at %d of %d reachable VMs, %d unreachable\n", s.Version, s.countInForce(), len(s.VMs), len(s.Unreachable))
	writeTable(w, "DOMAIN\tVM\tVERSION\tIN FORCE\tSTORE READ\tINVALID ROWS", func(row func(...any)) {
		for _, v := range s.VMs {
			row(v.Domain, v.VM, v.Version, v.InForce, ageText(v.StoreReadAgeMS), len(v.Invalid))
		}
		for _, v := range s.Unreachable {
			row(orNone(v.Domain), v.VM, "unreachable", false, v.Error)
		}
	})
}

func (s InForce) countInForce() int {
	n := 0
	for _, v := range s.VMs {
		if v.InForce {
			n++
		}
	}
	return n
}

// ageText formats an age in milliseconds; a negative one is "never".
func ageText(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String() + " ago"
}
