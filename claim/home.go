package claim

import (
	"strconv"
	"strings"

	"github.com/burdockward/burdockward/key"
	"github.com/burdockward/burdockward/membership"
)

// noHome is the home tag of keys that any registrar may grant.
const noHome = ""

// homeTag returns the tag that names a process in keys. It is derived from id and
// incarnation, so a restarted VM has another tag.
func homeTag(m membership.Member) string {
	return strconv.FormatUint(key.Rank(m.ID, strconv.FormatUint(m.Incarnation, tagBase)), tagBase)
}

// tagBase is the base of numbers in tags.
const tagBase = 36

// maxTagLength is the length of the longest tag, a 64-bit number.
const maxTagLength = 13

// tokenWithHome returns the token that a VM gives to callers: an epoch's token with
// the home VM's tag.
func tokenWithHome(epoch, home string) string {
	if epoch == "" || home == noHome {
		return epoch
	}
	return epoch + "-" + home
}

// splitToken splits the token of a key into the epoch's token and the home VM's tag.
// It reports whether both are well-formed.
func splitToken(token string) (epoch, home string, ok bool) {
	epoch = token
	if strings.Count(token, "-") == 2 {
		at := strings.LastIndexByte(token, '-')
		epoch, home = token[:at], token[at+1:]
		if !isValidTag(home) {
			return "", "", false
		}
	}
	return epoch, home, membership.ValidToken(epoch)
}

func isValidTag(tag string) bool {
	if tag == "" || len(tag) > maxTagLength {
		return false
	}
	_, err := strconv.ParseUint(tag, tagBase, 64)
	return err == nil
}
