//go:build linux

package e2e

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/profile"
	"github.com/burdockward/burdockward/quota"
	"github.com/burdockward/burdockward/tableservice"
)

const (
	// lendingQuota is split evenly over two failure domains. The test writes the rows of the second
	// one itself.
	lendingQuota = 8
	baseShare    = lendingQuota / 2
	lentUnits    = 2
)

func (w *world) applyTeam(team profile.Team) {
	w.t.Helper()
	text, err := json.Marshal([]profile.Team{team})
	must.NoError(w.t, err)
	path := filepath.Join(w.dir, "team.jsonc")
	must.NoError(w.t, os.WriteFile(path, text, 0o600))
	must.Eq(w.t, 0, w.ctl("team", "apply", path).code)
}

// tables returns a client of the platform's table service.
func (w *world) tables() *tableservice.Client {
	w.t.Helper()
	client, err := tableservice.New(tableservice.Options{URL: w.platformURL})
	must.NoError(w.t, err)
	w.t.Cleanup(client.Close)
	return client
}

// shareOf reads the row of a team in a failure domain, and returns it with its version.
func (w *world) shareOf(c *tableservice.Client, team, domain string) (quota.Entry, uint64) {
	w.t.Helper()
	changes, err := c.Changes(w.t.Context(), quota.Table, 0)
	must.NoError(w.t, err)
	var entry quota.Entry
	for _, r := range changes.Rows {
		if r.Key == team+"/"+domain {
			must.NoError(w.t, json.Unmarshal(r.Value, &entry))
			return entry, r.Version
		}
	}
	return entry, 0
}

// setShare writes the row of a team in a failure domain.
func (w *world) setShare(c *tableservice.Client, team, domain string, entry quota.Entry) {
	w.t.Helper()
	_, version := w.shareOf(c, team, domain)
	value, err := json.Marshal(entry)
	must.NoError(w.t, err)
	key := team + "/" + domain
	_, err = c.Commit(w.t.Context(), tableservice.Commit{
		Expect: []tableservice.Expectation{{Table: quota.Table, Key: key, Version: version}},
		Writes: []tableservice.Write{{Table: quota.Table, Key: key, Value: value}},
	})
	must.NoError(w.t, err)
}

func TestLentShareOfAQuotaIsUsedAndGivenBack(t *testing.T) {
	work := common
	work.Name = "lending"
	work.Team = "cooperative"
	work.GuaranteedSlots = 0
	work.MaxRunMS = limitedRun.Milliseconds()
	w := newWorld(t, []profile.Profile{common}, rack{targets: 4, slots: 8})
	w.applyTeam(profile.Team{Name: work.Team, QuotaSlots: lendingQuota, Lend: true})
	must.Eq(t, 0, w.applyWith([]string{"--wait", "30s"}, work).code)
	store := w.tables()
	job := api.Submission{Profile: work.Name, Tasks: sleepTasks(4, 50*time.Millisecond, "lending")}
	load := w.startLoad(4, job, 0, 1, 2)
	running := func() int { return w.summary(0).MaxRunningByLabel["lending"] }
	w.await("the base share is used", func() bool { return running() == baseShare })
	w.setShare(store, work.Team, "hall-b", quota.Entry{Holder: "other", Delta: -lentUnits, Beat: 1})
	w.await("what the other failure domain lends is used", func() bool { return running() == baseShare+lentUnits })
	w.setShare(store, work.Team, "hall-b", quota.Entry{Holder: "other", Delta: -lentUnits, Want: lentUnits, Beat: 2})
	w.await("it is returned", func() bool {
		entry, _ := w.shareOf(store, work.Team, domain)
		return entry.Delta == 0
	})
	w.awaitAnswers(50)
	load.stop()
	must.Eq(t, baseShare+lentUnits, running())
	w.wantOnly((*response).hasAnswer)
}
