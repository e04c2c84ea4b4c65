package dispatch

import (
	"github.com/burdockward/burdockward/placement"
)

// maxNamedTargets is the most targets that one log line names.
const maxNamedTargets = 16

// verdictGroup is what the targets of one log line have in common.
type verdictGroup struct {
	before, use string
	cause       placement.Cause
}

// logVerdicts logs how the use of targets changed, with one line for all targets
// with the same change, since those of a rack often change together.
func (d *Duty) logVerdicts() {
	shared, ok := d.options.Placer.(*Shared)
	if !ok {
		return
	}
	groups, order := groupVerdicts(shared.place.TakeVerdicts())
	for _, group := range order {
		verdicts := groups[group]
		tags := map[string]string{"use": group.use}
		d.metrics.scope.Tagged(tags).Counter("target_use_changes").Inc(int64(len(verdicts)))
		values := []any{
			"use", group.use,
			"before", group.before,
			"cause", group.cause.String(),
			"count", len(verdicts),
			"targets", names(verdicts),
		}
		if evidence := verdicts[0].Submissions; len(evidence) > 0 {
			values = append(values, "submissions", evidence)
		}
		d.options.Log.Info("use of targets changed", values...)
	}
}

// groupVerdicts groups the verdicts by their change. It also returns the groups in
// the order of their first verdict.
func groupVerdicts(verdicts []placement.Verdict) (map[verdictGroup][]placement.Verdict, []verdictGroup) {
	groups := map[verdictGroup][]placement.Verdict{}
	var order []verdictGroup
	for _, v := range verdicts {
		group := verdictGroup{before: v.Before, use: v.Use, cause: v.Cause}
		if groups[group] == nil {
			order = append(order, group)
		}
		groups[group] = append(groups[group], v)
	}
	return groups, order
}

// names returns the targets of the verdicts, at most maxNamedTargets.
func names(verdicts []placement.Verdict) []string {
	var list []string
	for _, v := range verdicts[:min(len(verdicts), maxNamedTargets)] {
		list = append(list, v.Target)
	}
	return list
}
