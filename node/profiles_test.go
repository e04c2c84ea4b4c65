package node

import (
	"log/slog"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/link"
	"github.com/burdockward/burdockward/mirror"
	"github.com/burdockward/burdockward/ownership"
	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/shares"
)

// newProfiles returns profiles that record the versions put in force, and the reports counted.
func newProfiles() (p *profiles, versions *[]int64, counts map[string]int) {
	versions, counts = &[]int64{}, map[string]int{}
	return &profiles{
		log: slog.New(slog.DiscardHandler), count: func(what, label string) { counts[what+" "+label]++ },
		changed: func(held *shares.Profiles) { *versions = append(*versions, held.Version) },
	}, versions, counts
}

func operatorRow(value string, deleted bool) mirror.Update {
	return mirror.Update{Rows: platform.Rows{Rows: []platform.Row{{Key: platform.ProfilesKey, Value: []byte(value), Deleted: deleted}}}}
}

// Invalid rows, older versions, changes without a new version and the removal of the row leave the last
// valid profiles in force. A fault is reported once, however often the row is read.
func TestLastValidProfilesStayInForce(t *testing.T) {
	p, versions, counts := newProfiles()
	valid := `{"version": 3, "profiles": [{"name": "a", "guarantee": 0.5}]}`
	for _, update := range []mirror.Update{
		operatorRow(`{"version": 9`, false), operatorRow(valid, false), operatorRow(valid, false),
		operatorRow(`{"version": 9, "profiles": [{"name": "a", "guarantee": 2}]}`, false),
		operatorRow(`{"version": 9, "profiles": [{"name": "a", "guarantee": 2}]}`, false),
		operatorRow(`{"version": 3, "profiles": []}`, false),
		operatorRow(`{"version": 2, "profiles": []}`, false),
		operatorRow("", true),
	} {
		p.applyUpdate(update)
	}
	must.True(t, p.updateIfNewer([]byte(`{"version": 2, "profiles": []}`), "peer"), must.Sprint("a peer may be behind"))
	must.Eq(t, []int64{3}, *versions)
	must.Eq(t, 0.5, p.held.Profiles[0].Guarantee)
	must.Eq(t, 4, counts["profiles refused"])
	p.applyUpdate(operatorRow(`{"version": 4, "profiles": []}`, false))
	must.Eq(t, []int64{3, 4}, *versions)
}

// A VM that is cut off from the store takes newer profiles from a peer, also when its configuration is
// up to date. Profiles that it can't use are not fetched again.
func TestNewerProfilesComeFromPeer(t *testing.T) {
	nodeWith := func(p *profiles) *Node {
		n := &Node{log: p.log, config: configuration{log: p.log}, peerClient: link.NewClient(),
			keeper: ownership.New(ownership.Options{ClaimsChanged: func([]ownership.GroupClaim) {}}, nil, nil)}
		n.profiles.log, n.profiles.count, n.profiles.changed = p.log, p.count, p.changed
		return n
	}
	source, _, _ := newProfiles()
	target, versions, counts := newProfiles()
	from, to := nodeWith(source), nodeWith(target)
	server := httptest.NewServer(from.handler())
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()

	from.profiles.applyUpdate(operatorRow(`{"version": 5, "profiles": [{"name": "a", "guarantee": 0.5}]}`, false))
	to.fetchTables(t.Context(), address, from.ProfilesVersion())
	must.Eq(t, []int64{5}, *versions)
	must.Zero(t, to.unusableProfiles)

	from.profiles.held, from.profiles.raw = &shares.Profiles{Version: 6}, []byte(`{"version": 6, "profiles": [{"name": "a", "later": 1}]}`)
	to.fetchTables(t.Context(), address, from.ProfilesVersion())
	must.Eq(t, []int64{5}, *versions)
	must.Eq(t, 6, to.unusableProfiles)
	must.Eq(t, 1, counts["profiles refused"])
}
