package deploy

import "syscall"

// processAttributes puts a child in its own process group, so that an interrupt from the terminal
// doesn't end it before Close stops it in order. It also has the kernel kill the child when this
// process ends.
func processAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
