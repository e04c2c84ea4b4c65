// Package key parses, formats and hashes submission keys, and ranks VMs for a name by
// rendezvous hash.
package key

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Largest lengths of the parts of a key, in bytes.
const (
	MaxDomain = 63
	MaxEpoch  = 40
	MaxUnique = 64
)

// Key identifies a submission.
type Key struct {
	// Domain is the home failure domain, the only one that may run the key.
	Domain string
	// Epoch is the token under which the caller made the key.
	Epoch string
	// Unique is the part that the caller chooses.
	Unique string
}

// Parse parses "<failure domain>.<epoch>.<unique>".
func Parse(s string) (Key, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 3 {
		return Key{}, fmt.Errorf("key %.80q must have three parts, <failure domain>.<epoch>.<unique>: take the first two from the headers of GET /v1/epoch", s)
	}
	k := Key{Domain: parts[0], Epoch: parts[1], Unique: parts[2]}
	for _, p := range []struct {
		name, value string
		maxLength   int
	}{{"failure domain", k.Domain, MaxDomain}, {"epoch", k.Epoch, MaxEpoch}, {"unique part", k.Unique, MaxUnique}} {
		if err := checkPart(p.name, p.value, p.maxLength); err != nil {
			return Key{}, err
		}
	}
	return k, nil
}

func checkPart(name, value string, maxLength int) error {
	if value == "" || len(value) > maxLength {
		return fmt.Errorf("the %s of the key must have 1 to %d characters", name, maxLength)
	}
	for _, c := range []byte(value) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '_' {
			return fmt.Errorf("the %s of the key may hold letters, digits, '-' and '_' only", name)
		}
	}
	return nil
}

// String formats the key as Parse reads it.
func (k Key) String() string { return k.Domain + "." + k.Epoch + "." + k.Unique }

// Rank returns the rendezvous weight of a member for a name; the highest weight comes
// first. It depends on the id alone, so that a process restarted on the same VM keeps its
// rank.
func Rank(name, memberID string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(name)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(memberID)
	return d.Sum64()
}
