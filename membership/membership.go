// Package membership agrees on the view, which is the list of entry VMs of one failure
// domain that work together, and on the epochs under which callers make their keys.
//
// State is the protocol without goroutines, clock or network. Its input are messages of
// peers, the time, and the platform's list of VMs; its output are messages and changes
// of the view and of the peers' digests. A process takes part in one view at a time.
// After a view change that may have lost records of keys the earlier epochs are closed,
// so that no key is granted twice. docs/DESIGN.md, section 1, explains the protocol and
// why it is safe.
package membership

import (
	"slices"
	"strconv"
	"strings"
)

// Member is one process of an entry VM. A restarted process is another member.
type Member struct {
	// ID names the VM.
	ID string
	// Incarnation distinguishes a process from its predecessors on the same VM.
	Incarnation uint64
	// Address is the IP and port of the peer interface.
	Address string
}

// Same reports whether both are the same process.
func (m Member) Same(o Member) bool { return m.ID == o.ID && m.Incarnation == o.Incarnation }

// ViewID names a view. Children have a higher number than their parent.
type ViewID struct {
	Number uint64
	// Nonce is random. It distinguishes views that were formed at the same time.
	Nonce uint64
}

// IsZero reports whether the id names no view.
func (id ViewID) IsZero() bool { return id == ViewID{} }

// View is an agreed list of members.
type View struct {
	ID     ViewID
	Parent ViewID
	// Members are sorted by id.
	Members []Member
	// Leavers were members of the parent and hand their records over before
	// they stop.
	Leavers []Member
	// Lost are the members since the last settled view whose records of keys may be
	// missing.
	Lost []Member
	// Survivors are the ids of members and leavers that came from the parent.
	Survivors []string
	// ParentSettled says that every member of the parent had opened it.
	ParentSettled bool
	// Fenced says that the epochs of the parent were closed.
	Fenced bool
}

// Coordinator returns the member that keeps the epoch list of the view.
func (v *View) Coordinator() Member {
	if len(v.Members) == 0 {
		return Member{}
	}
	return v.Members[0]
}

// Has reports whether the process is a member.
func (v *View) Has(id string, incarnation uint64) bool {
	m, ok := v.Member(id)
	return ok && m.Incarnation == incarnation
}

// Member finds a member by id.
func (v *View) Member(id string) (Member, bool) { return find(v.Members, id) }

// Survived reports whether the VM came from the parent view.
func (v *View) Survived(id string) bool { return slices.Contains(v.Survivors, id) }

// sources returns the processes that hand records over when the view is installed.
func (v *View) sources() []Member {
	return slices.Concat(v.Members, v.Leavers)
}

// Epoch is one entry of an epoch list. Keys carry its token.
type Epoch struct {
	Number uint64
	Nonce  uint64
	// Open says that a key without a record is new. Keys of a closed epoch are answered
	// only when there is a record.
	Open bool
	// Timed says that the epoch was created because of the age of the previous one, not
	// because of a view change. Retention counts timed epochs only.
	Timed bool
}

const tokenBase = 36

// Token returns the text by which keys name the epoch.
func (e Epoch) Token() string {
	return strconv.FormatUint(e.Number, tokenBase) + "-" + strconv.FormatUint(e.Nonce, tokenBase)
}

// ValidToken reports whether a text has the form of a token.
func ValidToken(token string) bool {
	number, nonce, ok := strings.Cut(token, "-")
	if !ok {
		return false
	}
	_, errNumber := strconv.ParseUint(number, tokenBase, 64)
	_, errNonce := strconv.ParseUint(nonce, tokenBase, 64)
	return errNumber == nil && errNonce == nil
}

// EpochList is the epoch list of a view at one sequence number.
type EpochList struct {
	Sequence uint64
	// Epochs are sorted by number.
	Epochs []Epoch
}

// Find finds the epoch of a token.
func (l *EpochList) Find(token string) (Epoch, bool) {
	for _, e := range l.Epochs {
		if e.Token() == token {
			return e, true
		}
	}
	return Epoch{}, false
}

// newest returns the highest epoch number, or 0.
func (l *EpochList) newest() uint64 {
	if len(l.Epochs) == 0 {
		return 0
	}
	return l.Epochs[len(l.Epochs)-1].Number
}

// newestTimed returns the number of the newest timed epoch, or 0.
func (l *EpochList) newestTimed() uint64 {
	for _, e := range slices.Backward(l.Epochs) {
		if e.Timed {
			return e.Number
		}
	}
	return 0
}

func (l *EpochList) has(e Epoch) bool {
	return slices.ContainsFunc(l.Epochs, func(o Epoch) bool {
		return o.Number == e.Number && o.Nonce == e.Nonce
	})
}

func (l *EpochList) clone() EpochList {
	return EpochList{Sequence: l.Sequence, Epochs: slices.Clone(l.Epochs)}
}

func find(members []Member, id string) (Member, bool) {
	for _, m := range members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

func contains(members []Member, m Member) bool { return slices.ContainsFunc(members, m.Same) }

func sortMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
}
