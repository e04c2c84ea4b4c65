package ctl

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/burdockward/burdockward/adminapi"
	"github.com/burdockward/burdockward/tableservice"
)

// defaultSince is the default age of the oldest events shown.
const defaultSince = 15 * time.Minute

// eventTime is the layout of printed event times.
const eventTime = "2006-01-02T15:04:05.000Z07:00"

// EventsResult is the output of events.
type EventsResult struct {
	// Events are those of all VMs, ordered by the times of the VMs' own clocks.
	Events []VMEvent `json:"events"`
	// Dropped is, for each VM, the number of older events no longer kept.
	Dropped     map[string]uint64 `json:"dropped"`
	Unreachable []UnreachableVM   `json:"unreachable"`
}

// VMEvent is a change of state on one VM.
type VMEvent struct {
	VM     string `json:"vm"`
	Domain string `json:"domain"`
	adminapi.StateChange
}

func (a *App) eventsCommand() *cli.Command {
	return &cli.Command{
		Name:  "events",
		Usage: "show what changed at the entry VMs, and why: members, targets, configuration, platform",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: flagSince, Usage: "show the events of the last `TIME`, such as 15m", Value: defaultSince},
		},
		Action: a.action(a.events),
	}
}

func (a *App) events(ctx context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usagef("%s takes no arguments: remove them", c.FullName())
	}
	since := c.Duration(flagSince)
	if since <= 0 {
		return usagef("--%s is %v: give a time above zero, such as 15m", flagSince, since)
	}
	list, err := a.vms(ctx, c, c.StringSlice(flagDomains))
	if err != nil {
		return err
	}
	result, answered := gatherEvents(askAll(ctx, list, a.Admin.Events), a.Now().Add(-since))
	if err := a.print(c, result, func(w io.Writer) { printEvents(w, result) }); err != nil {
		return err
	}
	if answered == 0 {
		return tableservice.ErrUnavailable.Errorf("no entry VM answered at its admin port: check --admin-port and the network")
	}
	return nil
}

// gatherEvents merges the events since from of all VMs, and counts the VMs that
// answered.
func gatherEvents(answers []answer[adminapi.Events], from time.Time) (EventsResult, int) {
	result := EventsResult{Events: []VMEvent{}, Dropped: map[string]uint64{}, Unreachable: []UnreachableVM{}}
	answered := 0
	for _, answer := range answers {
		if answer.err != nil {
			result.Unreachable = append(result.Unreachable, newUnreachable(answer.vm, answer.err))
			continue
		}
		answered++
		if answer.value.Dropped > 0 {
			result.Dropped[answer.value.VM] = answer.value.Dropped
		}
		for _, e := range answer.value.Events {
			if !e.Time.Before(from) {
				result.Events = append(result.Events, VMEvent{VM: answer.value.VM, Domain: answer.value.Domain, StateChange: e})
			}
		}
	}
	slices.SortStableFunc(result.Events, func(a, b VMEvent) int { return a.Time.Compare(b.Time) })
	return result, answered
}

func printEvents(w io.Writer, r EventsResult) {
	writeTable(w, "TIME\tDOMAIN\tVM\tLEVEL\tEVENT\tVALUES", func(row func(...any)) {
		for _, e := range r.Events {
			row(e.Time.UTC().Format(eventTime), e.Domain, e.VM, e.Level, e.Message, fieldsText(e.Fields))
		}
	})
	for _, vm := range slices.Sorted(maps.Keys(r.Dropped)) {
		fmt.Fprintf(w, "%s: %d older events are no longer kept\n", vm, r.Dropped[vm])
	}
	for _, v := range r.Unreachable {
		fmt.Fprintf(w, "%s: unreachable: %s\n", v.VM, v.Error)
	}
}

// fieldsText formats the values of an event as name=value, ordered by name.
func fieldsText(fields map[string]any) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		parts = append(parts, fmt.Sprintf("%s=%v", name, fields[name]))
	}
	return strings.Join(parts, " ")
}
