package deploy

import (
	"fmt"
	"os"
	"path/filepath"
)

// Binaries holds the paths of the programs that a deployment runs.
type Binaries struct {
	Daemon, Lab string
}

// FindBinaries returns the paths of this program and of the daemon. When daemon is empty, the
// daemon is the file burdockward beside this program. It returns an error when there is no such
// file.
func FindBinaries(daemon string) (Binaries, error) {
	lab, err := os.Executable()
	if err != nil {
		return Binaries{}, err
	}
	if daemon == "" {
		daemon = filepath.Join(filepath.Dir(lab), "burdockward")
	}
	if _, err := os.Stat(daemon); err != nil {
		return Binaries{}, fmt.Errorf("no daemon to run: %w: run make build, or name the binary with --daemon", err)
	}
	return Binaries{Daemon: daemon, Lab: lab}, nil
}
