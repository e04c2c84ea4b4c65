//go:build !linux

package slopes

import "errors"

// listSockets returns an error, since it needs an interface of Linux.
func listSockets() ([]socket, error) {
	return nil, errors.New("measuring needs Linux, whose kernel counts the bytes of each socket")
}
