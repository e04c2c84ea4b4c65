//go:build linux

package e2e

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	// The go command caches test results until a dependency of the tests changes. This import makes
	// the daemon a dependency.
	_ "github.com/burdockward/burdockward/daemon"
)

// parallelWorlds is how many tests run at once, each with about six processes.
const parallelWorlds = "2"

// binaries holds the paths of the programs under test, which TestMain builds once.
var binaries struct{ daemon, ctl, lab string }

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("test.parallel", parallelWorlds)
	os.Exit(buildAndRun(m))
}

// readMains reads the sources of the main packages, which can't be imported. The go command then
// runs the tests again when these files change.
func readMains() error {
	files, err := filepath.Glob("../../cmd/*/*.go")
	for _, f := range files {
		if err == nil {
			_, err = os.ReadFile(f)
		}
	}
	return err
}

// buildAndRun builds the programs under test, runs the tests and returns the exit status.
func buildAndRun(m *testing.M) int {
	if err := readMains(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	dir, err := os.MkdirTemp("", "burdockward-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-buildvcs=false", "-o", dir,
		"github.com/burdockward/burdockward/cmd/burdockward",
		"github.com/burdockward/burdockward/cmd/burdockctl",
		"github.com/burdockward/burdockward/lab/cmd/lab")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the programs under test: %v\n%s", err, out)
		return 1
	}
	binaries.daemon = filepath.Join(dir, "burdockward")
	binaries.ctl = filepath.Join(dir, "burdockctl")
	binaries.lab = filepath.Join(dir, "lab")
	return m.Run()
}
