package daemon

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/burdockward/burdockward/adminapi"
	"github.com/burdockward/burdockward/dispatch"
	"github.com/burdockward/burdockward/placement"
	"github.com/burdockward/burdockward/submission"
)

// adminHandler returns the handler of the operators' port.
func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", d.telemetry.MetricsHandler())
	mux.HandleFunc(adminapi.StatusPattern, d.status)
	mux.HandleFunc(adminapi.ExplainPattern, d.explain)
	mux.HandleFunc(adminapi.EventsPattern, d.events)
	return mux
}

func (d *Daemon) status(w http.ResponseWriter, _ *http.Request) {
	view := d.claims.View()
	own := d.dispatch.Status()
	status := adminapi.Status{
		VM:            d.settings.VMID,
		Incarnation:   d.incarnation,
		Domain:        d.settings.FailureDomain,
		UptimeMS:      time.Since(d.started).Milliseconds(),
		Draining:      d.draining.Load(),
		View:          adminapi.View{Number: view.ID.Number, Nonce: strconv.FormatUint(view.ID.Nonce, 36), Settled: view.Settled},
		Epoch:         d.claims.CurrentEpoch(),
		Configuration: d.configuration.Status(),
	}
	for _, m := range view.Members {
		status.View.Members = append(status.View.Members, adminapi.Member{VM: m.ID, Incarnation: m.Incarnation, Address: m.Address})
	}
	for _, t := range own.Targets {
		status.Targets = append(status.Targets, targetStatus(t, time.Since(d.started)))
	}
	for _, p := range own.Profiles {
		status.Profiles = append(status.Profiles, profileStatus(p))
	}
	writeJSON(w, http.StatusOK, status)
}

func targetStatus(t dispatch.TargetStatus, now time.Duration) adminapi.Target {
	status := adminapi.Target{
		ID:          t.ID,
		Address:     t.Address,
		Rack:        t.Rack,
		Slots:       t.Slots,
		SlotsHeld:   t.Held,
		SlotsFree:   t.Free,
		Health:      targetHealth(t.Placement),
		Lease:       adminapi.LeaseNone,
		LeaseLeftMS: t.LeaseLeft.Milliseconds(),
	}
	if t.LeaseLeft > 0 {
		status.Lease = adminapi.LeaseHeld
	}
	switch t.Placement.Use {
	case placement.UseNormal:
	case placement.UseLeaving:
		status.Reason = "the list, or the target itself, says so"
	default:
		status.Reason = t.Placement.Cause
		status.HealthAgeMS = (now - t.Placement.Since).Milliseconds()
	}
	return status
}

// targetHealth converts the use of a target to the admin port's health.
func targetHealth(e placement.Explanation) adminapi.TargetHealth {
	switch {
	case e.Use == placement.UseLeaving:
		return adminapi.TargetLeaving
	case e.Use == placement.UseQuarantine && e.Cause == placement.CauseUnreachable.String():
		return adminapi.TargetUnreachable
	case e.Use == placement.UseQuarantine && e.ProbeSuccesses > 0:
		return adminapi.TargetProbing
	case e.Use == placement.UseQuarantine:
		return adminapi.TargetQuarantined
	case e.Use == placement.UseLastResort && e.Cause == placement.CauseSlow.String():
		return adminapi.TargetSlow
	case e.Use == placement.UseLastResort:
		return adminapi.TargetDoubted
	}
	return adminapi.TargetHealthy
}

func profileStatus(p dispatch.ProfileStatus) adminapi.Profile {
	status := adminapi.Profile{Name: p.Name, Queued: p.Queued, Running: p.Running, RefusedByKind: p.Refused}
	for _, n := range p.Refused {
		status.Refused += n
	}
	return status
}

func (d *Daemon) explain(w http.ResponseWriter, r *http.Request) {
	keyText := r.PathValue("key")
	recorded := d.service.Explain(keyText)
	if len(recorded.Events) == 0 {
		writeJSON(w, http.StatusNotFound, adminapi.Error{Message: "this VM knows nothing of the key: ask the other VMs of its failure domain"})
		return
	}
	explanation := adminapi.Explanation{VM: d.settings.VMID, Key: keyText, Profile: recorded.Profile, EventsDropped: recorded.Dropped}
	if recorded.Profile != "" {
		explanation.Runner = d.settings.VMID
	}
	first := recorded.Events[0].Time
	for _, e := range recorded.Events {
		explanation.Events = append(explanation.Events, adminEvent(e, first))
	}
	d.explainWork(&explanation)
	writeJSON(w, http.StatusOK, explanation)
}

// adminEvent converts an event to the form of the admin port.
func adminEvent(e submission.Event, first time.Time) adminapi.Event {
	event := adminapi.Event{
		AtMS:   float64(e.Time.Sub(first).Microseconds()) / 1000,
		Time:   e.Time.Format(time.RFC3339Nano),
		What:   e.Text,
		Target: e.Target,
		Reason: e.Reason,
	}
	if e.Task != submission.NoTask {
		event.Task = &e.Task
	}
	return event
}

// explainWork adds the present state and progress of a submission of this VM.
func (d *Daemon) explainWork(e *adminapi.Explanation) {
	w := d.dispatch.Explain(e.Key)
	e.State = d.service.State(e.Key)
	if !w.Known {
		return
	}
	e.Runner = d.settings.VMID
	e.Profile = w.Profile
	e.ConfigurationVersion = d.configuration.Snapshot().Version()
	text := fmt.Sprintf("%d tasks waiting, %d running, %d ended", w.Waiting, w.Out, w.Finished)
	reason := fmt.Sprintf("%d tasks of the profile go first, next start in about %d ms, deadline in %d ms", w.Position, w.ExpectedStartMS, w.DeadlineMS)
	if w.LimitReached {
		reason += "; the limit of the profile or the quota of its team is used up"
	}
	e.Events = append(e.Events, adminapi.Event{What: text, Reason: reason, Time: time.Now().Format(time.RFC3339Nano), AtMS: sinceFirst(e.Events)})
}

// sinceFirst returns the time since the first event in milliseconds.
func sinceFirst(events []adminapi.Event) float64 {
	if len(events) == 0 {
		return 0
	}
	first, err := time.Parse(time.RFC3339Nano, events[0].Time)
	if err != nil {
		return 0
	}
	return float64(time.Since(first).Microseconds()) / 1000
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
