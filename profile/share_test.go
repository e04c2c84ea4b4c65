package profile

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

func TestShareSplitsQuota(t *testing.T) {
	even := func(quota int) Team { return Team{QuotaSlots: quota} }
	named := Team{QuotaSlots: 10, Shares: map[string]int{"hall-a": 6, "hall-c": 1}}
	none := Team{QuotaSlots: 10, Shares: map[string]int{"hall-a": 0}}
	three := []string{"hall-c", "hall-b", "hall-a"}
	for _, c := range []struct {
		name    string
		team    Team
		domains []string
		want    map[string]int
	}{
		{"no remainder", even(9), three, map[string]int{"hall-a": 3, "hall-b": 3, "hall-c": 3}},
		{"the first by alphabet gets the remainder", even(10), three, map[string]int{"hall-a": 4, "hall-b": 3, "hall-c": 3}},
		{"the first two get it", even(11), three, map[string]int{"hall-a": 4, "hall-b": 4, "hall-c": 3}},
		{"less than one each", even(2), three, map[string]int{"hall-a": 1, "hall-b": 1, "hall-c": 0}},
		{"no quota", even(0), three, map[string]int{"hall-a": 0, "hall-b": 0, "hall-c": 0}},
		{"one failure domain", even(10), []string{"hall-a"}, map[string]int{"hall-a": 10}},
		{"not listed", even(10), []string{"hall-a", "hall-b"}, map[string]int{"hall-c": 0}},
		{"none listed", even(10), nil, map[string]int{"hall-a": 0}},
		{"shares are taken as written", named, three, map[string]int{"hall-a": 6, "hall-b": 0, "hall-c": 1}},
		{"shares need no list", named, nil, map[string]int{"hall-a": 6}},
		{"a share of 0 is not split", none, three, map[string]int{"hall-a": 0, "hall-b": 0}},
	} {
		for domain, want := range c.want {
			must.Eq(t, want, c.team.Share(domain, c.domains), must.Sprintf("%s: %s", c.name, domain))
		}
	}
	must.Eq(t, []string{"hall-c", "hall-b", "hall-a"}, three, must.Sprint("the caller's list keeps its order"))
}

// TestSharesSumToTheQuota requires that the shares add up to the quota, also when
// the settings of the VMs list the failure domains in different orders.
func TestSharesSumToTheQuota(t *testing.T) {
	domains := []string{"a", "b", "c", "d", "e", "f", "g"}
	for n := 1; n <= len(domains); n++ {
		for quota := range 30 {
			sum := 0
			for i, domain := range domains[:n] {
				list := slices.Clone(domains[:n])
				slices.Reverse(list[i:])
				sum += Team{QuotaSlots: quota}.Share(domain, list)
			}
			must.Eq(t, quota, sum, must.Sprintf("quota %d over %d", quota, n))
		}
	}
}
