package claim

import (
	"encoding/binary"
	"strconv"

	"github.com/burdockward/burdockward/key"
	"github.com/burdockward/burdockward/membership"
)

// buckets is the number of groups that keys are hashed into. All keys of a bucket
// have the same registrar and backup, unless their home VM is a member.
const buckets = 1024

// ranking gives the registrar and the backup of each key in a view. Members are
// ranked by rendezvous hash, so a change of the view moves few keys.
type ranking struct {
	members    []membership.Member
	registrars [buckets]int8
	backups    [buckets]int8
	// homes are the members by tag.
	homes map[string]membership.Member
}

// noMember marks a bucket without a registrar or backup, as the view has too few
// members.
const noMember = -1

func newRanking(view *membership.View) *ranking {
	r := &ranking{members: view.Members, homes: map[string]membership.Member{}}
	for _, m := range view.Members {
		r.homes[homeTag(m)] = m
	}
	for b := range buckets {
		r.registrars[b], r.backups[b] = topTwo(strconv.Itoa(b), view.Members)
	}
	return r
}

// topTwo returns the positions of the two members that rank highest for a name.
func topTwo(name string, members []membership.Member) (first, second int8) {
	first, second = noMember, noMember
	var firstRank, secondRank uint64
	for i, m := range members {
		rank := key.Rank(name, m.ID)
		switch {
		case first == noMember || rank > firstRank:
			second, secondRank = first, firstRank
			first, firstRank = int8(i), rank
		case second == noMember || rank > secondRank:
			second, secondRank = int8(i), rank
		}
	}
	return first, second
}

func bucketOf(h Hash) int { return int(binary.LittleEndian.Uint16(h[:])) % buckets }

// registrar returns the member that decides on a key: its home VM while that is a
// member, else the one that ranks first.
func (r *ranking) registrar(home string, h Hash) membership.Member {
	if m, ok := r.homes[home]; ok {
		return m
	}
	return r.memberAt(r.registrars[bucketOf(h)])
}

// hasHome reports whether the home VM of a key is a member.
func (r *ranking) hasHome(home string) bool {
	_, ok := r.homes[home]
	return ok
}

// backup returns the second holder of a key when the registrar is the runner.
func (r *ranking) backup(h Hash) membership.Member { return r.memberAt(r.backups[bucketOf(h)]) }

func (r *ranking) memberAt(i int8) membership.Member {
	if i == noMember {
		return membership.Member{}
	}
	return r.members[i]
}

// holders returns the members that keep the record of a key: the registrar and the
// runner, or the backup when the runner is the registrar or no member. The second
// one is empty in a view of one member. It is empty as well when the key has its home
// VM as registrar and no other member as runner: once that VM is lost, every key of
// this home that no member knows is refused.
func (r *ranking) holders(home string, h Hash, runner membership.Member) [2]membership.Member {
	registrar := r.registrar(home, h)
	if !runner.Same(registrar) && r.has(runner) {
		return [2]membership.Member{registrar, runner}
	}
	if r.hasHome(home) {
		return [2]membership.Member{registrar}
	}
	return [2]membership.Member{registrar, r.backup(h)}
}

func (r *ranking) has(m membership.Member) bool {
	for _, o := range r.members {
		if o.Same(m) {
			return true
		}
	}
	return false
}
