package ctl

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/burdockward/burdockward/configuration"
	"github.com/burdockward/burdockward/profile"
	"github.com/burdockward/burdockward/tableservice"
)

func (a *App) profileCommand() *cli.Command {
	kind := configuration.KindProfile
	return &cli.Command{
		Name:   "profile",
		Usage:  "manage profiles",
		Action: noSubcommand,
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the profiles", Action: a.action(a.list(kind))},
			{Name: "show", ArgsUsage: "NAME", Usage: "show a profile, ready to be edited", Action: a.action(a.show(kind))},
			{Name: "diff", ArgsUsage: "FILE...", Usage: "compare files with the profiles in the store", Action: a.action(a.diff(profileEdits))},
			{Name: "apply", ArgsUsage: "FILE...", Usage: "create or change profiles, all or none", Flags: changeFlags(), Action: a.action(a.apply(profileEdits))},
			{Name: "delete", ArgsUsage: "NAME", Usage: "delete a profile", Flags: changeFlags(), Action: a.action(a.delete)},
			{Name: "history", ArgsUsage: "NAME", Usage: "list the kept revisions of a profile", Action: a.action(a.history)},
			{Name: "rollback", ArgsUsage: "NAME", Usage: "apply a previous revision as a new one", Flags: rollbackFlags(), Action: a.action(a.rollback)},
		},
	}
}

func (a *App) teamCommand() *cli.Command {
	kind := configuration.KindTeam
	return &cli.Command{
		Name:   "team",
		Usage:  "manage quotas of teams",
		Action: noSubcommand,
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the teams", Action: a.action(a.list(kind))},
			{Name: "show", ArgsUsage: "NAME", Usage: "show a team, ready to be edited", Action: a.action(a.show(kind))},
			{Name: "apply", ArgsUsage: "FILE...", Usage: "create or change quotas, all or none", Flags: changeFlags(), Action: a.action(a.apply(teamEdits))},
		},
	}
}

func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagNote, Usage: "`TEXT` that the history keeps with the change; without it, none"},
		&cli.Uint64Flag{Name: flagExpectVersion, Usage: "refuse unless the object is still at this `VERSION` (one object only; 0: it must never have existed); without it, the version just read"},
		&cli.DurationFlag{Name: flagWait, Usage: "wait up to this `TIME`, such as 30s, until the change is in force at every reachable VM; without it, don't wait"},
	}
}

func rollbackFlags() []cli.Flag {
	return append(changeFlags(), &cli.Uint64Flag{Name: flagTo, Usage: "`REVISION` to apply; without it, the newest one before the present that is not a deletion"})
}

// readEdits reads files and returns an edit for each of their objects.
type readEdits func(files []string) ([]configuration.Edit, error)

func profileEdits(files []string) ([]configuration.Edit, error) {
	list, err := readFiles[profile.Profile](files)
	var edits []configuration.Edit
	for _, p := range list {
		edits = append(edits, configuration.Edit{Kind: configuration.KindProfile, Name: p.Name, Profile: &p})
	}
	return edits, err
}

func teamEdits(files []string) ([]configuration.Edit, error) {
	list, err := readFiles[profile.Team](files)
	var edits []configuration.Edit
	for _, t := range list {
		edits = append(edits, configuration.Edit{Kind: configuration.KindTeam, Name: t.Name, Team: &t})
	}
	return edits, err
}

// Object is a profile or team as commands print it.
type Object struct {
	Kind     configuration.Kind `json:"kind"`
	Name     string             `json:"name"`
	Version  uint64             `json:"version"`
	Revision uint64             `json:"revision"`
	Operator string             `json:"operator,omitempty"`
	Time     string             `json:"time,omitempty"`
	Note     string             `json:"note,omitempty"`
	Change   string             `json:"change"`
	Deleted  bool               `json:"deleted,omitempty"`
	Profile  *profile.Profile   `json:"profile,omitempty"`
	Team     *profile.Team      `json:"team,omitempty"`
	// Error says why the row can't be read.
	Error string `json:"error,omitempty"`
}

func newObject(kind configuration.Kind, name string, version uint64, r configuration.Record) Object {
	return Object{
		Kind: kind, Name: name, Version: version, Revision: r.Revision, Operator: r.Operator, Time: r.Time,
		Note: r.Note, Change: r.Change, Deleted: r.Deleted, Profile: r.Profile, Team: r.Team,
	}
}

// body returns the profile or team of a record, nil when it is deleted.
func body(r configuration.Record) any {
	switch {
	case r.Profile != nil:
		return r.Profile
	case r.Team != nil:
		return r.Team
	}
	return nil
}

// ObjectList is the output of list.
type ObjectList struct {
	// Version is the commit that last changed the configuration.
	Version uint64   `json:"version"`
	Objects []Object `json:"objects"`
}

func (a *App) list(kind configuration.Kind) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if c.Args().Present() {
			return usagef("%s takes no arguments: remove them", c.FullName())
		}
		current, err := a.read(ctx, c)
		if err != nil {
			return err
		}
		result := ObjectList{Version: current.Version, Objects: []Object{}}
		for _, o := range current.Objects {
			objectKind, name, _ := configuration.SplitRowKey(o.Key)
			if objectKind != kind || o.Record.Deleted {
				continue
			}
			object := newObject(kind, name, o.Version, o.Record)
			if o.Err != nil {
				object.Error = o.Err.Error()
			}
			result.Objects = append(result.Objects, object)
		}
		return a.print(c, result, func(w io.Writer) { printList(w, kind, result) })
	}
}

func printList(w io.Writer, kind configuration.Kind, list ObjectList) {
	header := "NAME\tVERSION\tTEAM\tURGENCY\tGUARANTEED\tLIMIT\tQUEUE\tDEADLINE_MS\tOPERATOR"
	if kind == configuration.KindTeam {
		header = "NAME\tVERSION\tQUOTA\tSHARES\tOPERATOR"
	}
	writeTable(w, header, func(row func(...any)) {
		for _, o := range list.Objects {
			switch {
			case o.Error != "":
				row(o.Name, o.Version, o.Error)
			case o.Profile != nil:
				p := o.Profile
				row(o.Name, o.Version, orNone(p.Team), p.Urgency, p.GuaranteedSlots, p.LimitSlots, p.QueueTasks, p.DeadlineMS, o.Operator)
			default:
				row(o.Name, o.Version, o.Team.QuotaSlots, len(o.Team.Shares), o.Operator)
			}
		}
	})
}

func (a *App) read(ctx context.Context, c *cli.Command) (*configuration.Current, error) {
	_, current, err := a.readToEdit(ctx, c)
	return current, err
}

// readToEdit reads the configuration and returns it with the editor that can
// change it.
func (a *App) readToEdit(ctx context.Context, c *cli.Command) (*configuration.Editor, *configuration.Current, error) {
	e, err := a.editor(c)
	if err != nil {
		return nil, nil, err
	}
	current, err := e.Read(ctx)
	return e, current, err
}

func (a *App) show(kind configuration.Kind) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		name, err := onlyArgument(c, "name")
		if err != nil {
			return err
		}
		current, err := a.read(ctx, c)
		if err != nil {
			return err
		}
		o := current.Object(kind, name)
		if o.Err != nil {
			return usagef("%v", o.Err)
		}
		if !o.Exists() {
			return usagef("there is no %s %q: run %s list", kind, name, kind)
		}
		object := newObject(kind, name, o.Version, o.Record)
		return a.print(c, object, func(w io.Writer) { printObject(w, object, o.Record) })
	}
}

// printObject writes an object in the form of a file that apply accepts.
func printObject(w io.Writer, o Object, r configuration.Record) {
	fmt.Fprintf(w, "// %s %s, version %d, revision %d, by %q at %s\n", o.Kind, o.Name, o.Version, o.Revision, o.Operator, o.Time)
	_ = writeJSON(w, body(r))
}

// ObjectDiff is the comparison of one object with the store.
type ObjectDiff struct {
	Kind        configuration.Kind `json:"kind"`
	Name        string             `json:"name"`
	Version     uint64             `json:"version"`
	Differences []Difference       `json:"differences"`
}

func (a *App) diff(read readEdits) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		edits, err := read(c.Args().Slice())
		if err != nil {
			return err
		}
		current, err := a.read(ctx, c)
		if err != nil {
			return err
		}
		result := make([]ObjectDiff, 0, len(edits))
		for _, e := range edits {
			result = append(result, diffEdit(current.Object(e.Kind, e.Name), e))
		}
		return a.print(c, result, func(w io.Writer) {
			for _, d := range result {
				printDiff(w, d)
			}
		})
	}
}

// diffEdit compares an object (old) with the result of an edit (new).
func diffEdit(o configuration.Object, e configuration.Edit) ObjectDiff {
	wanted := configuration.Record{Profile: e.Profile, Team: e.Team}
	return ObjectDiff{Kind: e.Kind, Name: e.Name, Version: o.Version, Differences: differences(body(o.Record), body(wanted))}
}

func printDiff(w io.Writer, d ObjectDiff) {
	if len(d.Differences) == 0 {
		fmt.Fprintf(w, "%s %s: same as version %d\n", d.Kind, d.Name, d.Version)
		return
	}
	fmt.Fprintf(w, "%s %s: differs from version %d\n", d.Kind, d.Name, d.Version)
	printDifferences(w, d.Differences)
}

func (a *App) history(ctx context.Context, c *cli.Command) error {
	name, err := onlyArgument(c, "name")
	if err != nil {
		return err
	}
	e, err := a.editor(c)
	if err != nil {
		return err
	}
	list, err := e.History(ctx, configuration.KindProfile, name)
	if err != nil {
		return err
	}
	if len(list) == 0 {
		return usagef("there is no history of profile %q: run profile list", name)
	}
	objects := make([]Object, 0, len(list))
	for _, r := range list {
		objects = append(objects, newObject(configuration.KindProfile, name, r.Version, r.Record))
	}
	return a.print(c, objects, func(w io.Writer) { printHistory(w, list) })
}

// printHistory writes each revision with its differences from the one before.
func printHistory(w io.Writer, list []configuration.Revision) {
	for i, r := range list {
		state := ""
		if r.Record.Deleted {
			state = ", deleted"
		}
		fmt.Fprintf(w, "revision %d, version %d, by %q at %s%s %s\n", r.Record.Revision, r.Version, r.Record.Operator, r.Record.Time, state, r.Record.Note)
		if i+1 < len(list) {
			printDifferences(w, differences(body(list[i+1].Record), body(r.Record)))
		}
	}
}

func (a *App) rollback(ctx context.Context, c *cli.Command) error {
	name, err := onlyArgument(c, "name")
	if err != nil {
		return err
	}
	e, current, err := a.readToEdit(ctx, c)
	if err != nil {
		return err
	}
	list, err := e.History(ctx, configuration.KindProfile, name)
	if err != nil {
		return err
	}
	present := current.Object(configuration.KindProfile, name)
	if len(list) > 0 && list[0].Version != present.Version {
		return tableservice.ErrUnavailable.Errorf("the history and the profile were read at different times: run rollback again")
	}
	revision, err := configuration.FindRevision(list, c.Uint64(flagTo))
	if err != nil {
		return usagef("%v", err)
	}
	if revision.Record.Profile == nil {
		return usagef("revision %d is a deletion: run profile delete", revision.Record.Revision)
	}
	edit := configuration.Edit{Kind: configuration.KindProfile, Name: name, Profile: revision.Record.Profile}
	return a.commit(ctx, c, e, current, []configuration.Edit{edit})
}

func (a *App) timestamp() string { return a.Now().UTC().Format(time.RFC3339) }
