package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/burdockward/burdockward/adminapi"
	"github.com/burdockward/burdockward/key"
	"github.com/burdockward/burdockward/tableservice"
)

// StatusResult is the output of status.
type StatusResult struct {
	VMs         []adminapi.Status `json:"vms"`
	Unreachable []UnreachableVM   `json:"unreachable"`
}

func (a *App) statusCommand() *cli.Command {
	return &cli.Command{
		Name:   "status",
		Usage:  "show the entry VMs with their views, targets, leases and quarantined targets",
		Action: a.action(a.status),
	}
}

func (a *App) status(ctx context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usagef("%s takes no arguments: remove them", c.FullName())
	}
	list, err := a.vms(ctx, c, c.StringSlice(flagDomains))
	if err != nil {
		return err
	}
	result := StatusResult{VMs: []adminapi.Status{}, Unreachable: []UnreachableVM{}}
	for _, answer := range a.statuses(ctx, list) {
		if answer.err != nil {
			result.Unreachable = append(result.Unreachable, newUnreachable(answer.vm, answer.err))
			continue
		}
		result.VMs = append(result.VMs, answer.value)
	}
	if err := a.print(c, result, func(w io.Writer) { printStatus(w, result) }); err != nil {
		return err
	}
	if len(result.VMs) == 0 {
		return tableservice.ErrUnavailable.Errorf("no entry VM answered at its admin port: check --admin-port and the network")
	}
	return nil
}

func printStatus(w io.Writer, r StatusResult) {
	writeTable(w, "DOMAIN\tVM\tUP\tSTATE\tVIEW\tMEMBERS\tSETTLED\tCONFIGURATION\tTARGETS\tQUARANTINED\tSLOTS HELD\tFREE\tLEASES", func(row func(...any)) {
		for _, s := range r.VMs {
			t := sumTargets(s.Targets)
			row(s.Domain, s.VM, time.Duration(s.UptimeMS)*time.Millisecond, stateText(s), s.View.Number, len(s.View.Members), s.View.Settled,
				s.Configuration.Version, len(s.Targets), t.quarantined, t.held, t.free, t.leases)
		}
		for _, v := range r.Unreachable {
			row(orNone(v.Domain), v.VM, "-", "unreachable: "+v.Error)
		}
	})
	printTargets(w, r.VMs)
	printProfiles(w, r.VMs)
}

func stateText(s adminapi.Status) string {
	if s.Draining {
		return "draining"
	}
	return "serving"
}

// targetSums are totals over the targets of one VM.
type targetSums struct{ quarantined, held, free, leases int }

func sumTargets(targets []adminapi.Target) targetSums {
	var sums targetSums
	for _, t := range targets {
		sums.held += t.SlotsHeld
		sums.free += t.SlotsFree
		if getsNoTasks(t.Health) {
			sums.quarantined++
		}
		if t.Lease == adminapi.LeaseHeld {
			sums.leases++
		}
	}
	return sums
}

// getsNoTasks reports whether a target gets no tasks, except for probes.
func getsNoTasks(h adminapi.TargetHealth) bool {
	return h == adminapi.TargetQuarantined || h == adminapi.TargetProbing || h == adminapi.TargetUnreachable
}

// printTargets lists the targets that aren't healthy.
func printTargets(w io.Writer, vms []adminapi.Status) {
	writeTable(w, "\nVM\tTARGET\tHEALTH\tSINCE\tLEASE\tREASON", func(row func(...any)) {
		for _, s := range vms {
			for _, t := range s.Targets {
				if t.Health != adminapi.TargetHealthy {
					row(s.VM, t.ID, t.Health, ageText(t.HealthAgeMS), t.Lease, t.Reason)
				}
			}
		}
	})
}

func printProfiles(w io.Writer, vms []adminapi.Status) {
	writeTable(w, "\nVM\tPROFILE\tQUEUED\tRUNNING\tREFUSED", func(row func(...any)) {
		for _, s := range vms {
			for _, p := range s.Profiles {
				row(s.VM, p.Name, p.Queued, p.Running, p.Refused)
			}
		}
	})
}

// ExplainResult is the output of explain.
type ExplainResult struct {
	Key          string                 `json:"key"`
	Explanations []adminapi.Explanation `json:"explanations"`
	// NotKnown lists the VMs that answered and have no record of the key.
	NotKnown    []string        `json:"not_known"`
	Unreachable []UnreachableVM `json:"unreachable"`
}

func (a *App) explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		ArgsUsage: "KEY",
		Usage:     "show what the entry VMs did with a submission, and why",
		Action:    a.action(a.explain),
	}
}

// explain asks the VMs of the failure domain that the key names, since only these
// run or refuse the submission.
func (a *App) explain(ctx context.Context, c *cli.Command) error {
	text, err := onlyArgument(c, "submission key")
	if err != nil {
		return err
	}
	parsed, err := key.Parse(text)
	if err != nil {
		return usagef("%v", err)
	}
	list, err := a.vms(ctx, c, []string{parsed.Domain})
	if err != nil {
		return err
	}
	result := a.askExplanations(ctx, text, list)
	if err := a.print(c, result, func(w io.Writer) { printExplanations(w, result) }); err != nil {
		return err
	}
	switch {
	case len(result.Explanations) > 0:
		return nil
	case len(result.Unreachable) > 0 || len(list) == 0:
		return tableservice.ErrUnavailable.Errorf("no VM that answered knows of the key, but %d didn't answer: try again, or check --admin-port and the network", len(result.Unreachable))
	}
	return usagef("no entry VM of %s knows of the key: it never arrived, or its record has expired; check the key", parsed.Domain)
}

func (a *App) askExplanations(ctx context.Context, text string, list []vm) ExplainResult {
	ask := func(ctx context.Context, address string) (adminapi.Explanation, error) {
		return a.Admin.Explain(ctx, address, text)
	}
	result := ExplainResult{Key: text, Explanations: []adminapi.Explanation{}, NotKnown: []string{}, Unreachable: []UnreachableVM{}}
	for _, answer := range askAll(ctx, list, ask) {
		switch {
		case answer.err == nil:
			result.Explanations = append(result.Explanations, answer.value)
		case errors.Is(answer.err, errNotKnown):
			result.NotKnown = append(result.NotKnown, answer.vm.name())
		default:
			result.Unreachable = append(result.Unreachable, newUnreachable(answer.vm, answer.err))
		}
	}
	return result
}

func printExplanations(w io.Writer, r ExplainResult) {
	for _, e := range r.Explanations {
		fmt.Fprintf(w, "%s: %s, profile %s, runner %s\n", e.VM, orNone(e.State), orNone(e.Profile), orNone(e.Runner))
		for _, event := range e.Events {
			fmt.Fprintf(w, "  %10.3f ms  %s%s%s%s\n", event.AtMS, event.What, taskText(event), withPrefix(" at ", event.Target), withPrefix(": ", event.Reason))
		}
		if e.EventsDropped > 0 {
			fmt.Fprintf(w, "  %d events are no longer kept\n", e.EventsDropped)
		}
	}
	for _, v := range r.NotKnown {
		fmt.Fprintf(w, "%s: knows nothing of the key\n", v)
	}
	for _, v := range r.Unreachable {
		fmt.Fprintf(w, "%s: unreachable: %s\n", v.VM, v.Error)
	}
}

func taskText(e adminapi.Event) string {
	if e.Task == nil {
		return ""
	}
	return fmt.Sprintf(" task %d", *e.Task)
}

func withPrefix(prefix, text string) string {
	if text == "" {
		return ""
	}
	return prefix + text
}
