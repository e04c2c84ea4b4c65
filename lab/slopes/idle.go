package slopes

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/burdockward/burdockward/adminapi"
	"github.com/burdockward/burdockward/configuration"
	"github.com/burdockward/burdockward/lab/deploy"
	"github.com/burdockward/burdockward/profile"
	"github.com/burdockward/burdockward/tableservice"
)

// Size of a deployment where the experiment varies something else.
const (
	baseDomain   = "a"
	baseVMs      = 3
	baseTargets  = 16
	baseSlots    = 8
	baseProfiles = 8
	// profilesOfTeam is the number of profiles of each team.
	profilesOfTeam = 4
	// quotaSlots is the quota of each team, more than the load needs.
	quotaSlots = 10_000
	// deadlineMS is the deadline of all profiles.
	deadlineMS = 15_000
	// inForcePoll is the time between two polls whether a change is in force, and inForceLongest
	// bounds the wait for it.
	inForcePoll    = 20 * time.Millisecond
	inForceLongest = 20 * time.Second
)

func idleExperiments() []experiment {
	return []experiment{
		{
			name:     "idle-vms",
			title:    "an idle daemon against the entry VMs of its failure domain",
			variable: "VMs",
			points:   []float64{2, 3, 5, 9, 14, 20},
			measure: func(ctx context.Context, r *runner, x float64) (costs, error) {
				o := base()
				o.VMs = int(x)
				return r.idle(ctx, o)
			},
		},
		{
			name:     "idle-targets",
			title:    "an idle daemon against the targets of its failure domain",
			variable: "targets",
			points:   []float64{16, 50, 100, 212, 400},
			measure: func(ctx context.Context, r *runner, x float64) (costs, error) {
				o := base()
				o.Targets = int(x)
				return r.idle(ctx, o)
			},
		},
		{
			name:     "idle-slots",
			title:    "an idle daemon against the slots of each of 16 targets",
			variable: "slots",
			points:   []float64{4, 16, 64, 256},
			measure: func(ctx context.Context, r *runner, x float64) (costs, error) {
				o := base()
				o.Slots = int(x)
				return r.idle(ctx, o)
			},
		},
		{
			name:     "idle-profiles",
			title:    "an idle daemon against profiles, with a team for every four",
			variable: "profiles",
			points:   []float64{8, 40, 100, 200, 400},
			measure: func(ctx context.Context, r *runner, x float64) (costs, error) {
				o := base()
				o.Profiles = manyProfiles(int(x))
				return r.idle(ctx, o)
			},
		},
		{
			name:     "changes",
			title:    "an idle daemon against changes of configuration a second",
			variable: "changes/s",
			points:   []float64{0.2, 1, 2, 4},
			measure:  changes,
		},
	}
}

// base returns the failure domain of which an experiment varies one size.
func base() deploy.Options {
	return deploy.Options{
		Domains:  []string{baseDomain},
		VMs:      baseVMs,
		Targets:  baseTargets,
		Slots:    baseSlots,
		Profiles: manyProfiles(baseProfiles),
	}
}

// manyProfiles returns n profiles, with a team for every profilesOfTeam of them.
func manyProfiles(n int) []profile.Profile {
	var profiles []profile.Profile
	for i := range n {
		profiles = append(profiles, profile.Profile{
			Name:          fmt.Sprintf("slope-%d", i),
			Team:          teamName(i / profilesOfTeam),
			Urgency:       i % 10,
			QueueTasks:    100_000,
			DeadlineMS:    deadlineMS,
			MaxDeadlineMS: deadlineMS,
			MaxRunMS:      deadlineMS / 2,
		})
	}
	return profiles
}

// unlimited returns the profile of the load. It has no limit and no quota, because their units are
// blocked for a while after a failure domain has started.
func unlimited() profile.Profile {
	p := manyProfiles(1)[0]
	p.Name = "unlimited"
	p.Team = ""
	return p
}

// limitedProfiles returns n profiles that each have a limit, larger than the load needs.
func limitedProfiles(n int) []profile.Profile {
	profiles := manyProfiles(n)
	for i := range profiles {
		profiles[i].LimitSlots = quotaSlots
	}
	return profiles
}

func teamName(i int) string { return fmt.Sprintf("team-%d", i) }

// idle measures a deployment without load.
func (r *runner) idle(ctx context.Context, o deploy.Options) (costs, error) {
	b, err := r.startSettled(ctx, o)
	if err != nil {
		return nil, err
	}
	defer r.close(b)
	return b.observe(ctx, r.window, nil)
}

// startSettled starts a deployment, puts its profiles and their teams in force, and waits for the
// settle time.
func (r *runner) startSettled(ctx context.Context, o deploy.Options) (*bench, error) {
	profiles := o.Profiles
	// deploy applies profiles and no teams, so it gets only the profile without a team.
	o.Profiles = []profile.Profile{unlimited()}
	b, err := r.start(ctx, o)
	if err != nil {
		return nil, err
	}
	version, err := b.edit(ctx, "profiles", withTeams(profiles))
	if err == nil {
		err = b.awaitVersion(ctx, version)
	}
	if err == nil {
		err = pause(ctx, r.settle)
	}
	if err != nil {
		return nil, errors.Join(err, b.Close())
	}
	return b, nil
}

// withTeams returns the edits that add profiles, each after its team.
func withTeams(profiles []profile.Profile) []configuration.Edit {
	var edits []configuration.Edit
	for i, p := range profiles {
		if i%profilesOfTeam == 0 {
			team := &profile.Team{Name: p.Team, QuotaSlots: quotaSlots}
			edits = append(edits, configuration.Edit{Kind: configuration.KindTeam, Name: team.Name, Team: team})
		}
		edits = append(edits, configuration.Edit{Kind: configuration.KindProfile, Name: p.Name, Profile: &p})
	}
	return edits
}

// edit commits edits as one change and returns its version.
func (b *bench) edit(ctx context.Context, id string, edits []configuration.Edit) (uint64, error) {
	client, err := tableservice.New(tableservice.Options{URL: b.platformURL})
	if err != nil {
		return 0, err
	}
	defer client.Close()
	editor := &configuration.Editor{Tables: client}
	current, err := editor.Read(ctx)
	if err != nil {
		return 0, err
	}
	accepted, err := editor.Commit(ctx, current, configuration.Change{
		ID:       id,
		Operator: "lab",
		Time:     time.Now().UTC().Format(time.RFC3339),
		Edits:    edits,
	})
	return accepted.Version, err
}

// changes measures an idle deployment while an operator commits changes of profiles at a rate.
func changes(ctx context.Context, r *runner, perSecond float64) (costs, error) {
	o := base()
	o.Profiles = manyProfiles(100)
	b, err := r.startSettled(ctx, o)
	if err != nil {
		return nil, err
	}
	defer r.close(b)
	var longest time.Duration
	c, err := b.observe(ctx, r.window, func(ctx context.Context) error {
		var err error
		longest, err = b.changeProfiles(ctx, perSecond, r.window, o.Profiles)
		return err
	})
	if err == nil {
		c["longest_s_until_in_force"] = longest.Seconds()
	}
	return c, err
}

// changeProfiles commits one change after another at the rate, and returns the longest time until a
// change was in force at every VM.
func (b *bench) changeProfiles(ctx context.Context, perSecond float64, length time.Duration, profiles []profile.Profile) (time.Duration, error) {
	var all errgroup.Group
	n := max(1, int(length.Seconds()*perSecond))
	times := make([]time.Duration, n)
	for i := range n {
		if err := pause(ctx, time.Duration(float64(time.Second)/perSecond)/2); err != nil {
			return 0, err
		}
		p := profiles[i%len(profiles)]
		p.QueueTasks += i + 1
		began := time.Now()
		version, err := b.edit(ctx, fmt.Sprintf("change-%d", i), []configuration.Edit{
			{Kind: configuration.KindProfile, Name: p.Name, Profile: &p},
		})
		if err != nil {
			return 0, err
		}
		all.Go(func() error {
			err := b.awaitVersion(ctx, version)
			times[i] = time.Since(began)
			return err
		})
		if err := pause(ctx, time.Duration(float64(time.Second)/perSecond)/2); err != nil {
			return 0, err
		}
	}
	err := all.Wait()
	var longest time.Duration
	for _, t := range times {
		longest = max(longest, t)
	}
	return longest, err
}

// awaitVersion waits until every daemon has this or a newer version of the configuration in force.
func (b *bench) awaitVersion(ctx context.Context, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, inForceLongest)
	defer cancel()
	for _, d := range b.daemons {
		for {
			var status adminapi.Status
			if err := b.getJSON(ctx, "http://"+d.settings.Listen.Admin.String()+adminapi.StatusPath, &status); err != nil {
				return err
			}
			if status.Configuration.Version >= version {
				break
			}
			if err := pause(ctx, inForcePoll); err != nil {
				return fmt.Errorf("version %d is not in force at %s within %v", version, d.settings.VMID, inForceLongest)
			}
		}
	}
	return nil
}
