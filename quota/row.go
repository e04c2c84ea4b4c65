package quota

import "maps"

// row is the newest known state of one failure domain's row.
type row struct {
	entry Entry
	// version is the commit that wrote or deleted the row.
	version uint64
	// deleted says that the row was removed by hand.
	deleted bool
}

// expectedVersion returns the version that a commit must name for the row.
func (r row) expectedVersion() uint64 {
	if r.deleted {
		return 0
	}
	return r.version
}

// rows are those of one team by failure domain. A failure domain without one has
// neither lent nor borrowed, and its row has version 0.
type rows map[string]row

// lent returns how many units a failure domain has lent, at most as many as its base
// share now allows.
func (r rows) lent(domain string, base int) int {
	return min(max(0, -r[domain].entry.Delta), base-MinShare(base))
}

// totals returns how many units all failure domains have lent and borrowed.
func (r rows) totals(base map[string]int) (lent, borrowed int) {
	for domain, units := range base {
		lent += r.lent(domain, units)
		borrowed += max(0, r[domain].entry.Delta)
	}
	return lent, borrowed
}

// unclaimed returns how many lent units are not borrowed.
func (r rows) unclaimed(base map[string]int) int {
	lent, borrowed := r.totals(base)
	return max(0, lent-borrowed)
}

// borrowed returns how many units a failure domain may use beyond its base share. When
// operators have reduced the lenders' base shares, less is lent than was borrowed, and
// each borrower gets a proportional part of what is lent.
func (r rows) borrowed(domain string, base map[string]int) int {
	delta := max(0, r[domain].entry.Delta)
	lent, borrowed := r.totals(base)
	if borrowed <= lent {
		return delta
	}
	return delta * lent / borrowed
}

// wanted returns how many units all failure domains except one want, and how many of
// those are owed to lenders, which want them back.
func (r rows) wanted(except string) (wanted, owed int) {
	for domain, other := range r {
		if domain == except {
			continue
		}
		wanted += max(0, other.entry.Want)
		if other.entry.Delta < 0 {
			owed += min(max(0, other.entry.Want), -other.entry.Delta)
		}
	}
	return wanted, owed
}

func (r rows) clone() rows { return maps.Clone(r) }
