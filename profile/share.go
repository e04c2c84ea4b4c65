package profile

import "slices"

// Share is the part of the team's quota that belongs to a failure domain, in
// running tasks. Without shares the quota is split evenly over domains, which
// are all failure domains of the deployment; the first ones in alphabetical order
// get one more task each until the remainder is used up. A failure domain that
// is not among domains has share 0.
func (t Team) Share(domain string, domains []string) int {
	if len(t.Shares) > 0 {
		return t.Shares[domain]
	}
	sorted := slices.Sorted(slices.Values(domains))
	at := slices.Index(sorted, domain)
	if at < 0 {
		return 0
	}
	share := t.QuotaSlots / len(sorted)
	if at < t.QuotaSlots%len(sorted) {
		share++
	}
	return share
}
