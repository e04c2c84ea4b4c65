package ctl

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/adminapi"
	"github.com/burdockward/burdockward/configuration"
	"github.com/burdockward/burdockward/tableservice"
)

func TestProfileCommandsFromApplyToRollback(t *testing.T) {
	b := newToolTest(t)
	result := runJSON[ChangeResult](b, ExitOK, "profile", "apply", "--note", "first", b.writeProfile(100))
	must.Eq(t, ChangeResult{Outcome: outcomeAccepted, Version: 1, Change: "change-1"}, result)
	b.run(ExitOK, "profile", "apply", b.writeProfile(200))

	list := runJSON[ObjectList](b, ExitOK, "profile", "list")
	must.Eq(t, 2, list.Version)
	must.SliceLen(t, 1, list.Objects)
	must.Eq(t, "maria", list.Objects[0].Operator)
	must.StrContains(t, b.run(ExitOK, "profile", "list"), "balance")

	shown := b.run(ExitOK, "profile", "show", "balance")
	must.StrContains(t, shown, "version 2, revision 2")
	must.StrContains(t, b.run(ExitOK, "profile", "diff", b.writeFile(shown)), "same as version 2")
	must.StrContains(t, b.run(ExitOK, "profile", "diff", b.writeProfile(100)), "queue_tasks: 200 -> 100")

	history := runJSON[[]Object](b, ExitOK, "profile", "history", "balance")
	must.SliceLen(t, 2, history)
	must.Eq(t, "first", history[1].Note)
	must.StrContains(t, b.run(ExitOK, "profile", "history", "balance"), "queue_tasks: 100 -> 200")

	b.run(ExitOK, "profile", "rollback", "balance")
	rolled := runJSON[Object](b, ExitOK, "profile", "show", "balance")
	must.Eq(t, 100, rolled.Profile.QueueTasks)
	must.Eq(t, 3, rolled.Revision)

	b.run(ExitOK, "profile", "delete", "balance")
	b.run(ExitUsage, "profile", "show", "balance")
	b.run(ExitUsage, "profile", "delete", "balance")
	b.run(ExitUsage, "profile", "rollback", "balance", "--to", "4")
	b.run(ExitOK, "profile", "rollback", "balance", "--to", "2")
	must.Eq(t, 200, runJSON[Object](b, ExitOK, "profile", "show", "balance").Profile.QueueTasks)
	b.run(ExitUsage, "profile", "rollback", "balance", "--to", "99")
}

// TestRollbackRefusesStaleHistory reads a history that lags behind the profile:
// rollback must not pick a revision from it.
func TestRollbackRefusesStaleHistory(t *testing.T) {
	b := newToolTest(t)
	for _, queue := range []int{100, 200, 300} {
		b.run(ExitOK, "profile", "apply", b.writeProfile(queue))
	}
	b.platform.lagging = configuration.HistoryTable
	b.run(ExitUnavailable, "profile", "rollback", "balance")
	b.platform.lagging = ""
	b.run(ExitOK, "profile", "rollback", "balance")
	must.Eq(t, 200, runJSON[Object](b, ExitOK, "profile", "show", "balance").Profile.QueueTasks)
}

func TestTeamsAreAppliedAndShown(t *testing.T) {
	b := newToolTest(t)
	file := b.writeFile(`[{"name": "sofia", "quota_slots": 10, "shares": {"hall-a": 6, "hall-b": 4}}, {"name": "plovdiv", "quota_slots": 3}]`)
	b.run(ExitOK, "team", "apply", file)
	list := runJSON[ObjectList](b, ExitOK, "team", "list")
	must.SliceLen(t, 2, list.Objects)
	must.StrContains(t, b.run(ExitOK, "team", "list"), "sofia")
	must.StrContains(t, b.run(ExitOK, "team", "show", "sofia"), `"hall-a": 6`)
	must.SliceEmpty(t, runJSON[ObjectList](b, ExitOK, "profile", "list").Objects)
}

// TestConflictReportsWinner lets another operator change the profile between the
// tool's read and its commit.
func TestConflictReportsWinner(t *testing.T) {
	b := newToolTest(t)
	b.run(ExitOK, "profile", "apply", b.writeProfile(100))
	b.platform.before = b.commitAsOtherOperator
	result := runJSON[ChangeResult](b, ExitConflict, "profile", "apply", b.writeProfile(200))
	must.Eq(t, outcomeConflict, result.Outcome)
	must.Eq(t, "petar", result.Conflicts[0].Winner.Operator)
	must.Eq(t, []Difference{{"queue_tasks", "100", "200"}, {"urgency", "9", "5"}}, result.Conflicts[0].Differences)
	must.Eq(t, 100, runJSON[Object](b, ExitOK, "profile", "show", "balance").Profile.QueueTasks)

	b.platform.before = b.commitAsOtherOperator
	text := b.run(ExitConflict, "profile", "delete", "balance")
	must.StrContains(t, text, `was changed by "petar"`)
	b.run(ExitConflict, "profile", "apply", "--expect-version", "1", b.writeProfile(200))
	b.run(ExitConflict, "profile", "apply", "--expect-version", "0", b.writeProfile(200))
	b.run(ExitOK, "profile", "apply", "--expect-version", "3", b.writeProfile(200))
}

func TestExitCodesWhilePlatformIsDown(t *testing.T) {
	b := newToolTest(t)
	b.platform.downAfter = true
	result := runJSON[ChangeResult](b, ExitUnknown, "profile", "apply", b.writeProfile(100))
	must.Eq(t, outcomeUnknown, result.Outcome)
	must.StrContains(t, b.err.String(), "change-1")
	for _, line := range [][]string{
		{"profile", "list"},
		{"profile", "apply", b.writeProfile(100)},
		{"in-force"},
		{"status", "--domains", "hall-a"},
	} {
		b.run(ExitUnavailable, line...)
	}
}

func TestFilesReportEveryFault(t *testing.T) {
	b := newToolTest(t)
	faulty := b.writeFile(`[
		{"name": "Bad Name", "urgency": "high", "queue": 5, "queue_tasks": 1, "queue_tasks": 2,
		 "deadline_ms": 5000, "max_deadline_ms": 2000, "max_run_ms": "fast", "straggler": null},
		7,
	]`)
	broken := b.writeFile(`{"name": `)
	result := runJSON[CheckResult](b, ExitUsage, "check", faulty, broken, b.writeProfile(1))
	must.SliceLen(t, 2, result.Faulty)
	var paths []string
	for _, p := range result.Faulty[0].Problems {
		paths = append(paths, p.Path+" = "+p.Value)
		must.NotEq(t, "", p.Remedy)
	}
	must.Eq(t, []string{
		`[0].urgency = "high"`, `[0].queue = 5`, `[0].queue_tasks = 2`, `[0].max_run_ms = "fast"`, `[0].straggler = null`,
		`[0].name = "Bad Name"`, `[0].deadline_ms = 5000`, `[1] = 7`,
	}, paths)
	b.run(ExitUsage, "profile", "apply", faulty)
	must.StrContains(t, b.err.String(), "[0].queue = 5: is not a known key; remove it or use one of deadline_ms, ")
	must.Eq(t, 0, b.platform.version)
	b.run(ExitUsage, "check", "/nonexistent/file")
	must.StrContains(t, b.run(ExitOK, "check", b.writeProfile(1)), "no faults")
	shares := b.writeFile(`{"name": "t", "quota_slots": 1, "shares": {"hall-a": "x", "hall-b": 1, "hall-b": 2}}`)
	b.run(ExitUsage, "check", "--teams", shares)
	must.StrContains(t, b.out.String(), `shares.hall-a = "x": is not a whole number; write a whole number`)
	must.StrContains(t, b.out.String(), `shares.hall-b = 2: is given twice; keep one of the two`)
}

func TestUsageErrors(t *testing.T) {
	b := newToolTest(t)
	for _, line := range [][]string{
		{},
		{"profile"},
		{"profile", "remove"},
		{"profile", "show"},
		{"profile", "list", "extra"},
		{"profile", "list", "-o", "yaml"},
		{"profile", "apply"},
		{"profile", "apply", "--expect-version", "x", "f"},
		{"profile", "history", "nobody"},
		{"status"},
		{"explain", "not-a-key"},
		{"--no-such-flag"},
	} {
		b.run(ExitUsage, line...)
	}
	t.Setenv("BURDOCKCTL_PLATFORM", "")
	b.run(ExitUsage, "profile", "list")
}

func TestInForceWaitsForReachableVMs(t *testing.T) {
	b := newToolTest(t)
	b.run(ExitOK, "profile", "apply", b.writeProfile(100))
	a, c := &adminapi.Status{}, &adminapi.Status{}
	a.Configuration = adminapi.Configuration{Loaded: true, Version: 1}
	addresses := b.serveAdminPort("hall-a", "vm-a", a, nil) + "," + b.serveAdminPort("hall-b", "vm-b", c, nil)
	gone := closedAddress(t)
	all := addresses + "," + gone

	state := runJSON[InForce](b, ExitNotInForce, "in-force", "--vms", all)
	must.Eq(t, 1, state.Version)
	must.True(t, state.VMs[0].InForce)
	must.False(t, state.VMs[1].InForce)
	must.Eq(t, gone, state.Unreachable[0].VM)
	must.Eq(t, 0, b.waits)

	c.Configuration = adminapi.Configuration{Version: 1}
	b.run(ExitNotInForce, "in-force", "--vms", all)

	b.onWait = func() { c.Configuration.Loaded = true }
	must.StrContains(t, b.run(ExitOK, "in-force", "--vms", all, "--wait", "5s"), "2 of 2 reachable VMs, 1 unreachable")
	must.Eq(t, 1, b.waits)
	b.run(ExitNotInForce, "in-force", "--vms", all, "--wait", "2s", "--version", "9")
	must.Eq(t, 5, b.waits, must.Sprint("one poll each half second"))
	b.run(ExitNotInForce, "in-force", "--vms", gone)

	b.onWait = nil
	result := runJSON[ChangeResult](b, ExitNotInForce, "profile", "apply", "--wait", "1s", "--vms", all, b.writeProfile(200))
	must.Eq(t, outcomeAccepted, result.Outcome)
	must.False(t, result.InForce.Everywhere)
}

func TestStatusShowsUnhealthyTargetsAndUnreachableVMs(t *testing.T) {
	b := newToolTest(t)
	status := &adminapi.Status{Draining: true, Targets: []adminapi.Target{
		{ID: "w1", Health: adminapi.TargetHealthy, Lease: adminapi.LeaseHeld, SlotsHeld: 3, SlotsFree: 1},
		{ID: "w2", Health: adminapi.TargetQuarantined, Lease: adminapi.LeaseLapsed, Reason: "8 failures of 3 jobs"},
	}, Profiles: []adminapi.Profile{{Name: "balance", Queued: 7}}}
	address := b.serveAdminPort("hall-a", "vm-a", status, nil)
	text := b.run(ExitOK, "status", "--vms", address+","+closedAddress(t))
	for _, part := range []string{"vm-a", "draining", "8 failures of 3 jobs", "balance", "unreachable"} {
		must.StrContains(t, text, part)
	}
	result := runJSON[StatusResult](b, ExitOK, "status", "--vms", address)
	must.Eq(t, []adminapi.Status{*status}, result.VMs)
	b.run(ExitUnavailable, "status", "--vms", closedAddress(t))
}

// TestVMListGivesAdminAddresses derives the admin addresses from the platform's VM
// list: entry VMs only, at the admin port.
func TestVMListGivesAdminAddresses(t *testing.T) {
	b := newToolTest(t)
	b.platform.vms["hall-a"] = []tableservice.VM{
		{ID: "target", Kind: tableservice.KindTarget, Address: "127.0.0.9:1"},
		{ID: "vm-b", Kind: tableservice.KindEntry, PeerAddress: "127.0.0.1:7101", State: tableservice.StateLeaving},
		{ID: "vm-a", Kind: tableservice.KindEntry, Address: "127.0.0.2:7100"},
	}
	list, err := entryVMs(tableservice.List{VMs: b.platform.vms["hall-a"]}, "hall-a", 7102)
	must.NoError(t, err)
	must.Eq(t, []vm{
		{id: "vm-b", domain: "hall-a", address: "127.0.0.1:7102", leaving: true},
		{id: "vm-a", domain: "hall-a", address: "127.0.0.2:7102"},
	}, list)
	b.app.Admin = AdminClient{HTTP: refusingClient}
	t.Setenv("BURDOCKCTL_DOMAINS", "hall-a,hall-b")
	result := runJSON[StatusResult](b, ExitUnavailable, "status")
	must.SliceLen(t, 2, result.Unreachable)
	must.Eq(t, "vm-a", result.Unreachable[0].VM)
}

func TestExplainTellsKnownFromUnknownKeys(t *testing.T) {
	b := newToolTest(t)
	task := 3
	explanation := &adminapi.Explanation{VM: "vm-a", Key: "hall-a.e1.x", State: "refused", Events: []adminapi.Event{
		{AtMS: 1.5, What: "started", Task: &task, Target: "w1"},
		{AtMS: 2, What: "refused", Reason: "the queue of the profile is full"},
	}}
	knows := b.serveAdminPort("hall-a", "vm-a", &adminapi.Status{}, explanation)
	other := b.serveAdminPort("hall-a", "vm-b", &adminapi.Status{}, nil)
	text := b.run(ExitOK, "explain", "hall-a.e1.x", "--vms", knows+","+other)
	must.StrContains(t, text, "started task 3 at w1")
	must.StrContains(t, text, "refused: the queue of the profile is full")
	result := runJSON[ExplainResult](b, ExitOK, "explain", "hall-a.e1.x", "--vms", knows+","+other)
	must.Eq(t, []string{other}, result.NotKnown)
	b.run(ExitUsage, "explain", "hall-a.e1.y", "--vms", knows+","+other)
	b.run(ExitUnavailable, "explain", "hall-a.e1.y", "--vms", knows+","+closedAddress(t))
}

// TestReadBackIsReported loses the answer of the commit; the store answers again
// when the history is read.
func TestReadBackIsReported(t *testing.T) {
	b := newToolTest(t)
	b.platform.downAfter = true
	b.onWait = func() { b.platform.down, b.platform.downAfter = false, false }
	must.StrContains(t, b.run(ExitOK, "profile", "apply", b.writeProfile(1)), "found by reading back")
	e := &configuration.Editor{Tables: b.platform}
	current, err := e.Read(context.Background())
	must.NoError(t, err)
	must.Eq(t, 1, current.Version)
}
