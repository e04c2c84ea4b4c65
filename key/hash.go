package key

import "crypto/sha256"

// HashBytes is the length of a Hash.
const HashBytes = 16

// Hash stands for a key where many keys are stored. Callers can't construct collisions.
type Hash [HashBytes]byte

// HashText returns the hash of a key's text.
func HashText(text string) Hash {
	sum := sha256.Sum256([]byte(text))
	return Hash(sum[:HashBytes])
}
