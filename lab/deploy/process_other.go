//go:build !linux

package deploy

import "syscall"

// processAttributes puts a child in its own process group, so that an interrupt from the terminal
// doesn't end it before Close stops it in order.
func processAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true}
}
